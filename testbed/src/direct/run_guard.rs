use {super::replica_state::ReplicaState, std::time::Instant};

/// A run in progress.
pub(super) struct RunGuard<'s> {
    pub state: &'s ReplicaState,
    pub index: usize, // in `run_times`
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut run_times = self.state.run_times.lock().expect("lock");
        run_times[self.index].ended = Some(Instant::now());
    }
}
