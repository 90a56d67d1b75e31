use {super::gateway::Gateway, crate::policy::placement::WorkNumber, std::sync::Arc};

/// A request that counts at its replica for as long as this lives.
pub struct HeldWork {
    gateway: Arc<Gateway>,
    number: WorkNumber,
    replica: Arc<str>,
}

impl HeldWork {
    /// Counts a request that the board has started.
    pub fn new(
        gateway: Arc<Gateway>,
        number: WorkNumber,
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

    /// Its first token came.
    pub fn first_token(&self) {
        let now = self.gateway.now();
        self.gateway.board().first_token(now, self.number);
    }
}

impl Drop for HeldWork {
    fn drop(&mut self) {
        self.gateway.board().finish(self.number);
    }
}
