use {
    super::{caller_request::RequestKind, config_change::ConfigChange},
    crate::direct::{ConfigText, RouteText, Store},
    serde_json::{Value, json},
};

/// The operator's newest configuration.
#[derive(Debug, Clone)]
pub struct PublishedConfig {
    version: u64,           // number of the newest added route too
    weights: (u32, u32),    // of the services `plain` and `events` on added routes
    max_connections: usize, // to each replica
    timeout_ms: u32,        // of all routes
    idle_timeout_ms: u64,   // of callers' connections
}

impl Default for PublishedConfig {
    fn default() -> Self {
        Self {
            version: 0,
            weights: (1, 0),
            max_connections: 100,
            timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl PublishedConfig {
    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Path prefix of the route that a version added.
    pub fn added_path(version: u64) -> String {
        format!("/added-{version}/")
    }

    /// Makes the next version, with one more route and this change.
    pub fn advance(
        &mut self,
        change: ConfigChange,
    ) {
        self.version += 1;
        match change {
            ConfigChange::Routes => {}
            ConfigChange::Weights { plain, events } => self.weights = (plain, events),
            ConfigChange::Connections(count) => self.max_connections = count,
            ConfigChange::Timeout { ms } => self.timeout_ms = ms,
            ConfigChange::IdleTimeout { ms } => self.idle_timeout_ms = ms,
        }
    }

    /// Writes it to the store, where replicas get at most `slow_per_second` requests a second
    /// after their start, if that is above zero.
    pub fn publish(
        &self,
        store: &Store,
        slow_per_second: usize,
    ) {
        store.publish_config(&ConfigText {
            service_fields: self.service_fields(slow_per_second),
            idle_timeout_ms: self.idle_timeout_ms,
            ..ConfigText::new(self.version, &self.routes())
        });
    }

    fn service_fields(
        &self,
        slow_per_second: usize,
    ) -> Value {
        let mut fields = json!({"max_connections": self.max_connections});
        if slow_per_second > 0 {
            fields["cold_start_s"] = 3.0.into();
            fields["cold_per_s"] = (slow_per_second as f64).into();
        }
        fields
    }

    fn routes(&self) -> Vec<RouteText> {
        let mut routes = vec![
            RouteText::new(RequestKind::Read.path(), "plain", "idempotent"),
            RouteText::new(RequestKind::Charge.path(), "plain", "non_idempotent"),
            RouteText::new(RequestKind::Events.path(), "events", "streaming"),
        ];
        let (plain, events) = self.weights;
        for added in 1..=self.version {
            let prefix: &'static str = Box::leak(Self::added_path(added).into_boxed_str());
            routes.push(RouteText {
                split: vec![("plain", plain), ("events", events)],
                ..RouteText::new(prefix, "plain", "idempotent")
            });
        }
        for route in &mut routes {
            route.timeout_ms = self.timeout_ms;
        }
        routes
    }
}
