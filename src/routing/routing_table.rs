use {
    super::{AccountEntry, AllowedRegions, RequestLimits, Route, Service},
    crate::policy::name_hash,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// One version of the configuration, ready to be looked up.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    pub version: u64,
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<Arc<Route>>>, // by host, longest prefix first
    services: HashMap<Arc<str>, Service>,
    shortest_aims: HashMap<Arc<str>, Duration>, // by service
    accounts: HashMap<String, Arc<str>>,        // names by key
    has_accounts: bool,
    bounded: HashMap<Arc<str>, AllowedRegions>, // accounts that are not served anywhere
}

impl RoutingTable {
    /// Sorts the parts of a configuration for look-up.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<AccountEntry>,
    ) -> Self {
        let shortest_aims = shortest_aims(&routes);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_accounts = !accounts.is_empty();
        let bounded = accounts.iter().filter_map(|account| {
            let regions = account.regions.clone()?;
            Some((account.name.clone(), regions))
        });
        let bounded = bounded.collect();
        let keys = accounts.into_iter().flat_map(|account| {
            let name = account.name;
            account.keys.into_iter().map(move |key| (key, name.clone()))
        });
        Self {
            version,
            limits,
            routes: by_host,
            shortest_aims,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            accounts: keys.collect(),
            has_accounts,
            bounded,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`,
    /// which may carry a port.
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

    /// A service by name.
    pub fn service(
        &self,
        name: &str,
    ) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The account with a short name.
    pub fn account_named(
        &self,
        short: u32,
    ) -> Option<&Arc<str>> {
        let mut names = self.accounts.values();
        names.find(|name| name_hash(name) == short)
    }

    /// The account that holds a key.
    pub fn account(
        &self,
        key: &str,
    ) -> Option<&Arc<str>> {
        self.accounts.get(key)
    }

    /// Where requests of a route and an account may be served; anywhere if none.
    pub fn regions(
        &self,
        route: &Route,
        account: Option<&str>,
    ) -> Option<AllowedRegions> {
        let bound = account.and_then(|name| self.bounded.get(name));
        AllowedRegions::both(route.regions.as_ref(), bound)
    }

    /// Whether any route or account names regions.
    pub fn names_regions(&self) -> bool {
        let mut routes = self.routes.values().flatten();
        !self.bounded.is_empty() || routes.any(|route| route.regions.is_some())
    }

    /// Whether requests need a key, but for public routes.
    pub fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// The shortest aim among the routes that a service serves.
    pub fn shortest_aim(
        &self,
        service: &str,
    ) -> Option<Duration> {
        self.shortest_aims.get(service).copied()
    }
}

fn shortest_aims(routes: &[Route]) -> HashMap<Arc<str>, Duration> {
    let mut shortest: HashMap<Arc<str>, Duration> = HashMap::new();
    for route in routes {
        for share in &route.shares {
            let aim = shortest.entry(share.service.clone()).or_insert(route.aim);
            *aim = route.aim.min(*aim);
        }
    }
    shortest
}
