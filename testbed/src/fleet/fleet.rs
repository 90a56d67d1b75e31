use {
    super::{
        Caller, FleetPlan, Process, SidecarHost, SidecarPlan, Upstream, loopback::Loopback,
        overlay, until_async,
    },
    crate::{
        proxy::{TcpProxy, UdpProxy},
        standin::Platform,
    },
    archmast::{
        conf::{RouterSettings, SidecarSettings},
        fleet::{HostEntry, HostList, HostRole, HostState},
        keys::{Authority, PeerName, install_crypto},
        ops::{AuditEntry, ProcessStatus},
    },
    reqwest::Client,
    std::{
        fs, io,
        net::{IpAddr, SocketAddr},
        path::PathBuf,
    },
};

/// One router's process.
pub struct RouterHost {
    pub host: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub source: SocketAddr, // from which its packets come
    pub link: UdpProxy,     // in front of it, for sidecars that dial a keeper
    pub operator: SocketAddr,
}

/// A running fleet. Its processes end when this is dropped.
pub struct Fleet {
    pub platform: Platform,
    pub platform_link: TcpProxy, // between every process and the platform
    pub routers: Vec<RouterHost>,
    pub sidecars: Vec<SidecarHost>,
    pub hosts: HostList, // as published last
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
            log::debug!("folder not removed: {error}");
        }
    }
}

impl Fleet {
    /// Starts everything and waits until every process is ready.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_unready(plan).await;
        fleet.all_ready().await;
        fleet
    }

    /// Starts everything, with configuration and host list published.
    pub async fn start_unready(plan: FleetPlan) -> Self {
        install_crypto();
        let loopback = Loopback::new();
        let ip = loopback.standins;
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
    pub async fn all_ready(&self) {
        for operator in self.operators() {
            until_async("a process is ready", async || self.is_ready(operator).await).await;
        }
        let expected = self.sidecars.len();
        for router in &self.routers {
            until_async("a router is connected", async || {
                self.status(router.operator)
                    .await
                    .is_some_and(|status| status.peers.len() >= expected)
            })
            .await;
        }
    }

    /// Every operator port.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(|router| router.operator);
        let sidecars = self.sidecars.iter().map(|sidecar| sidecar.operator);
        routers.chain(sidecars).collect()
    }

    /// Whether a process says that it is ready.
    pub async fn is_ready(
        &self,
        operator: SocketAddr,
    ) -> bool {
        let response = self.http.get(format!("http://{operator}/ready")).send();
        response.await.is_ok_and(|r| r.status().is_success())
    }

    /// What a process says of itself, if it answers.
    pub async fn status(
        &self,
        operator: SocketAddr,
    ) -> Option<ProcessStatus> {
        let response = self.http.get(format!("http://{operator}/status")).send();
        response.await.ok()?.json().await.ok()
    }

    /// A process's audit trail, empty if it does not answer.
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

    /// The revision that a process has in force, 0 if it says none.
    pub async fn revision(
        &self,
        operator: SocketAddr,
    ) -> u64 {
        let status = self.status(operator).await;
        status.and_then(|s| s.revision).map_or(0, |r| r.0)
    }

    /// Waits until a revision is in force at these processes.
    pub async fn in_force(
        &self,
        operators: &[SocketAddr],
        revision: u64,
    ) {
        for operator in operators {
            until_async("a revision is in force", async || {
                self.revision(*operator).await == revision
            })
            .await;
        }
    }

    /// A caller of one router.
    pub fn caller(
        &self,
        router: usize,
        account: &str,
    ) -> Caller {
        Caller::new(self.routers[router].callers, account)
    }

    /// How often each marked request ran, on all upstreams together.
    pub fn run_counts(&self) -> std::collections::HashMap<String, usize> {
        let mut counts = std::collections::HashMap::new();
        for sidecar in &self.sidecars {
            for (nonce, count) in sidecar.upstream.log().counts() {
                *counts.entry(nonce).or_default() += count;
            }
        }
        counts
    }

    /// Requests that run on the upstreams now.
    pub fn open_runs(&self) -> usize {
        self.sidecars
            .iter()
            .map(|sidecar| sidecar.upstream.log().open())
            .sum()
    }

    /// Publishes a host list with this host's state changed.
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

    /// Cuts a router off from a sidecar, or joins them again.
    pub fn cut(
        &self,
        router: usize,
        sidecar: usize,
        cut: bool,
    ) {
        let (router, sidecar) = (&self.routers[router], &self.sidecars[sidecar]);
        let source = router.source;
        sidecar.link.set(|faults| {
            if cut {
                faults.cut_sources.insert(source);
            } else {
                faults.cut_sources.remove(&source);
            }
        });
    }
}

struct Starter {
    loopback: Loopback,
    ip: IpAddr, // of the stand-ins
    folder: PathBuf,
    authority: Authority,
    platform: SocketAddr,
    plan: FleetPlan,
}

impl Starter {
    fn write_authority(&self) -> io::Result<()> {
        fs::write(
            self.folder.join("authority.pem"),
            self.authority.certificate(),
        )
    }

    async fn sidecar(
        &self,
        plan: &SidecarPlan,
        hosts: &mut HostList,
    ) -> SidecarHost {
        let upstream = Upstream::start(self.ip, &plan.upstream).await;
        let upstream_link = TcpProxy::start(self.ip, upstream.address())
            .await
            .expect("a proxy can start");
        let listen = self.loopback.free_udp().expect("a port is free");
        let link = self.proxy(listen).await;
        let operator = self.loopback.free_tcp().expect("a port is free");
        let mut values = self.common(&plan.host, &plan.zone, HostRole::Sidecar, listen, operator);
        values.push(("upstream.address".into(), upstream_link.address.to_string()));
        values.push(("upstream.slots".into(), plan.upstream.slots().to_string()));
        values.extend(self.plan.sidecar_settings.iter().cloned());
        let text = overlay(SidecarSettings::SHIPPED, &values);
        let process = self.start(&plan.host, "archmast-sidecar", &text);
        hosts.hosts.push(HostEntry {
            name: plan.host.clone(),
            role: HostRole::Sidecar,
            zone: plan.zone.clone(),
            link: link.address,
            operator,
            state: HostState::Live,
        });
        SidecarHost {
            plan: plan.clone(),
            process,
            upstream,
            link,
            upstream_link,
            operator,
        }
    }

    async fn router(
        &self,
        host: &str,
        zone: &str,
        hosts: &mut HostList,
    ) -> RouterHost {
        let callers = self.loopback.free_tcp().expect("a port is free");
        let listen = self.loopback.free_udp().expect("a port is free");
        let link = self.proxy(listen).await;
        let operator = self.loopback.free_tcp().expect("a port is free");
        let mut values = self.common(host, zone, HostRole::Router, listen, operator);
        values.push(("callers.listen".into(), callers.to_string()));
        values.extend(self.plan.router_settings.iter().cloned());
        let text = overlay(RouterSettings::SHIPPED, &values);
        let process = self.start(host, "archmast-router", &text);
        hosts.hosts.push(HostEntry {
            name: host.to_owned(),
            role: HostRole::Router,
            zone: zone.to_owned(),
            link: link.address,
            operator,
            state: HostState::Live,
        });
        RouterHost {
            host: host.to_owned(),
            process,
            callers,
            source: listen,
            link,
            operator,
        }
    }

    async fn proxy(
        &self,
        target: SocketAddr,
    ) -> UdpProxy {
        let proxy = UdpProxy::start(self.ip, target)
            .await
            .expect("a proxy can start");
        let delay = self.plan.one_way;
        proxy.set(|faults| faults.delay = delay);
        proxy
    }

    fn common(
        &self,
        host: &str,
        zone: &str,
        role: HostRole,
        listen: SocketAddr,
        operator: SocketAddr,
    ) -> Vec<(String, String)> {
        let name = PeerName::new(host, role);
        let key = self.authority.issue(&name).expect("a key can be issued");
        let path = |ending: &str| self.folder.join(format!("{host}.{ending}"));
        fs::write(path("crt"), key.certificate).expect("files can be written");
        fs::write(path("key"), key.private_key).expect("files can be written");
        let text = |path: PathBuf| path.display().to_string();
        [
            ("process.host", host.to_owned()),
            ("process.zone", zone.to_owned()),
            ("link.listen", listen.to_string()),
            ("link.authority", text(self.folder.join("authority.pem"))),
            ("link.certificate", text(path("crt"))),
            ("link.private_key", text(path("key"))),
            ("platform.address", self.platform.to_string()),
            ("operator.listen", operator.to_string()),
        ]
        .map(|(key, value)| (key.to_owned(), value))
        .to_vec()
    }

    fn start(
        &self,
        host: &str,
        program: &str,
        settings: &str,
    ) -> Process {
        let path = self.folder.join(format!("{host}.ini"));
        fs::write(&path, settings).expect("files can be written");
        let log = self.folder.join(format!("{host}.log"));
        Process::start(program, &path, &log).expect("a process can start")
    }
}
