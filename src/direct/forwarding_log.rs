use {
    crate::ops::{CONNECTIONS_FORWARDED, CONNECTIONS_KEPT},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// What became of a caller's new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarding {
    /// It was forwarded to a neighbour.
    Forwarded,
    /// It stays, as this router is not busy.
    NotBusy,
    /// It stays, as no neighbour has processor time to spare.
    NoNeighbour,
    /// It stays, as this router refuses requests before it stops.
    Refusing,
    /// It stays, as its caller sent nothing in time.
    Silent,
    /// It stays, as the neighbour did not answer the check.
    CheckFailed,
}

impl Forwarding {
    const ALL: [Self; 6] = [
        Self::Forwarded,
        Self::NotBusy,
        Self::NoNeighbour,
        Self::Refusing,
        Self::Silent,
        Self::CheckFailed,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Forwarded => "handed_on",
            Self::NotBusy => "not_busy",
            Self::NoNeighbour => "no_neighbour",
            Self::Refusing => "refusing",
            Self::Silent => "silent",
            Self::CheckFailed => "check_failed",
        }
    }
}

/// Counts what became of callers' new connections, for a line once in a while.
#[derive(Default)]
pub struct ForwardingLog([AtomicU64; Forwarding::ALL.len()]);

impl ForwardingLog {
    /// Counts a connection.
    pub fn record(
        &self,
        forwarding: Forwarding,
    ) {
        match forwarding {
            Forwarding::Forwarded => metrics::counter!(CONNECTIONS_FORWARDED).increment(1),
            kept => metrics::counter!(CONNECTIONS_KEPT, "why" => kept.name()).increment(1),
        }
        self.0[forwarding as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Logs what was counted since the last call, unless this router was never busy.
    pub fn write_line(&self) {
        let counts = Forwarding::ALL.map(|forwarding| {
            let count = self.0[forwarding as usize].swap(0, Ordering::Relaxed);
            (forwarding, count)
        });
        let counted = |(forwarding, count): &&(Forwarding, u64)| {
            *count > 0 && *forwarding != Forwarding::NotBusy
        };
        let texts: Vec<String> = counts
            .iter()
            .filter(counted)
            .map(|(forwarding, count)| format!("{}={count}", forwarding.name()))
            .collect();
        if !texts.is_empty() {
            let texts = texts.join(" ");
            log::info!(connections = texts.as_str(); "new connections of callers, handed on or not");
        }
    }
}
