use {
    super::{
        FleetPlan, Process, RouterHost, SidecarHost, SidecarPlan, Upstream, loopback::Loopback,
        overlay,
    },
    crate::proxy::{TcpProxy, UdpProxy},
    archmast::{
        conf::{RouterSettings, SidecarSettings},
        fleet::{HostEntry, HostList, HostRole, HostState},
        keys::{Authority, PeerName},
    },
    std::{
        fs, io,
        net::{IpAddr, SocketAddr},
        path::PathBuf,
    },
};

/// Starts a fleet's processes, each with its own settings file, certificate and key.
pub(super) struct Starter {
    pub loopback: Loopback,
    pub ip: IpAddr, // of the stand-ins
    pub folder: PathBuf,
    pub authority: Authority,
    pub platform: SocketAddr,
    pub plan: FleetPlan,
}

impl Starter {
    pub fn write_authority(&self) -> io::Result<()> {
        fs::write(
            self.folder.join("authority.pem"),
            self.authority.certificate(),
        )
    }

    pub async fn sidecar(
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
        let mut values =
            self.common_settings(&plan.host, &plan.zone, HostRole::Sidecar, listen, operator);
        // The proxy turns a reset into a clean close, so that it is not used where the
        // difference matters.
        let upstream_address = match &upstream {
            Upstream::Framed(service) => service.address,
            _ => upstream_link.address,
        };
        values.push(("upstream.address".into(), upstream_address.to_string()));
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
            source: listen,
        }
    }

    pub async fn router(
        &self,
        host: &str,
        zone: &str,
        hosts: &mut HostList,
    ) -> RouterHost {
        let callers = self.loopback.free_tcp().expect("a port is free");
        let listen = self.loopback.free_udp().expect("a port is free");
        let link = self.proxy(listen).await;
        let operator = self.loopback.free_tcp().expect("a port is free");
        let mut values = self.common_settings(host, zone, HostRole::Router, listen, operator);
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
        let delay = self.plan.one_way_delay;
        proxy.update_faults(|faults| faults.delay = delay);
        proxy
    }

    /// Writes a process's certificate and key, and returns the settings that routers and
    /// sidecars have in common.
    fn common_settings(
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
