use {
    super::Series,
    crate::{
        fleet::{Fleet, FleetPlan, FleetText},
        measure::ProcessUsage,
        standin::EngineSettings,
    },
    archmast::{
        directory::FLEET_KEY,
        fleet::{Manifest, ManifestPart, Revision, VersionedConfig, sha256_hex},
    },
    std::{collections::BTreeMap, sync::Arc, time::Instant},
};

/// Client accounts configured, for each point.
const ACCOUNTS: [usize; 5] = [1_000, 5_000, 10_000, 20_000, 40_000];

/// Accounts in one part, which stays well under a megabyte.
const PART: usize = 4_000;

/// What configured accounts cost: bytes, validation, memory, time to be in
/// force.
pub async fn account_series() -> Vec<Series> {
    let (mut bytes, mut validation) = (Vec::new(), Vec::new());
    let (mut router, mut sidecar, mut in_force) = (Vec::new(), Vec::new(), Vec::new());
    for count in ACCOUNTS {
        let x = count as f64;
        let plan = plan();
        let parts = parts(&plan, count);
        bytes.push((
            x,
            parts.iter().map(|(_, text)| text.len()).sum::<usize>() as f64,
        ));
        validation.push((x, validation_ms(&parts)));
        let fleet = Fleet::start(plan).await;
        let started = Instant::now();
        let revision = fleet.platform.publish_parts(&parts).expect("parts fit");
        fleet.in_force(&fleet.operators(), revision).await;
        in_force.push((x, started.elapsed().as_secs_f64() * 1_000.0));
        // A second revision lets memory show what a change needs at its peak.
        let mut changed = parts.clone();
        changed[0].1.push('\n');
        let revision = fleet.platform.publish_parts(&changed).expect("parts fit");
        fleet.in_force(&fleet.operators(), revision).await;
        router.push((
            x,
            ProcessUsage::of(fleet.routers[0].process.id()).resident_mb,
        ));
        sidecar.push((
            x,
            ProcessUsage::of(fleet.sidecars[0].process.id()).resident_mb,
        ));
    }
    let per = "client accounts configured";
    vec![
        Series::new("config_bytes", per, "B of configuration", &bytes),
        Series::new("config_validation", per, "ms to validate", &validation),
        Series::new(
            "config_in_force",
            per,
            "ms until in force at 3 processes",
            &in_force,
        ),
        Series::new("router_memory_accounts", per, "MB resident", &router),
        Series::new("sidecar_memory_accounts", per, "MB resident", &sidecar),
    ]
}

fn plan() -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter");
    FleetPlan::new(text)
        .routers(1)
        .engines(2, EngineSettings::default())
}

fn parts(
    plan: &FleetPlan,
    count: usize,
) -> Vec<(String, String)> {
    let mut parts = vec![("base".to_owned(), plan.config_text().text().to_owned())];
    for first in (0..count).step_by(PART) {
        let last = (first + PART).min(count);
        let text = (first..last).fold(FleetText::default(), |text, number| {
            text.account(
                &format!("account-{number:05}"),
                1.0,
                "chat",
                "tier=gold, region=west",
            )
        });
        parts.push((format!("accounts-{first:05}"), text.text().to_owned()));
    }
    parts
}

fn validation_ms(parts: &[(String, String)]) -> f64 {
    let mut by_digest: BTreeMap<String, Arc<str>> = BTreeMap::new();
    let mut manifest = Manifest { parts: Vec::new() };
    for (name, text) in parts {
        let digest = sha256_hex(text.as_bytes());
        by_digest.insert(digest.clone(), text.as_str().into());
        manifest.parts.push(ManifestPart {
            name: name.clone(),
            digest,
        });
    }
    let started = Instant::now();
    let config = VersionedConfig::build(Revision(1), manifest.to_text().into(), by_digest);
    assert!(config.is_ok(), "{FLEET_KEY} is valid");
    started.elapsed().as_secs_f64() * 1_000.0
}
