use {
    crate::policy::Moment,
    std::{collections::HashMap, collections::VecDeque, time::Duration},
};

/// Limits the retries of each service to a fraction of its requests in every window, so that all
/// routers together keep the fleet's limit without asking each other.
#[derive(Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64, // retries per request
    extra: f64, // retries that the whole fleet may make in a window beyond that
    services: HashMap<String, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryWindow {
    /// A window of this length.
    pub fn new(
        window: Duration,
        ratio: f64,
        extra: f64,
    ) -> Self {
        Self {
            window,
            ratio,
            extra,
            services: HashMap::new(),
        }
    }

    /// Changes the limits and keeps the counts.
    pub fn set_bounds(
        &mut self,
        window: Duration,
        ratio: f64,
        extra: f64,
    ) {
        self.window = window;
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Counts a first attempt.
    pub fn record_request(
        &mut self,
        now: Moment,
        service: &str,
    ) {
        let window = self.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        drop_old(&mut counts.requests, now, window);
    }

    /// Whether the limit leaves a retry for this router, one of `routers` in the fleet.
    pub fn has_retry(
        &mut self,
        now: Moment,
        service: &str,
        routers: usize,
    ) -> bool {
        let (window, ratio) = (self.window, self.ratio);
        let extra = self.extra / routers.max(1) as f64;
        let counts = self.counts(service);
        drop_old(&mut counts.requests, now, window);
        drop_old(&mut counts.retries, now, window);
        let allowed = ratio * counts.requests.len() as f64 + extra;
        counts.retries.len() as f64 + 1.0 <= allowed
    }

    /// Takes a retry if there is one, see [`Self::has_retry`].
    pub fn try_take_retry(
        &mut self,
        now: Moment,
        service: &str,
        routers: usize,
    ) -> bool {
        let has_retry = self.has_retry(now, service, routers);
        if has_retry {
            self.counts(service).retries.push_back(now);
        }
        has_retry
    }

    fn counts(
        &mut self,
        service: &str,
    ) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

fn drop_old(
    moments: &mut VecDeque<Moment>,
    now: Moment,
    window: Duration,
) {
    while moments.front().is_some_and(|moment| *moment + window < now) {
        moments.pop_front();
    }
}
