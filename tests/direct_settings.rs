//! Settings of a router of the direct form: their checks, and that the file which the platform
//! fills in has the same keys.

use {
    archmast::{
        codes::ResultCode,
        conf::{DirectSettings, IniDocument},
    },
    std::time::Duration,
};

/// The template of the settings file, filled in with all optional bounds.
fn filled() -> String {
    let lines = include_str!("../deploy/router.ini").lines();
    let filled_lines = lines.map(|line| match line.strip_prefix("{{#") {
        Some(rest) => {
            let (_, rest) = rest.split_once("}}").expect("the end of the condition");
            rest.rsplit_once("{{/").expect("the end of the section").0
        }
        None => line,
    });
    fill(&filled_lines.collect::<Vec<_>>().join("\n"))
}

/// The same without the optional bounds.
fn filled_without_optional_bounds() -> String {
    let lines = include_str!("../deploy/router.ini").lines();
    let unconditional = lines.filter(|line| !line.starts_with("{{#"));
    fill(&unconditional.collect::<Vec<_>>().join("\n"))
}

fn fill(template: &str) -> String {
    let values = [
        ("{{node_name}}", "edge-1"),
        ("{{zone}}", "z"),
        ("{{limits.cpu_share}}", "0.09"),
        ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "z:north,y:south"),
        ("{{limits.memory_mb}}", "160"),
        ("{{ip}}", "10.0.0.1"),
        ("{{listeners_addr.frontend}}", "10.0.0.1:80"),
        ("{{listeners_addr.ready}}", "10.0.0.1:81"),
        ("{{listeners_addr.control_plane}}", "10.0.0.1:82"),
        ("{{internal_port_range.0}}", "7400"),
        ("{{internal_port_range.1}}", "7401"),
        ("{{seeds}}", "10.0.0.1:82,10.0.0.2:82"),
        ("{{platform.address}}", "10.0.0.9:83"),
        ("{{bounds.config_apply_ms}}", "3000"),
        ("{{bounds.budget_window_s}}", "10"),
        ("{{bounds.grace_s}}", "8"),
        ("{{bounds.evacuate_ms}}", "2500"),
        ("{{bounds.cold_overage}}", "1.5"),
        ("{{bounds.cold_tolerance}}", "5"),
    ];
    let mut text = template.to_owned() + "\n";
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "a placeholder is left:\n{text}");
    text
}

fn read(text: &str) -> Result<DirectSettings, ResultCode> {
    let document = IniDocument::parse("router.ini", text).map_err(|error| error.code)?;
    DirectSettings::from_document(document).map_err(|error| error.code)
}

#[test]
fn the_file_that_the_platform_fills_in_is_accepted() {
    let settings = read(&filled()).expect("a valid file");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.process.cores, 0.09);
    assert_eq!(settings.regions.get("y").map(String::as_str), Some("south"));
    let (answers, requests) = (settings.answer_memory, settings.request_memory);
    assert_eq!(
        (answers.per_connection, answers.total),
        (1_250_000, 20_000_000)
    );
    assert_eq!(requests.total, 40_000_000);
    assert_eq!(settings.store_pacing.apply, Duration::from_millis(2500));
    let starts = settings.start_bounds;
    assert_eq!((starts.overage, starts.tolerance), (1.5, 5.0));
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert_eq!(settings.ready_path, "/v1/ready");
    assert!(settings.balancer_lag < settings.grace);
}

#[test]
fn without_bounds_of_slow_start_and_cordons_the_strictest_apply() {
    let settings = read(&filled_without_optional_bounds()).expect("a valid file");
    assert_eq!(settings.store_pacing.apply, Duration::from_secs(3));
    let starts = settings.start_bounds;
    assert_eq!((starts.overage, starts.tolerance), (1.0, 0.0));
}

#[test]
fn faults_get_their_own_codes() {
    let with = |line: &str| read(&format!("{}{line}\n", filled())).expect_err("refused");
    assert_eq!(with("patience = 3 s"), ResultCode::UnknownKey);
    let bad = with("[suspects]\nlet_through = 0123456789abcdef, 12");
    assert_eq!(bad, ResultCode::BadValue);
    assert_eq!(with("[nowhere]\nkey = 1"), ResultCode::UnknownSection);
    assert_eq!(with("balancer_lag = 3"), ResultCode::WrongUnit);
    assert_eq!(with("balancer_lag = soon"), ResultCode::BadValue);
    assert_eq!(with("balancer_lag = 2 h"), ResultCode::OutOfRange);
    assert_eq!(with("[placement]\naim_share = 99"), ResultCode::OutOfRange);
    let long_pause = filled().replace("[catalog]", "[catalog]\npause = 2300 ms");
    assert_eq!(
        read(&long_pause).expect_err("refused"),
        ResultCode::SettingsContradict
    );
    let long_retry_pause = filled().replace("[catalog]", "[catalog]\nretry_pause = 3 s");
    assert_eq!(
        read(&long_retry_pause).expect_err("refused"),
        ResultCode::SettingsContradict
    );
    let busy = filled().replace("[callers]", "[callers]\nmost_busy = 60");
    assert_eq!(read(&busy).expect_err("refused"), ResultCode::OutOfRange);
    let high_ratio = filled().replace("[callers]", "[callers]\nhand_on = 1.5");
    assert_eq!(
        read(&high_ratio).expect_err("refused"),
        ResultCode::OutOfRange
    );
    let without_host = filled().replace("host = edge-1", "host =");
    assert_eq!(
        read(&without_host).expect_err("refused"),
        ResultCode::MissingKey
    );
    let seeds = filled().replace("10.0.0.2:82", "here");
    assert_eq!(read(&seeds).expect_err("refused"), ResultCode::BadValue);
}
