use {
    crate::{catalog::CatalogVersion, policy::Moment},
    std::time::Duration,
};

/// How long a router that the store answers, and that knows something, may be behind another
/// before it asks for news: the store tells its readers of a change within some tens of
/// milliseconds of each other. Longer, and a reader whose connection to the store fell silent
/// sends to replicas that have just started as if they had not.
const PATIENCE: Duration = Duration::from_millis(150);

/// Whether what another router knows and this one does not is still on its way from the
/// store, or has to be asked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behind {
    heard: Option<(CatalogVersion, Moment)>, // the first version not reached yet, and when
}

impl Behind {
    /// Whether to ask for news now. `theirs` is a version that another has and this router
    /// has not, if there is one. One that the store tells waits for it.
    pub fn should_ask(
        &mut self,
        now: Moment,
        ours: CatalogVersion,
        theirs: Option<CatalogVersion>,
        store_tells: bool,
    ) -> bool {
        // Under many changes some other is ahead at any time; what counts is how long the
        // same one is.
        self.heard = self.heard.filter(|(version, _)| version.is_ahead_of(ours));
        let Some(theirs) = theirs else {
            return false;
        };
        let (_, since) = *self.heard.get_or_insert((theirs, now));
        !store_tells || now.saturating_sub(since) >= PATIENCE
    }

    /// News were asked for: what is not reached then begins anew.
    pub fn asked(&mut self) {
        self.heard = None;
    }
}
