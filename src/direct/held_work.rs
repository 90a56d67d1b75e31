use {
    super::gateway::Gateway,
    crate::{catalog::UpstreamEntry, policy::placement::InFlightId},
    std::sync::Arc,
};

/// A request that counts at its replica for as long as this lives.
pub struct HeldWork {
    gateway: Arc<Gateway>,
    number: InFlightId,
    replica: Arc<str>,
}

impl HeldWork {
    /// Counts a request that the board has started.
    pub fn new(
        gateway: Arc<Gateway>,
        number: InFlightId,
        replica: Arc<str>,
    ) -> Self {
        Self {
            gateway,
            number,
            replica,
        }
    }

    /// The replica's id.
    pub fn replica(&self) -> &Arc<str> {
        &self.replica
    }

    /// Whether its request may still be sent to a replica.
    pub fn may_be_sent(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        let now = self.gateway.now();
        let board = self.gateway.board();
        board.may_be_sent(now, self.number, replica)
    }

    /// Its first token came.
    pub fn first_token(&self) {
        let now = self.gateway.now();
        let news = self.gateway.board().first_token(now, self.number);
        if let Some(times) = news {
            log::info!(
                replica = &*self.replica,
                fixed_ms = times.fixed_ms as u64,
                thousand_tokens_ms = (times.token_ms * 1000.0) as u64,
                residual_ms = times.residual_ms as u64;
                "engines are believed to be faster or slower than before"
            );
        }
    }
}

impl Drop for HeldWork {
    fn drop(&mut self) {
        self.gateway.board().finish(self.number);
    }
}
