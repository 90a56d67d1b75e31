use {
    super::record::Arrival,
    crate::{
        direct::{Replica, ReplicaAnswer, Store},
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

/// How many answers in a row are faulty.
const FAULTY_ANSWERS: usize = 24;

/// Duration of the slow start of a replica.
const SLOW_START: Duration = Duration::from_secs(3);

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(8);

/// A replica behind a proxy, and its successors: each replacement gets a new id and proxy.
pub struct ReplicaSlot {
    pub service: &'static str,
    pub replica: Replica,
    pub proxy: TcpProxy,
    pub zone: String,
    number: usize,
    generation: usize,
    ip: IpAddr,
}

impl ReplicaSlot {
    /// Starts the first replica and lists it in the store.
    pub async fn start(
        number: usize,
        service: &'static str,
        zone: String,
        ip: IpAddr,
        store: &Store,
    ) -> Self {
        let (replica, proxy) = start_replica(number, 0, service, ip).await;
        let slot = Self {
            service,
            replica,
            proxy,
            zone,
            number,
            generation: 1,
            ip,
        };
        slot.list(store, "ready");
        slot
    }

    fn list(
        &self,
        store: &Store,
        state: &str,
    ) {
        let address = self.proxy.address;
        store.list_replica_in(&self.zone, &self.replica.id, self.service, address, state);
    }

    /// Lists the current replica as one that has just started. Returns the store's revision and
    /// the end of the slow start.
    pub fn list_slow(
        &self,
        store: &Store,
    ) -> (u64, Instant) {
        let (id, address) = (&self.replica.id, self.proxy.address);
        let slow_ms = SLOW_START.as_millis() as u64;
        let revision = store.list_slow(&self.zone, id, self.service, address, slow_ms);
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
        let (replica, proxy) =
            start_replica(self.number, self.generation, self.service, self.ip).await;
        self.generation += 1;
        self.proxy = proxy;
        std::mem::replace(&mut self.replica, replica)
    }
}

async fn start_replica(
    number: usize,
    generation: usize,
    service: &str,
    ip: IpAddr,
) -> (Replica, TcpProxy) {
    let default_answer = match service {
        "events" => ReplicaAnswer::Events {
            last: EVENTS_PER_STREAM,
            pause: EVENT_PAUSE,
        },
        _ => ReplicaAnswer::ok(PLAIN_BODY),
    };
    let replica = Replica::start(ip, &format!("i-{number}-{generation}"), default_answer).await;
    let proxy = TcpProxy::start(ip, replica.address)
        .await
        .expect("a free port");
    (replica, proxy)
}
