use {
    super::{FleetPlan, FleetText},
    crate::standin::EngineSettings,
    std::time::Duration,
};

/// One of the brief's two deployments.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub plan: FleetPlan,
    pub trace: &'static str, // recorded, in the traces folder
}

/// The key of an account in the testbed, made from its name.
pub fn account_key(name: &str) -> String {
    format!("key-of-{name}")
}

/// Engines as both users have them, sped up so that a demonstration is short.
const ENGINE: EngineSettings = EngineSettings {
    slots: 4,
    token_time: Duration::from_millis(4),
    prefill_time: Duration::from_millis(20),
    cached_prefixes: 4,
};

/// The airport parking operator: three availability zones, 20 model replicas,
/// 3 gate replicas, ten client accounts.
pub fn parking() -> Deployment {
    let text = FleetText::default()
        .class("gate", "1500 ms")
        .class("chat", "6 s")
        .class("draft", "20 s")
        .models("drafting", "drafter, summariser, chatter")
        .plain("gates", "/gate");
    let accounts = [
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
    let text = accounts.iter().fold(text, |text, (name, share)| {
        let class = match *name {
            "gates" => "gate",
            "travellers" | "attendants" => "chat",
            _ => "draft",
        };
        text.account(name, *share, class, "")
    });
    Deployment {
        name: "parking",
        plan: FleetPlan::new(text)
            .routers(3)
            .engines(20, ENGINE)
            .plains(3, 4, Duration::from_millis(20))
            .one_way(Duration::from_millis(1)),
        trace: "parking.csv",
    }
}

/// The brokers' association: four availability zones, 20 model replicas, 4
/// data-service replicas, ten client accounts.
pub fn association() -> Deployment {
    let text = FleetText::default()
        .class("quote", "1500 ms")
        .class("digest", "6 s")
        .class("patient", "20 s")
        .models("writing", "digester, explainer, alerter")
        .plain("quotes", "/quotes");
    let text = (1..=10).fold(text, |text, number| {
        let share = if number <= 3 { 3.0 } else { 1.0 };
        let class = match number {
            1..=5 => "digest",
            6..=8 => "patient",
            _ => "quote",
        };
        text.account(&format!("member-{number}"), share, class, "")
    });
    Deployment {
        name: "association",
        plan: FleetPlan::new(text)
            .routers(4)
            .engines(20, ENGINE)
            .plains(4, 4, Duration::from_millis(20))
            .one_way(Duration::from_millis(1)),
        trace: "association.csv",
    }
}
