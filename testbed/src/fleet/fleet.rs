use {
    super::{
        Caller, FleetPlan, Process, SidecarHost, loopback::Loopback, starter::Starter,
        wait_until_async,
    },
    crate::{
        proxy::{TcpProxy, UdpProxy},
        standin::Platform,
    },
    archmast::{
        fleet::{HostList, HostState},
        keys::{Authority, install_crypto},
        ops::{AuditEntry, ProcessStatus},
    },
    reqwest::Client,
    std::{fs, net::SocketAddr, path::PathBuf},
};

/// One router's process and its addresses.
pub struct RouterHost {
    pub host: String,
    pub process: Process,
    pub callers: SocketAddr,  // HTTP address for callers
    pub source: SocketAddr,   // source address of its UDP packets
    pub link: UdpProxy,       // in front of its UDP port, for sidecars that connect to it
    pub operator: SocketAddr, // HTTP address for operators
}

/// A running fleet of routers and sidecars. Its processes are killed when this is
/// dropped.
pub struct Fleet {
    pub platform: Platform,
    pub platform_link: TcpProxy, // between all processes and the platform
    pub routers: Vec<RouterHost>,
    pub sidecars: Vec<SidecarHost>,
    pub hosts: HostList, // the list published last
    pub plan: FleetPlan,
    http: Client,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.routers.clear();
        self.sidecars.clear();
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.folder.display());
        } else if let Err(error) = fs::remove_dir_all(&self.folder) {
            log::debug!("temporary folder not removed: {error}");
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and all processes, and waits until every process is ready.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_unready(plan).await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts the stand-ins and all processes and publishes configuration and host list,
    /// without waiting for readiness.
    pub async fn start_unready(plan: FleetPlan) -> Self {
        install_crypto();
        let loopback = Loopback::new();
        let ip = loopback.standin_ip;
        let folder =
            std::env::temp_dir().join(format!("archmast-{}", ip.to_string().replace('.', "-")));
        if folder.exists() {
            fs::remove_dir_all(&folder).expect("an old folder can be removed");
        }
        fs::create_dir_all(&folder).expect("a folder can be made");
        let platform = Platform::start(ip).await;
        let platform_link = TcpProxy::start(ip, platform.address)
            .await
            .expect("a proxy can start");
        platform.publish_fleet(plan.config_text().text());
        let starter = Starter {
            loopback,
            ip,
            folder: folder.clone(),
            authority: Authority::create().expect("an authority can be made"),
            platform: platform_link.address,
            plan: plan.clone(),
        };
        starter.write_authority().expect("files can be written");
        let mut hosts = HostList::default();
        let mut sidecars = Vec::new();
        for sidecar in &plan.sidecars {
            sidecars.push(starter.sidecar(sidecar, &mut hosts).await);
        }
        let mut routers = Vec::new();
        for (host, zone) in &plan.routers {
            routers.push(starter.router(host, zone, &mut hosts).await);
        }
        platform.publish_hosts(&hosts);
        Self {
            platform,
            platform_link,
            routers,
            sidecars,
            hosts,
            plan,
            http: Client::new(),
            folder,
        }
    }

    /// Waits until every process is ready and every router is connected to
    /// every sidecar.
    pub async fn wait_until_ready(&self) {
        for operator in self.operators() {
            wait_until_async("a process is ready", async || self.is_ready(operator).await).await;
        }
        let expected = self.sidecars.len();
        for router in &self.routers {
            wait_until_async("a router is connected", async || {
                self.status(router.operator)
                    .await
                    .is_some_and(|status| status.peers.len() >= expected)
            })
            .await;
        }
    }

    /// The operator addresses of all processes.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(|router| router.operator);
        let sidecars = self.sidecars.iter().map(|sidecar| sidecar.operator);
        routers.chain(sidecars).collect()
    }

    /// Whether a process reports that it is ready.
    pub async fn is_ready(
        &self,
        operator: SocketAddr,
    ) -> bool {
        let response = self.http.get(format!("http://{operator}/ready")).send();
        response.await.is_ok_and(|r| r.status().is_success())
    }

    /// A process's status report, none if it does not answer.
    pub async fn status(
        &self,
        operator: SocketAddr,
    ) -> Option<ProcessStatus> {
        let response = self.http.get(format!("http://{operator}/status")).send();
        response.await.ok()?.json().await.ok()
    }

    /// A process's audit log, empty if it does not answer.
    pub async fn audit(
        &self,
        operator: SocketAddr,
    ) -> Vec<AuditEntry> {
        let response = self.http.get(format!("http://{operator}/audit")).send();
        match response.await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// The configuration revision that a process uses, 0 if it reports none.
    pub async fn revision(
        &self,
        operator: SocketAddr,
    ) -> u64 {
        let status = self.status(operator).await;
        status.and_then(|s| s.revision).map_or(0, |r| r.0)
    }

    /// Waits until these processes use a revision of the configuration.
    pub async fn wait_for_revision(
        &self,
        operators: &[SocketAddr],
        revision: u64,
    ) {
        for operator in operators {
            wait_until_async("a revision is in force", async || {
                self.revision(*operator).await == revision
            })
            .await;
        }
    }

    /// A caller of the router with this index.
    pub fn caller(
        &self,
        router: usize,
        account: &str,
    ) -> Caller {
        Caller::new(self.routers[router].callers, account)
    }

    /// How often each request reached an upstream, by nonce, over all upstreams.
    pub fn runs_by_nonce(&self) -> std::collections::HashMap<String, usize> {
        let mut counts = std::collections::HashMap::new();
        for sidecar in &self.sidecars {
            for (nonce, count) in sidecar.upstream.log().runs_by_nonce() {
                *counts.entry(nonce).or_default() += count;
            }
        }
        counts
    }

    /// Number of requests that are running on the upstreams now.
    pub fn running_count(&self) -> usize {
        self.sidecars
            .iter()
            .map(|sidecar| sidecar.upstream.log().running_count())
            .sum()
    }

    /// Changes one host's state in the host list and publishes it.
    pub fn publish_state(
        &mut self,
        host: &str,
        state: HostState,
    ) {
        for entry in &mut self.hosts.hosts {
            if entry.name == host {
                entry.state = state;
            }
        }
        self.platform.publish_hosts(&self.hosts);
    }

    /// Blocks all packets between a router and a sidecar, or lets them through again.
    pub fn set_partition(
        &self,
        router: usize,
        sidecar: usize,
        is_blocked: bool,
    ) {
        let (router, sidecar) = (&self.routers[router], &self.sidecars[sidecar]);
        for (link, source) in [
            (&sidecar.link, router.source),
            (&router.link, sidecar.source),
        ] {
            link.update_faults(|faults| {
                if is_blocked {
                    faults.blocked_sources.insert(source);
                } else {
                    faults.blocked_sources.remove(&source);
                }
            });
        }
    }
}
