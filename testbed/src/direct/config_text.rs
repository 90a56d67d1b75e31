use {
    super::RouteText,
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

/// The operator's configuration as JSON text, for the host `app.example` and the client
/// account `lot`.
pub struct ConfigText<'c> {
    pub version: u64,
    pub routes: &'c [RouteText],
    pub keys: &'c [&'c str],                     // API keys of the account
    pub more_accounts: &'c [(&'c str, &'c str)], // name and API key
    pub service_fields: Value, // JSON object of fields that are added to each service
    pub max_head: usize,       // bytes of a request's head
    pub max_body: usize,       // bytes of a request's body
    pub idle_timeout_ms: u64,  // of a connection between requests
}

impl<'c> ConfigText<'c> {
    /// A configuration in which the account has the key `key-1`.
    pub fn new(
        version: u64,
        routes: &'c [RouteText],
    ) -> Self {
        Self {
            version,
            routes,
            keys: &["key-1"],
            more_accounts: &[],
            service_fields: json!({}),
            max_head: 8 << 10,
            max_body: 64 << 10,
            idle_timeout_ms: 15_000,
        }
    }

    /// The JSON document that the store holds.
    pub fn to_json(&self) -> Value {
        let services: Vec<Value> = self
            .routes
            .iter()
            .flat_map(|route| {
                let further = route.split.iter().map(|(service, _)| *service);
                std::iter::once(route.service).chain(further)
            })
            .collect::<BTreeSet<&str>>()
            .into_iter()
            .map(|name| self.service(name))
            .collect();
        let routes: Vec<Value> = self.routes.iter().map(route_json).collect();
        let mut accounts = vec![json!({"name": "lot", "api_keys": self.keys})];
        let more = self.more_accounts.iter();
        accounts.extend(more.map(|(name, key)| json!({"name": name, "api_keys": [key]})));
        json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": self.max_head, "max_body_bytes": self.max_body,
                       "header_timeout_ms": 3000, "idle_timeout_ms": self.idle_timeout_ms},
            "tenants": accounts,
        })
    }

    fn service(
        &self,
        name: &str,
    ) -> Value {
        let mut service = json!({
            "name": name, "health_path": "/health", "max_connections": 100,
            "protocol": "h1",
        });
        for (name, value) in self.service_fields.as_object().into_iter().flatten() {
            service[name] = value.clone();
        }
        service
    }
}

fn route_json(route: &RouteText) -> Value {
    let parts = route.split.iter().filter(|(_, weight)| *weight > 0);
    let split: Vec<Value> = parts
        .map(|(service, weight)| json!({"service": service, "weight": weight}))
        .collect();
    json!({
        "name": format!("r{}", route.prefix.replace('/', "-")),
        "host": "app.example", "path_prefix": route.prefix,
        "kind": route.kind, "service": route.service,
        "timeout_ms": route.timeout_ms, "target_latency_ms": 500,
        "priority": 1, "max_attempts": route.attempts,
        "public": route.public, "resumable": route.resumable,
        "allowed_regions": route.regions, "traffic_split": split,
    })
}
