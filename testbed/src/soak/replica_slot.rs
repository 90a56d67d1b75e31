use {
    super::{record::Arrival, soak_fleet::SoakFleet},
    crate::{
        direct::{Replica, ReplicaAnswer, ReplicaEntry, Store},
        proxy::TcpProxy,
    },
    std::{
        net::IpAddr,
        time::{Duration, Instant},
    },
};

/// Events of a complete stream.
pub const EVENTS_PER_STREAM: u32 = 12;

/// Body of the answers of plain replicas.
pub const PLAIN_BODY: &str = "a plain answer";

/// Number of the software version that all replicas begin with.
const FIRST_VERSION: u32 = 1;

/// How many answers in a row are faulty.
const FAULTY_ANSWERS: usize = 24;

/// Duration of the slow start of a replica.
const SLOW_START: Duration = Duration::from_secs(3);

/// A replica behind a proxy, and its successors: each replacement gets a new id and proxy.
pub struct ReplicaSlot {
    pub service: &'static str,
    pub replica: Replica,
    pub proxy: TcpProxy,
    pub zone: String,
    version: Option<u32>, // of the replica's software, told in its events if set
    event_pause: Duration,
    number: usize,
    generation: usize,
    ip: IpAddr,
}

/// A replica that serves on beside its successor.
pub struct LeavingReplica {
    pub replica: Replica,
    pub proxy: TcpProxy,
}

/// The slot of the replica with this id.
pub fn slot_of(replica_id: &str) -> Option<usize> {
    replica_id.split('-').nth(1)?.parse().ok()
}

/// The name of the software version with this number.
pub fn version_name(number: u32) -> String {
    format!("v{number}")
}

impl ReplicaSlot {
    /// Starts the first replica and lists it in the store.
    pub async fn start(
        number: usize,
        service: &'static str,
        zone: String,
        plan: &SoakFleet,
        ip: IpAddr,
        store: &Store,
    ) -> Self {
        let version = (plan.versions && service == "events").then_some(FIRST_VERSION);
        let replica = Replica::start(ip, &replica_id(number, 0), ReplicaAnswer::Close).await;
        let proxy = proxy_of(&replica, ip).await;
        let slot = Self {
            service,
            replica,
            proxy,
            zone,
            version,
            event_pause: plan.event_pause,
            number,
            generation: 1,
            ip,
        };
        slot.prepare(&slot.replica);
        slot.list(store, "ready");
        slot
    }

    fn list(
        &self,
        store: &Store,
        state: &str,
    ) {
        self.list_as(store, &self.replica, &self.proxy, state);
    }

    fn list_as(
        &self,
        store: &Store,
        replica: &Replica,
        proxy: &TcpProxy,
        state: &str,
    ) {
        store.list(&ReplicaEntry {
            version: &replica.version(),
            state,
            ..ReplicaEntry::new(&self.zone, &replica.id, self.service, proxy.address)
        });
    }

    /// Lists the current replica as one that has just started. Returns the store's revision and
    /// the end of the slow start.
    pub fn list_slow(
        &self,
        store: &Store,
    ) -> (u64, Instant) {
        let (id, address) = (&self.replica.id, self.proxy.address);
        let revision = store.list(&ReplicaEntry {
            version: &self.replica.version(),
            slow_ms: SLOW_START.as_millis() as u64,
            ..ReplicaEntry::new(&self.zone, id, self.service, address)
        });
        (revision, Instant::now() + SLOW_START)
    }

    /// Requests that reached the current replica after `moment`.
    pub fn arrivals_after(
        &self,
        moment: Instant,
    ) -> Vec<Arrival> {
        let seen = self.replica.received().into_iter();
        let after = seen.filter(|request| request.arrived > moment);
        after.map(|request| Arrival::of(&request)).collect()
    }

    /// Lists the current replica as draining.
    pub fn drain(
        &self,
        store: &Store,
    ) {
        self.list(store, "draining");
    }

    /// Removes the entry of the current replica from the store.
    pub fn unlist(
        &self,
        store: &Store,
    ) {
        store.remove_replica(&self.replica.id);
    }

    /// Lets the next requests run, but sends no answers, or such that are cut, invalid, unsigned
    /// or for another request.
    pub fn send_faulty_answers(&self) {
        let mut faulty = vec![
            ReplicaAnswer::Close,
            ReplicaAnswer::Truncated,
            ReplicaAnswer::Garbage,
            ReplicaAnswer::WrongId,
            ReplicaAnswer::Unsigned,
        ];
        if self.service == "plain" {
            // A surplus answer with a plain body is no stream of events.
            faulty.push(ReplicaAnswer::ExtraAnswer {
                body: PLAIN_BODY.to_owned(),
            });
        }
        for answer in faulty.iter().cycle().take(FAULTY_ANSWERS) {
            self.replica.push_answer(answer.clone());
        }
    }

    /// Starts another replica and lists it. Returns the previous one, whose connections are
    /// closed.
    pub async fn replace(
        &mut self,
        store: &Store,
    ) -> Replica {
        let gone = self.start_successor().await;
        self.list(store, "ready");
        gone
    }

    /// Like [`Self::replace`], without listing the new replica.
    pub async fn start_successor(&mut self) -> Replica {
        self.start_beside().await.replica
    }

    /// Starts a replica of another software version and lists it, while the previous one, which
    /// is listed as draining, serves on.
    pub async fn change_version(
        &mut self,
        store: &Store,
        version: u32,
    ) -> LeavingReplica {
        self.version = Some(version);
        let leaving = self.start_beside().await;
        self.list(store, "ready");
        self.list_as(store, &leaving.replica, &leaving.proxy, "draining");
        leaving
    }

    async fn start_beside(&mut self) -> LeavingReplica {
        let id = replica_id(self.number, self.generation);
        let replica = Replica::start(self.ip, &id, ReplicaAnswer::Close).await;
        self.prepare(&replica);
        let proxy = proxy_of(&replica, self.ip).await;
        self.generation += 1;
        LeavingReplica {
            replica: std::mem::replace(&mut self.replica, replica),
            proxy: std::mem::replace(&mut self.proxy, proxy),
        }
    }

    /// Sets what a new replica answers.
    fn prepare(
        &self,
        replica: &Replica,
    ) {
        replica.set_default_answer(match self.service {
            "events" => ReplicaAnswer::Events {
                last: EVENTS_PER_STREAM,
                pause: self.event_pause,
            },
            _ => ReplicaAnswer::ok(PLAIN_BODY),
        });
        if let Some(version) = self.version {
            replica.set_version(&version_name(version));
        }
    }
}

fn replica_id(
    number: usize,
    generation: usize,
) -> String {
    format!("i-{number}-{generation}")
}

async fn proxy_of(
    replica: &Replica,
    ip: IpAddr,
) -> TcpProxy {
    TcpProxy::start(ip, replica.address)
        .await
        .expect("a free port")
}
