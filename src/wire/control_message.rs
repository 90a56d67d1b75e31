use {
    crate::{
        fleet::HostRole,
        policy::{DemandLine, Grant, GrantNumber, Incarnation, ReportEntry, TotalEntry},
    },
    serde::{Deserialize, Serialize},
};

/// A message between routers and sidecars on a connection's control stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The first message on a connection, in both directions.
    Hello {
        role: HostRole,
        incarnation: Incarnation,
        leaving: bool,
        config_confirmed: bool, // has asked its peers for the newest configuration
    },
    /// Router to sidecar: the requests that wait for a grant.
    Demand {
        newest_grant: GrantNumber, // newest grant that the router has received
        lines: Vec<DemandLine>,
    },
    /// Sidecar to router: the announced demand was dropped, and should be announced again.
    ResendDemand,
    /// Sidecar to router: permissions to send requests.
    Grants(Vec<Grant>),
    /// Router to sidecar: grants for which no request waits.
    Declines(Vec<GrantNumber>),
    /// Sidecar to router: the number of slots free for requests without a grant.
    FreeSlots { free: u32 },
    /// In both directions: the sender is leaving and takes no new work.
    Leaving,
    /// Sidecar to the router that sums the service of the reported accounts over the fleet.
    Report {
        sequence: u64,
        floor: Option<f64>, // least service per share among the sidecar's waiting accounts
        entries: Vec<ReportEntry>,
    },
    /// Router to sidecar: the reply to a report, with the accounts' totals over the fleet.
    Totals {
        sequence: u64, // of the report
        entries: Vec<TotalEntry>,
    },
    /// In both directions: a new configuration came into force. The envelope states which.
    NewRevision,
}

impl ControlMessage {
    /// The message's kind, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Demand { .. } => "demand",
            Self::ResendDemand => "ask_demand",
            Self::Grants(_) => "grants",
            Self::Declines(_) => "declines",
            Self::FreeSlots { .. } => "room",
            Self::Leaving => "leaving",
            Self::Report { .. } => "report",
            Self::Totals { .. } => "totals",
            Self::NewRevision => "new_revision",
        }
    }
}
