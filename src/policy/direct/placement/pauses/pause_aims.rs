use {
    crate::policy::Moment,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Streams with a pause aim that were not sent for this long run no more.
const FORGOTTEN: Duration = Duration::from_secs(20);

/// The longest pauses that are in time, of the streams that were sent to each service
/// lately.
#[derive(Debug, Default)]
pub struct PauseAims {
    services: HashMap<Arc<str>, HashMap<Duration, Moment>>, // by service and aim, when last sent
}

impl PauseAims {
    /// A stream with this aim was sent.
    pub fn note(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        aim: Duration,
    ) {
        match self.services.get_mut(service) {
            Some(aims) => _ = aims.insert(aim, now),
            None => _ = self.services.insert(service.clone(), [(aim, now)].into()),
        }
    }

    /// The shortest among them. None if no stream has one.
    pub fn shortest(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let recent = self.services.get(service)?.iter();
        recent
            .filter(|(_, sent)| now.saturating_sub(**sent) <= FORGOTTEN)
            .map(|(aim, _)| *aim)
            .min()
    }
}
