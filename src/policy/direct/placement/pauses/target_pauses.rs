use {
    crate::policy::Moment,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Time after the last stream with a target pause from which on the target is ignored.
const RETENTION: Duration = Duration::from_secs(20);

/// Pause targets of the streams that were recently sent to each service.
#[derive(Debug, Default)]
pub struct TargetPauses {
    services: HashMap<Arc<str>, HashMap<Duration, Moment>>, // last sending by service and target
}

impl TargetPauses {
    /// Records that a stream with this target pause was sent.
    pub fn record(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        target: Duration,
    ) {
        match self.services.get_mut(service) {
            Some(targets) => _ = targets.insert(target, now),
            None => {
                _ = self
                    .services
                    .insert(service.clone(), [(target, now)].into())
            }
        }
    }

    /// The shortest target pause of a service; none if no recent stream has one.
    pub fn shortest(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let recent = self.services.get(service)?.iter();
        recent
            .filter(|(_, sent)| now.saturating_sub(**sent) <= RETENTION)
            .map(|(target, _)| *target)
            .min()
    }
}
