//! Explores every interleaving of the exchange of one request: an answer that the request did not
//! run is always true, and a request that must not be repeated runs at most once.
//!
//! The model drives the state machines of the product. The network may lose or delay each message
//! for ever, either process may crash at any step, a process that was suspended acts later on its
//! old state, grants expire, and the router retries where its own rule allows it.

use {
    archmast::{
        codes::{Ran, ResultCode},
        policy::{AnswerEvent, Attempts, RouterExchange, SidecarExchange},
    },
    std::collections::HashSet,
};

const MAX_ATTEMPTS: usize = 2;

/// A message in the network. Any may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(usize),
    NotRun(usize),
    Begun(usize),
    Whole(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    router: Vec<RouterExchange>,           // one per attempt
    sidecar: Vec<Option<SidecarExchange>>, // one per attempt, `None` before its arrival
    is_sidecar_alive: Vec<bool>,           // one per attempt
    network: Vec<Message>,                 // sorted
    runs: usize,
    reported: Option<Ran>, // the answer to the caller
    repeatable: bool,
    attempts: Attempts,
}

impl World {
    fn new(repeatable: bool) -> Self {
        Self {
            router: vec![RouterExchange::Unsent],
            sidecar: vec![None],
            is_sidecar_alive: vec![true],
            network: Vec::new(),
            runs: 0,
            reported: None,
            repeatable,
            attempts: Attempts::default(),
        }
    }

    /// All states that are one step ahead.
    fn next(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        for attempt in 0..self.router.len() {
            worlds.extend(self.router_steps(attempt));
            worlds.extend(self.sidecar_steps(attempt));
        }
        for (index, message) in self.network.iter().enumerate() {
            let mut world = self.clone();
            world.network.remove(index);
            worlds.push(world.clone()); // lost
            worlds.push(world.delivered(*message));
            let mut duplicated = self.clone().delivered(*message);
            duplicated.network.sort();
            worlds.push(duplicated); // delivered, and a copy remains
        }
        worlds
    }

    fn router_steps(
        &self,
        attempt: usize,
    ) -> Vec<World> {
        let mut worlds = Vec::new();
        let state = self.router[attempt];
        if state == RouterExchange::Unsent && self.reported.is_none() {
            let mut sent = self.clone();
            sent.router[attempt] = state.after(AnswerEvent::Sending);
            sent.send(Message::Request(attempt));
            worlds.push(sent);
        }
        // The connection may break, or the time limit end, at any time.
        worlds.push(self.observe(attempt, AnswerEvent::Lost));
        worlds
    }

    fn sidecar_steps(
        &self,
        attempt: usize,
    ) -> Vec<World> {
        let mut worlds = Vec::new();
        let (Some(state), true) = (self.sidecar[attempt], self.is_sidecar_alive[attempt]) else {
            return worlds;
        };
        let mut crashed = self.clone();
        crashed.is_sidecar_alive[attempt] = false;
        worlds.push(crashed);
        let mut starting = state;
        if starting.start() {
            let mut world = self.clone();
            world.sidecar[attempt] = Some(starting);
            world.runs += 1; // bytes may have reached the upstream
            world.send(Message::Begun(attempt));
            worlds.push(world);
            let mut refused = self.clone();
            let mut refused_exchange = starting;
            assert!(refused_exchange.refused_by_upstream());
            refused.sidecar[attempt] = Some(refused_exchange);
            refused.send(Message::NotRun(attempt));
            worlds.push(refused);
        }
        let mut returned = state;
        if returned.hand_back() {
            let mut world = self.clone();
            world.sidecar[attempt] = Some(returned);
            world.send(Message::NotRun(attempt));
            worlds.push(world);
        }
        if state == SidecarExchange::Started {
            let mut world = self.clone();
            let mut ended = state;
            ended.end();
            world.sidecar[attempt] = Some(ended);
            world.send(Message::Whole(attempt));
            worlds.push(world);
        }
        worlds
    }

    fn delivered(
        mut self,
        message: Message,
    ) -> World {
        match message {
            Message::Request(attempt) => {
                // A stream delivers its request once; a copy is ignored.
                if self.is_sidecar_alive[attempt] && self.sidecar[attempt].is_none() {
                    self.sidecar[attempt] = Some(SidecarExchange::Received);
                }
                self
            }
            Message::NotRun(attempt) => {
                self.observe(attempt, AnswerEvent::NotRun(ResultCode::NotStarted))
            }
            Message::Begun(attempt) => self.observe(attempt, AnswerEvent::Begun),
            Message::Whole(attempt) => self.observe(attempt, AnswerEvent::Whole),
        }
    }

    /// The router observes an event and, if that ends the exchange, answers its caller or retries.
    fn observe(
        &self,
        attempt: usize,
        event: AnswerEvent,
    ) -> World {
        let mut world = self.clone();
        let before = world.router[attempt];
        let after = before.after(event);
        world.router[attempt] = after;
        if before == after || world.reported.is_some() || attempt + 1 < world.router.len() {
            return world;
        }
        let answered = before == RouterExchange::Answering;
        match after {
            RouterExchange::Delivered => world.reported = Some(Ran::Yes),
            RouterExchange::Ended(ran, _) => {
                world.attempts.ended(after);
                let may_retry = after.may_retry(world.repeatable, answered);
                if may_retry && world.router.len() < MAX_ATTEMPTS {
                    world.router.push(RouterExchange::Unsent);
                    world.sidecar.push(None);
                    world.is_sidecar_alive.push(true);
                } else {
                    world.reported = Some(world.attempts.ran(ran));
                }
            }
            _ => {}
        }
        world
    }

    fn send(
        &mut self,
        message: Message,
    ) {
        self.network.push(message);
        self.network.sort();
    }
}

fn explore(
    repeatable: bool,
    check: impl Fn(&World),
) -> usize {
    let mut seen = HashSet::new();
    let mut unexplored = vec![World::new(repeatable)];
    while let Some(world) = unexplored.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        check(&world);
        unexplored.extend(world.next());
    }
    seen.len()
}

#[test]
fn not_run_is_true_in_every_interleaving() {
    for repeatable in [false, true] {
        let worlds = explore(repeatable, |world| {
            if world.reported == Some(Ran::No) {
                assert_eq!(world.runs, 0, "{world:?}");
            }
        });
        assert!(worlds > 1_000, "only {worlds} worlds");
    }
}

#[test]
fn what_may_not_be_repeated_runs_at_most_once_in_every_interleaving() {
    explore(false, |world| assert!(world.runs <= 1, "{world:?}"));
}

#[test]
fn the_model_finds_a_wrong_rule() {
    let max_runs = std::cell::Cell::new(0);
    explore(true, |world| max_runs.set(max_runs.get().max(world.runs)));
    assert_eq!(
        max_runs.get(),
        2,
        "a repeatable request does run twice somewhere"
    );
}
