use {
    super::{FleetPlan, FleetText},
    crate::{load::TraceSource, standin::EngineSettings},
    std::{collections::BTreeMap, time::Duration},
};

/// What the requests of a traffic class call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    Model(&'static str), // name of the model
    Plain(&'static str), // path of a plain service
}

/// An example deployment with a trace of its traffic.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub plan: FleetPlan,
    pub shares: BTreeMap<String, f64>,
    pub patience: BTreeMap<String, Duration>, // longest wait for a first byte, by class
    pub work: BTreeMap<String, Work>,         // by class
    pub trace: &'static str,                  // text of the committed trace file
    pub sources: &'static [TraceSource],      // from which the trace was generated
    pub seed: u64,                            // with which the trace was generated
}

/// The secret key of a client account in the testbed, derived from its name.
pub fn account_key(name: &str) -> String {
    format!("key-of-{name}")
}

/// Engines of both deployments, faster than real ones to keep demonstrations short.
const ENGINE: EngineSettings = EngineSettings {
    slots: 4,
    token_time: Duration::from_millis(8),
    prefill_time: Duration::from_millis(20),
    cached_prefixes: 4,
};

const fn source(
    account: &'static str,
    class: &'static str,
    per_second: f64,
    median_tokens: f64,
) -> TraceSource {
    TraceSource {
        account,
        class,
        per_second,
        median_tokens,
    }
}

/// Traffic of the parking operator's ten client accounts, a few of them large.
/// `lot-yvr` asks for far more than its share.
const PARKING_SOURCES: &[TraceSource] = &[
    source("lot-yvr", "draft", 60.0, 90.0),
    source("lot-yyj", "draft", 12.0, 90.0),
    source("lot-ylw", "draft", 4.0, 90.0),
    source("lot-yxx", "draft", 4.0, 90.0),
    source("disputes", "draft", 6.0, 120.0),
    source("shift-logs", "draft", 3.0, 150.0),
    source("refunds", "chat", 6.0, 50.0),
    source("attendants", "chat", 5.0, 40.0),
    source("travellers", "chat", 12.0, 40.0),
    source("travellers", "gate", 40.0, 0.0),
    source("gates", "gate", 120.0, 0.0),
];

/// Traffic of the ten members of a brokers' association, a few of them large.
const ASSOCIATION_SOURCES: &[TraceSource] = &[
    source("member-1", "digest", 45.0, 80.0),
    source("member-2", "digest", 20.0, 80.0),
    source("member-3", "digest", 12.0, 80.0),
    source("member-4", "digest", 4.0, 80.0),
    source("member-5", "digest", 4.0, 80.0),
    source("member-6", "patient", 8.0, 120.0),
    source("member-7", "patient", 5.0, 120.0),
    source("member-8", "patient", 3.0, 60.0),
    source("member-9", "quote", 120.0, 0.0),
    source("member-10", "quote", 60.0, 0.0),
];

/// An airport parking operator: three availability zones, 20 model replicas,
/// 3 gate-service replicas, ten client accounts.
pub fn parking() -> Deployment {
    let shares = [
        ("lot-yvr", 3.0),
        ("lot-yyj", 2.0),
        ("lot-ylw", 1.0),
        ("lot-yxx", 1.0),
        ("gates", 2.0),
        ("attendants", 1.0),
        ("refunds", 1.0),
        ("travellers", 2.0),
        ("shift-logs", 1.0),
        ("disputes", 1.0),
    ];
    let classes = [
        ("gate", 1_500, Work::Plain("/gate/confirm")),
        ("chat", 3_000, Work::Model("chatter")),
        ("draft", 20_000, Work::Model("drafter")),
    ];
    let text = FleetText::default()
        .models("drafting", "drafter, chatter")
        .plain("gates", "/gate");
    Deployment {
        name: "parking",
        plan: plan(text, &shares, &classes)
            .routers(3)
            .engines(20, ENGINE)
            .plains(3, 4, Duration::from_millis(20)),
        trace: include_str!("../../traces/parking.csv"),
        sources: PARKING_SOURCES,
        seed: 11,
        ..deployment(&shares, &classes)
    }
}

/// A brokers' association: four routers, 20 model replicas, 4 data-service
/// replicas, ten client accounts.
pub fn association() -> Deployment {
    let shares = [
        ("member-1", 3.0),
        ("member-2", 3.0),
        ("member-3", 2.0),
        ("member-4", 1.0),
        ("member-5", 1.0),
        ("member-6", 2.0),
        ("member-7", 1.0),
        ("member-8", 1.0),
        ("member-9", 2.0),
        ("member-10", 1.0),
    ];
    let classes = [
        ("quote", 1_500, Work::Plain("/quotes/snapshot")),
        ("digest", 5_000, Work::Model("digester")),
        ("patient", 20_000, Work::Model("explainer")),
    ];
    let text = FleetText::default()
        .models("writing", "digester, explainer")
        .plain("quotes", "/quotes");
    Deployment {
        name: "association",
        plan: plan(text, &shares, &classes)
            .routers(4)
            .engines(20, ENGINE)
            .plains(4, 4, Duration::from_millis(20)),
        trace: include_str!("../../traces/association.csv"),
        sources: ASSOCIATION_SOURCES,
        seed: 12,
        ..deployment(&shares, &classes)
    }
}

type Shares = [(&'static str, f64)];
type Classes = [(&'static str, u64, Work)]; // name, patience in ms, target

fn plan(
    text: FleetText,
    shares: &Shares,
    classes: &Classes,
) -> FleetPlan {
    let text = classes.iter().fold(text, |text, (class, patience, _)| {
        text.class(class, &format!("{patience} ms")).rule(
            &format!("{class}-work"),
            &[("requests", &format!("work = {class}")), ("class", class)],
        )
    });
    let (default_class, ..) = classes[1];
    let text = shares.iter().fold(text, |text, (account, share)| {
        text.account(account, *share, default_class, "")
    });
    FleetPlan::new(text).one_way_delay(Duration::from_millis(1))
}

fn deployment(
    shares: &Shares,
    classes: &Classes,
) -> Deployment {
    Deployment {
        name: "",
        plan: FleetPlan::default(),
        shares: shares
            .iter()
            .map(|(account, share)| ((*account).to_owned(), *share))
            .collect(),
        patience: classes
            .iter()
            .map(|(class, patience, _)| ((*class).to_owned(), Duration::from_millis(*patience)))
            .collect(),
        work: classes
            .iter()
            .map(|(class, _, work)| ((*class).to_owned(), *work))
            .collect(),
        trace: "",
        sources: &[],
        seed: 0,
    }
}
