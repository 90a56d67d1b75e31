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

/// Events of a whole stream.
pub const EVENTS: u32 = 12;

/// What plain replicas answer.
pub const PLAIN_BODY: &str = "a plain answer";

/// Answers that are spoilt in a row.
const SPOILT: usize = 24;

/// How long a replica is slow after its start.
const SLOW_FOR: Duration = Duration::from_secs(3);

/// Between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(8);

/// One place for a replica, behind a proxy; replicas come and go there.
pub struct ReplicaSlot {
    pub service: &'static str,
    pub replica: Replica,
    pub proxy: TcpProxy,
    pub zone: String,
    number: usize,
    lives: usize,
    ip: IpAddr,
}

impl ReplicaSlot {
    /// Starts its first replica and lists it.
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
            lives: 1,
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

    /// Lists the present replica as one that has just started. Gives the revision, and
    /// until when it is slow.
    pub fn list_slow(
        &self,
        store: &Store,
    ) -> (u64, Instant) {
        let (id, address) = (&self.replica.id, self.proxy.address);
        let slow_ms = SLOW_FOR.as_millis() as u64;
        let revision = store.list_slow(&self.zone, id, self.service, address, slow_ms);
        (revision, Instant::now() + SLOW_FOR)
    }

    /// What reached the present replica after a moment.
    pub fn arrivals_after(
        &self,
        moment: Instant,
    ) -> Vec<Arrival> {
        let seen = self.replica.received().into_iter();
        let after = seen.filter(|request| request.arrived > moment);
        after.map(|request| Arrival::of(&request)).collect()
    }

    /// Lists the present replica as leaving.
    pub fn drain(
        &self,
        store: &Store,
    ) {
        self.list(store, "draining");
    }

    /// Takes the present replica off the list.
    pub fn unlist(
        &self,
        store: &Store,
    ) {
        store.remove_replica(&self.replica.id);
    }

    /// Its next requests run, and their answers are lost or spoilt.
    pub fn spoil_answers(&self) {
        let mut spoilt = vec![
            ReplicaAnswer::Close,
            ReplicaAnswer::Truncated,
            ReplicaAnswer::Garbage,
            ReplicaAnswer::WrongId,
            ReplicaAnswer::Unsigned,
        ];
        if self.service == "plain" {
            // A stream's replica would answer with what is no stream.
            spoilt.push(ReplicaAnswer::ExtraAnswer {
                body: PLAIN_BODY.to_owned(),
            });
        }
        for answer in spoilt.iter().cycle().take(SPOILT) {
            self.replica.push_answer(answer.clone());
        }
    }

    /// Starts another replica and lists it. Gives the one that is gone, of which
    /// no connection is left.
    pub async fn replace(
        &mut self,
        store: &Store,
    ) -> Replica {
        let gone = self.start_another().await;
        self.list(store, "ready");
        gone
    }

    /// The same, without listing it.
    pub async fn start_another(&mut self) -> Replica {
        let (replica, proxy) = start_replica(self.number, self.lives, self.service, self.ip).await;
        self.lives += 1;
        self.proxy = proxy;
        std::mem::replace(&mut self.replica, replica)
    }
}

async fn start_replica(
    number: usize,
    lives: usize,
    service: &str,
    ip: IpAddr,
) -> (Replica, TcpProxy) {
    let usual = match service {
        "events" => ReplicaAnswer::Events {
            last: EVENTS,
            pause: EVENT_PAUSE,
        },
        _ => ReplicaAnswer::ok(PLAIN_BODY),
    };
    let replica = Replica::start(ip, &format!("i-{number}-{lives}"), usual).await;
    let proxy = TcpProxy::start(ip, replica.address)
        .await
        .expect("a free port");
    (replica, proxy)
}
