use {
    crate::{
        fleet::HostRole,
        policy::{DemandLine, Grant, GrantNumber, Incarnation, ReportEntry, TotalEntry},
    },
    serde::{Deserialize, Serialize},
};

/// What routers and sidecars tell each other beside the requests themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The first message on a connection, in both directions.
    Hello {
        role: HostRole,
        incarnation: Incarnation,
        leaving: bool,
        settled: bool, // has itself asked peers for the newest configuration
    },
    /// Router to sidecar: what waits.
    Demand {
        seen: GrantNumber, // newest grant known
        lines: Vec<DemandLine>,
    },
    /// Sidecar to router: it forgot what was announced.
    AskDemand,
    /// Sidecar to router.
    Grants(Vec<Grant>),
    /// Router to sidecar: nothing to send for these.
    Declines(Vec<GrantNumber>),
    /// Sidecar to router: slots that offers without a grant may take.
    Room { free: u32 },
    /// Either way: no new work, please.
    Leaving,
    /// Sidecar to an account's keeper.
    Report {
        sequence: u64,
        floor: Option<f64>, // least service per share among waiting accounts
        entries: Vec<ReportEntry>,
    },
    /// Keeper to sidecar.
    Totals {
        sequence: u64, // of the report it answers
        entries: Vec<TotalEntry>,
    },
    /// Either way: a new configuration came into force; see the envelope.
    NewRevision,
}

impl ControlMessage {
    /// The kind, for counting bytes.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Demand { .. } => "demand",
            Self::AskDemand => "ask_demand",
            Self::Grants(_) => "grants",
            Self::Declines(_) => "declines",
            Self::Room { .. } => "room",
            Self::Leaving => "leaving",
            Self::Report { .. } => "report",
            Self::Totals { .. } => "totals",
            Self::NewRevision => "new_revision",
        }
    }
}
