//! Settings and configurations are checked, and errors name their place.

use {
    archmast::{
        conf::{IniDocument, RouterSettings, SidecarSettings},
        fleet::{FleetConfig, parse_document},
    },
    expect_test::{Expect, expect},
    proptest::prelude::*,
    std::time::Duration,
};

const SIDECAR: &str = "\
[process]
host = m1
zone = z1
[link]
listen = 127.0.0.1:1
authority = a.pem
certificate = c.pem
private_key = k.pem
[platform]
address = 127.0.0.1:2
[operator]
listen = 127.0.0.1:3
[upstream]
address = 127.0.0.1:4
";

fn sidecar(text: &str) -> Result<SidecarSettings, archmast::conf::ConfError> {
    SidecarSettings::from_document(IniDocument::parse("sidecar.ini", text)?)
}

fn check_sidecar(
    changed: &str,
    expected: Expect,
) {
    let error = sidecar(&format!("{SIDECAR}{changed}")).expect_err("a fault");
    expected.assert_eq(&error.to_string());
}

fn fleet(text: &str) -> Result<FleetConfig, archmast::conf::ConfError> {
    parse_document(&IniDocument::parse("fleet.ini", text)?)
}

fn check_fleet(
    text: &str,
    expected: Expect,
) {
    expected.assert_eq(&fleet(text).expect_err("a fault").to_string());
}

#[test]
fn the_shipped_defaults_leave_only_what_is_required_open() {
    let settings = sidecar(SIDECAR).expect("good settings");
    assert_eq!(settings.slots, 8);
    let document = IniDocument::parse("router.ini", RouterSettings::SHIPPED).expect("INI");
    let error = RouterSettings::from_document(document).expect_err("a fault");
    expect!["error 14: router.ini:7 [process] host: is required"].assert_eq(&error.to_string());
}

/// A lost watch must time out early enough for a published configuration to be in force in time.
/// With a watch of 15 s that counted as lost after 5 s more, a configuration was not in force
/// within 18 s.
#[test]
fn a_watch_that_gets_lost_costs_less_than_a_configuration_may_take() {
    let pacing = sidecar(SIDECAR).expect("good settings").platform.pacing;
    assert_eq!(pacing.apply, Duration::from_secs(18));
    let waiting = pacing.next_watch(false);
    assert!(waiting.wait < waiting.limit);
    assert!(pacing.pause + waiting.limit < pacing.apply);
    let after_a_failure = pacing.next_watch(true);
    assert_eq!(after_a_failure.wait, Duration::ZERO);
    assert!(after_a_failure.limit + pacing.retry_pause < pacing.apply);
    let error =
        sidecar(&SIDECAR.replace("[platform]", "[platform]\napply = 2 s\nretry_pause = 2 s"));
    expect!["error 19: sidecar.ini:10 [platform] apply: apply leaves no time after retry_pause"]
        .assert_eq(&error.expect_err("a fault").to_string());
}

#[test]
fn every_fault_names_file_line_section_and_key() {
    check_sidecar(
        "slots = many\n",
        expect![[r#"error 15: sidecar.ini:15 [upstream] slots: "many" is not a number"#]],
    );
    check_sidecar(
        "slots = 0\n",
        expect!["error 17: sidecar.ini:15 [upstream] slots: 0 is outside 1 to 100000"],
    );
    check_sidecar(
        "silence_limit = 30\n",
        expect![[
            r#"error 16: sidecar.ini:15 [upstream] silence_limit: "30" lacks a unit this key takes"#
        ]],
    );
    check_sidecar(
        "colour = red\n",
        expect!["error 13: sidecar.ini:15 [upstream] colour: is not known here"],
    );
    check_sidecar(
        "[weather]\nsun = yes\n",
        expect!["error 12: sidecar.ini:15 [weather]: is not known here"],
    );
    check_sidecar(
        "slots = 1\nslots = 2\n",
        expect!["error 18: sidecar.ini:16 [upstream] slots: stands twice"],
    );
    check_sidecar(
        "[fairness]\norder = random\n",
        expect!["error 15: sidecar.ini:16 [fairness] order: takes fair or arrival"],
    );
    let error = SidecarSettings::read("no-such-file.ini").expect_err("a fault");
    expect!["error 10: no-such-file.ini: No such file or directory (os error 2)"]
        .assert_eq(&error.to_string());
}

#[test]
fn a_configuration_is_refused_whole_with_the_reason() {
    check_fleet(
        "[account a]\nshare = 1\nclass = none\n",
        expect![[r#"error 21: fleet.ini:3 [account a] class: no class "none""#]],
    );
    check_fleet(
        "[rule r]\nrequests = a in ()\n",
        expect![[r#"error 20: fleet.ini:2 [rule r] requests: cannot read "a in ()""#]],
    );
    check_fleet(
        "[class c]\npatience = 5\n",
        expect![[r#"error 16: fleet.ini:2 [class c] patience: "5" lacks a unit this key takes"#]],
    );
    check_fleet(
        "[group g]\nkind = plain\nprefix = /v1/x\nsecond_weight = 1\n",
        expect!["error 15: fleet.ini:3 [group g] prefix: must start with / and lie outside /v1/"],
    );
    check_fleet(
        "[lot x]\n",
        expect![
            "error 12: fleet.ini:1 [lot x]: is none of class, group, account, rule, zone, host"
        ],
    );
    check_fleet(
        "[class c]\npatience = 1 s\n[account a]\nshare = -1\nclass = c\n",
        expect!["error 17: fleet.ini:4 [account a] share: -1 is outside 0.000001 to 1000000"],
    );
}

proptest! {
    #[test]
    fn no_bytes_make_the_parsers_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let text = String::from_utf8_lossy(&bytes);
        let _sidecar = sidecar(&text);
        let _fleet = fleet(&text);
    }

    #[test]
    fn no_near_miss_makes_the_parsers_panic(
        cut in 0usize..400,
        insert in "[\\[\\]=;#\"\\\\ \\n a-z0-9]{0,20}",
    ) {
        let mut text = SIDECAR.to_owned();
        text.insert_str(cut.min(text.len()), &insert);
        let _sidecar = sidecar(&text);
        let _fleet = fleet(&text);
    }
}
