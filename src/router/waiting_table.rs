use {
    super::turn::Turn,
    crate::{
        fleet::AccountId,
        link::Peer,
        policy::{GrantNumber, Moment, RequestQueue, ShedRequest, WaitingRequest},
    },
    std::{collections::HashMap, sync::Arc},
    tokio::sync::oneshot,
};

/// The waiting room with the requests that wait in it. One lock guards it
/// whole.
pub struct WaitingTable {
    pub room: RequestQueue,
    waiters: HashMap<u64, oneshot::Sender<Turn>>, // by request id
}

impl WaitingTable {
    /// An empty table.
    pub fn new(room: RequestQueue) -> Self {
        Self {
            room,
            waiters: HashMap::new(),
        }
    }

    /// Adds a request; `again` when a sidecar handed it back.
    pub fn wait(
        &mut self,
        now: Moment,
        request: WaitingRequest,
        again: bool,
    ) -> oneshot::Receiver<Turn> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(request.id, sender);
        if again {
            self.room.requeue(request);
        } else {
            let shed = self.room.push(now, request);
            self.tell_shed(shed);
        }
        receiver
    }

    /// Gives a grant to the best waiting request. False if there is none.
    pub fn grant(
        &mut self,
        now: Moment,
        peer: &Arc<Peer>,
        account: AccountId,
        grant: GrantNumber,
    ) -> bool {
        while let Some(request) = self.room.take_for_host(now, &peer.host, account) {
            let turn = Turn::Granted {
                peer: peer.clone(),
                grant,
            };
            if self.tell(request.id, turn) {
                return true;
            }
        }
        false
    }

    /// Answers the requests that are given up.
    pub fn tell_shed(
        &mut self,
        shed: Vec<ShedRequest>,
    ) {
        for given_up in shed {
            self.tell(given_up.id, Turn::Shed(given_up));
        }
    }

    fn tell(
        &mut self,
        id: u64,
        turn: Turn,
    ) -> bool {
        self.waiters
            .remove(&id)
            .is_some_and(|waiter| waiter.send(turn).is_ok())
    }
}
