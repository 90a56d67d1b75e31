//! Exchanges the trials that routers claim after holds.

use {
    super::{PeerLink, PeerMessage, SuspectTrialsMessage},
    crate::policy::{
        Moment, ReporterScope,
        suspects::{SuspectKind, SuspectTracker, TrialReport},
    },
    std::net::SocketAddr,
};

/// Trials in one datagram, at up to 21 bytes each.
const MAX_TRIALS: usize = 32;

impl PeerLink {
    /// The trials that `take` returns, of requests and of parts.
    pub(super) fn take_trials(
        &self,
        now: Moment,
        take: fn(&mut SuspectTracker, Moment) -> Vec<TrialReport>,
    ) -> Vec<TrialReport> {
        let mut suspects = self.gateway.suspects();
        let trials = SuspectKind::ALL.map(|kind| take(suspects.tracker(kind), now));
        trials.into_iter().flatten().collect()
    }

    pub(super) async fn send_trials(
        &self,
        trials: &[TrialReport],
        addresses: &[SocketAddr],
    ) {
        let own = self.gateway.peers.own();
        for part in trials.chunks(MAX_TRIALS) {
            let message = SuspectTrialsMessage {
                zone: own.zone,
                reporter: own.address,
                trials: part.to_vec(),
            };
            let message = PeerMessage::SuspectTrials(message);
            self.send(&message, addresses).await;
        }
    }

    /// Applies the trials that another router claims. Returns whether the message is to be relayed
    /// within the own zone.
    pub(super) fn apply_trials(
        &self,
        from: SocketAddr,
        message: &SuspectTrialsMessage,
    ) -> bool {
        let now = self.gateway.now();
        let (scope, is_relayed) = self.scope_of(from, message.zone, message.reporter);
        let mut suspects = self.gateway.suspects();
        for trial in &message.trials {
            let tracker = suspects.tracker(trial.kind);
            tracker.apply_trial(now, scope, trial);
        }
        drop(suspects);
        if scope == ReporterScope::Router {
            // Other zones wait no longer for a claim than `TrialClaim::WAIT`.
            self.gateway.early_report.notify_one();
        }
        is_relayed
    }
}
