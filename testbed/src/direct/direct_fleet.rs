use {
    super::{Client, ClientRequest, Replica, ReplicaAnswer, RouteText, Store, StorePort},
    crate::fleet::{Loopback, Process, wait_until_async},
    std::{
        net::{IpAddr, SocketAddr},
        path::PathBuf,
    },
};

/// Router processes of the direct form and the stand-in store that they read. The
/// vectors are indexed by router.
pub struct DirectFleet {
    pub store: Store,
    pub store_ports: Vec<StorePort>, // each router has its own
    pub routers: Vec<Process>,
    pub caller_addresses: Vec<SocketAddr>, // HTTP addresses for callers
    pub operator_addresses: Vec<SocketAddr>,
    pub ready_addresses: Vec<SocketAddr>, // addresses of the readiness check
    pub settings: Vec<PathBuf>,           // settings files
    loopback: Loopback,
    _folder: Folder,
}

/// How many of the routers are listed as seeds in every router's settings.
const SEEDS: usize = 3;

/// The name of the availability zone with this index.
pub fn zone_name(number: usize) -> String {
    match number {
        0 => "z".to_owned(),
        _ => format!("z-{number}"),
    }
}

/// A temporary folder, removed when this is dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            log::debug!("temporary folder not removed: {error}");
        }
    }
}

impl DirectFleet {
    /// Starts `count` routers in one zone, with a store that is still empty.
    /// `callers_text` is added to the section `[callers]` of their settings.
    pub async fn start(
        count: usize,
        callers_text: &str,
    ) -> Self {
        Self::start_in_zones(&[count], callers_text).await
    }

    /// The same as [`Self::start`], with this number of routers in each zone.
    pub async fn start_in_zones(
        counts: &[usize],
        callers_text: &str,
    ) -> Self {
        let zones: Vec<usize> = counts
            .iter()
            .enumerate()
            .flat_map(|(zone, count)| std::iter::repeat_n(zone, *count))
            .collect();
        let loopback = Loopback::new();
        let name = format!("archmast-direct-{:016x}", rand::random::<u64>());
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).expect("a folder for settings");
        let store = Store::default();
        let peers: Vec<SocketAddr> = zones
            .iter()
            .map(|_| loopback.free_udp().expect("a free port"))
            .collect();
        let seeds = peers.iter().take(SEEDS).map(SocketAddr::to_string);
        let seeds: Vec<String> = seeds.collect();
        let mut fleet = Self {
            store: store.clone(),
            store_ports: Vec::new(),
            routers: Vec::new(),
            caller_addresses: Vec::new(),
            operator_addresses: Vec::new(),
            ready_addresses: Vec::new(),
            settings: Vec::new(),
            loopback,
            _folder: folder,
        };
        for (index, peer) in peers.iter().enumerate() {
            let port = StorePort::start(fleet.loopback.standin_ip, store.clone()).await;
            let free = || fleet.loopback.free_tcp().expect("a free port");
            let (callers, ready, operator) = (free(), free(), free());
            let update_listen = fleet.loopback.free_udp().expect("a free port");
            let text = format!(
                "[process]\nhost = router-{index}\nzone = {}\n[callers]\nlisten = {callers}\n{callers_text}\
                 [ready]\nlisten = {ready}\npath = /v1/ready\n[operator]\nlisten = {operator}\n\
                 [peers]\nlisten = {peer}\nnews = {update_listen}\nseeds = {}\n[catalog]\naddress = {}\npause = 20 ms\n\
                 retry_pause = 50 ms\n[stop]\ngrace = 20 s\nbalancer_lag = 300 ms\n",
                zone_name(zones[index]),
                seeds.join(","),
                port.address
            );
            let settings = fleet._folder.0.join(format!("router-{index}.ini"));
            std::fs::write(&settings, text).expect("settings are written");
            let log = fleet._folder.0.join(format!("router-{index}.log"));
            let process = Process::start_with("archmast-router", &["--direct"], &settings, &log);
            fleet.routers.push(process.expect("the router starts"));
            fleet.store_ports.push(port);
            fleet.caller_addresses.push(callers);
            fleet.operator_addresses.push(operator);
            fleet.ready_addresses.push(ready);
            fleet.settings.push(settings);
        }
        fleet
    }

    /// Starts one router and two replicas of service `s`, publishes these routes, and
    /// waits until the router is ready and knows both replicas.
    pub async fn with_two_replicas(
        default_answer: ReplicaAnswer,
        routes: &[RouteText],
    ) -> (Self, [Replica; 2]) {
        let fleet = Self::start(1, "").await;
        let replicas = [
            fleet
                .start_replica("i-a", "s", default_answer.clone())
                .await,
            fleet.start_replica("i-b", "s", default_answer).await,
        ];
        fleet.store.publish(1, routes);
        fleet.wait_until_ready().await;
        wait_until_async("both replicas are known", async || {
            let log = fleet.routers[0].log_text();
            log.matches("upstream Ready").count() >= 2
        })
        .await;
        (fleet, replicas)
    }

    /// The IP address on which stand-ins listen.
    pub fn standins(&self) -> IpAddr {
        self.loopback.standin_ip
    }

    /// Starts a replica and lists it as ready in the store, in the first zone.
    pub async fn start_replica(
        &self,
        id: &str,
        service: &str,
        default_answer: ReplicaAnswer,
    ) -> Replica {
        let replica = Replica::start(self.loopback.standin_ip, id, default_answer).await;
        self.store
            .list_replica(id, service, replica.address, "ready");
        replica
    }

    /// Changes the settings of a router that forwards its callers' connections, so that it serves
    /// them itself and keeps them open; returns when this is in force.
    pub async fn keep_connections(
        &self,
        router: usize,
    ) {
        let settings = std::fs::read_to_string(&self.settings[router]).expect("settings");
        let settings = settings.replace("hand_on = 0.0", "hand_on = 1.0");
        std::fs::write(&self.settings[router], settings).expect("settings are written");
        self.routers[router].signal_reload();
        wait_until_async("the router keeps connections", async || {
            let request = ClientRequest::get("/plain/", "probe");
            let answer = Client::call_once(self.caller_addresses[router], &request).await;
            answer.status == 200 && answer.header("connection") != "close"
        })
        .await;
    }

    /// Whether a router logged that it sent the request with this id to a replica.
    pub fn was_sent_by(
        &self,
        router: usize,
        id: &str,
    ) -> bool {
        let log = self.routers[router].log_text();
        log.lines()
            .any(|line| line.contains(id) && line.contains(r#""message":"sent""#))
    }

    /// Whether a router reports that it is ready.
    pub async fn is_ready(
        &self,
        router: usize,
    ) -> bool {
        let request = ClientRequest::get("/v1/ready", "ready");
        Client::call_once(self.ready_addresses[router], &request)
            .await
            .status
            == 200
    }

    /// Waits until every router is ready.
    pub async fn wait_until_ready(&self) {
        for router in 0..self.routers.len() {
            wait_until_async("the router is ready", async || self.is_ready(router).await).await;
        }
    }

    /// Waits until a router answers requests for a path with this status.
    pub async fn wait_until_served(
        &self,
        router: usize,
        path: &str,
        status: u16,
    ) {
        wait_until_async("the path is served", async || {
            let request = ClientRequest::get(path, "probe");
            Client::call_once(self.caller_addresses[router], &request)
                .await
                .status
                == status
        })
        .await;
    }
}
