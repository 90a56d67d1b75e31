//! The command-line tools, as an operator runs them: output, exit codes and created files.

use {
    archmast::conf::{RouterSettings, SidecarSettings},
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, nonce, program_path},
        standin::{ChatBody, EngineSettings},
    },
    expect_test::expect,
    serde_json::Value,
    std::{fs, path::PathBuf, process::Command},
};

fn run(
    program: &str,
    words: &[&str],
) -> (i32, String, String) {
    let output = Command::new(program_path(program))
        .args(words)
        .output()
        .expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (
        output.status.code().expect("an exit code"),
        text(output.stdout),
        text(output.stderr),
    )
}

fn scratch(
    name: &str,
    text: &str,
) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("archmast-cli-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    fs::write(&path, text).expect("a file");
    path
}

fn config() -> FleetText {
    FleetText::default()
        .class("chat", "5 s")
        .models("drafting", "drafter")
        .account("lot-a", 2.0, "chat", "lot=a")
        .rule("home", &[("requests", "lot = a"), ("hosts", "zone = z1")])
}

fn plan() -> FleetPlan {
    FleetPlan::new(config())
        .routers(1)
        .engines(2, EngineSettings::default())
}

#[test]
fn check_uses_the_validator_and_result_codes_of_the_processes() {
    let good = scratch("good.ini", config().text());
    let (code, out, _) = run("archmastctl", &["check", &good.display().to_string()]);
    assert_eq!(code, 0);
    assert!(
        out.contains("1 accounts, 1 classes, 1 groups, 1 rules"),
        "{out}"
    );
    let bad = scratch("bad.ini", "[class c]\npatience = 5\n");
    let (code, _, error) = run("archmastctl", &["check", &bad.display().to_string()]);
    assert_eq!(code, 16);
    assert!(error.contains("bad.ini:2 [class c] patience"), "{error}");
}

#[test]
fn a_timeline_merges_the_lines_of_all_logs_around_a_moment() {
    let line = |at: u64, host: &str, message: &str, upstream: &str| {
        format!(
            "{{\"unix_ms\":{at},\"host\":\"{host}\",\"message\":\"{message}\",\"upstream\":\"{upstream}\"}}\n"
        )
    };
    let one = line(10_000, "r1", "upstream gone", "i-a") + &line(99_000, "r1", "later", "i-a");
    let two = line(9_000, "r2", "sent", "i-a") + &line(10_500, "r2", "sent", "i-b");
    let one = scratch("r1.log", &one).display().to_string();
    let two = scratch("r2.log", &("no JSON\n".to_owned() + &two))
        .display()
        .to_string();
    let whole = ["timeline", &one, &two, "--at", "10000"];
    let (code, out, _) = run("archmastctl", &whole);
    let places: Vec<Option<usize>> = ["9000", "10000", "10500"]
        .iter()
        .map(|moment| out.find(moment))
        .collect();
    assert_eq!(code, 0);
    assert!(
        places.iter().all(Option::is_some) && places.is_sorted() && !out.contains("later"),
        "{out}"
    );
    let narrow = [&whole[..], &["--around", "1", "--only", "i-a"]].concat();
    let (_, out, _) = run("archmastctl", &narrow);
    assert!(
        out.contains("upstream gone") && !out.contains("i-b"),
        "{out}"
    );
    let nothing = ["timeline", &one, "--at", "50000"];
    assert_eq!(run("archmastctl", &nothing).0, 94);
    for wrong in [
        &["timeline", &one][..],
        &["timeline", "--at", "10000"],
        &["timeline", &one, "--at", "soon"],
    ] {
        assert_eq!(run("archmastctl", wrong).0, 90, "{wrong:?}");
    }
}

#[test]
fn a_wrong_command_line_exits_with_90() {
    for program in [
        "archmastctl",
        "archmast-router",
        "archmast-sidecar",
        "archmast-keys",
    ] {
        let (code, _, error) = run(program, &["--no-such-option"]);
        assert_eq!(code, 90, "{program}: {error}");
        assert!(error.starts_with("error 90"), "{error}");
    }
}

#[test]
fn daemons_print_their_defaults_and_check_settings() {
    let (code, out, _) = run("archmast-router", &["--print-defaults"]);
    assert_eq!((code, out.as_str()), (0, RouterSettings::SHIPPED));
    let path = scratch("sidecar.ini", SidecarSettings::SHIPPED);
    let path = path.display().to_string();
    let words = ["--settings", path.as_str(), "--check-settings"];
    let (code, _, error) = run("archmast-sidecar", &words);
    assert_eq!(code, 14);
    assert!(error.contains("[process] host: is required"), "{error}");
}

#[test]
fn keys_are_readable_by_their_owner_only_and_never_overwritten() {
    let folder = scratch("keys", "").with_extension("d");
    fs::create_dir_all(&folder).expect("a folder");
    let folder = folder.display().to_string();
    assert_eq!(run("archmast-keys", &["authority", &folder]).0, 0);
    assert_eq!(
        run("archmast-keys", &["issue", &folder, "m1", "sidecar"]).0,
        0
    );
    assert_eq!(
        run("archmast-keys", &["issue", &folder, "m1", "sidecar"]).0,
        93
    );
    assert_eq!(
        run("archmast-keys", &["issue", &folder, "m2", "boss"]).0,
        90
    );
    let mode = fs::metadata(format!("{folder}/m1.key"))
        .expect("a file")
        .permissions();
    assert_eq!(
        std::os::unix::fs::PermissionsExt::mode(&mode) & 0o777,
        0o600
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_the_fleet_and_where_a_request_may_run() {
    let mut fleet = Fleet::start(plan()).await;
    let body = ChatBody::new("drafter", "p", &nonce(), 10, false);
    assert!(fleet.caller(0, "lot-a").chat(&body).await.is_complete());
    let platform = fleet.platform.address.to_string();
    let with_platform = |words: &[&str]| {
        let mut all = words.to_vec();
        all.extend(["--platform", platform.as_str()]);
        run("archmastctl", &all)
    };
    let (code, out, _) = with_platform(&["explain", "--account", "lot-a", "--model", "drafter"]);
    assert_eq!(code, 0);
    expect![[r#"
        account lot-a has share 2
        class chat with 5000 ms of patience
        group drafting
        labels account=lot-a, class=chat, group=drafting, lot=a, model=drafter
        rules home
         upstream  may serve  excluded by 
         m1        yes                    
         m2        no         rule home   
    "#]]
    .assert_eq(&out);
    let (code, out, _) = with_platform(&["status", "--json"]);
    let statuses: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, statuses.as_array().map(Vec::len)), (0, Some(3)));
    let (code, out, _) = with_platform(&["shares", "--json"]);
    let shares: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(code, 0);
    assert_eq!(shares[0]["account"], "lot-a");
    assert!(
        shares[0]["service"].as_f64().expect("a number") >= 10.0,
        "{out}"
    );
    let (code, out, _) = with_platform(&["audit", "--revision", "1"]);
    assert_eq!(code, 0);
    assert_eq!(out.matches("config_accepted").count(), 3, "{out}");
    assert_eq!(with_platform(&["audit", "--revision", "77"]).0, 94);
    fleet.sidecars[0].process.kill();
    let (code, out, error) = with_platform(&["status"]);
    assert_eq!(code, 92, "{error}");
    assert!(error.contains("m1") && out.contains("m2"));
}
