use {
    super::{AccountEntry, AllowedRegions, RequestLimits, Route, Service},
    crate::policy::name_hash,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// One version of the configuration, indexed for look-up.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    pub version: u64,
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<Arc<Route>>>, // by host, longest prefix first
    services: HashMap<Arc<str>, Service>,
    shortest_target_latencies: HashMap<Arc<str>, Duration>, // by service
    accounts: HashMap<String, Arc<str>>,                    // account names, by API key
    has_accounts: bool,
    account_regions: HashMap<Arc<str>, AllowedRegions>, // of restricted accounts, by name
}

impl RoutingTable {
    /// Indexes the parts of a configuration.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<AccountEntry>,
    ) -> Self {
        let shortest_target_latencies = shortest_target_latencies(&routes);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_accounts = !accounts.is_empty();
        let account_regions = accounts.iter().filter_map(|account| {
            let regions = account.regions.clone()?;
            Some((account.name.clone(), regions))
        });
        let account_regions = account_regions.collect();
        let keys = accounts.into_iter().flat_map(|account| {
            let name = account.name;
            account.keys.into_iter().map(move |key| (key, name.clone()))
        });
        Self {
            version,
            limits,
            routes: by_host,
            shortest_target_latencies,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            accounts: keys.collect(),
            has_accounts,
            account_regions,
        }
    }

    /// The route of `host` with the longest prefix of `path`. `host` may include a port.
    pub fn route(
        &self,
        host: &str,
        path: &str,
    ) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    pub fn service(
        &self,
        name: &str,
    ) -> Option<&Service> {
        self.services.get(name)
    }

    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The name of the account whose name has this `name_hash`.
    pub fn account_by_hash(
        &self,
        hash: u32,
    ) -> Option<&Arc<str>> {
        let mut names = self.accounts.values();
        names.find(|name| name_hash(name) == hash)
    }

    /// The name of the account with this API key.
    pub fn account(
        &self,
        key: &str,
    ) -> Option<&Arc<str>> {
        self.accounts.get(key)
    }

    /// The regions in which requests of an account on a route may be served; none if there is
    /// no restriction.
    pub fn regions(
        &self,
        route: &Route,
        account: Option<&str>,
    ) -> Option<AllowedRegions> {
        let of_account = account.and_then(|name| self.account_regions.get(name));
        AllowedRegions::intersection(route.regions.as_ref(), of_account)
    }

    /// Whether any route or account is restricted to regions.
    pub fn restricts_regions(&self) -> bool {
        let mut routes = self.routes.values().flatten();
        !self.account_regions.is_empty() || routes.any(|route| route.regions.is_some())
    }

    /// Whether requests need an API key, except on public routes.
    pub fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// The shortest target latency among the routes that a service serves.
    pub fn shortest_target_latency(
        &self,
        service: &str,
    ) -> Option<Duration> {
        self.shortest_target_latencies.get(service).copied()
    }
}

fn shortest_target_latencies(routes: &[Route]) -> HashMap<Arc<str>, Duration> {
    let mut shortest: HashMap<Arc<str>, Duration> = HashMap::new();
    for route in routes {
        for service in &route.services {
            let target = shortest
                .entry(service.service.clone())
                .or_insert(route.target_latency);
            *target = route.target_latency.min(*target);
        }
    }
    shortest
}
