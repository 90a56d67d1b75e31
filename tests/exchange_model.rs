//! Every interleaving of one request's exchange, for promises 4 and 5: what a
//! caller is told of "not run" is true, and what may not be repeated runs at
//! most once.
//!
//! The model drives the product's own state machines. The network may lose or
//! delay each message for ever, either process may crash at any step, a frozen
//! one acts later on what it had, grants expire, and the router retries where
//! its own rule allows it.

use {
    archmast::{
        codes::{Ran, ResultCode},
        policy::{AnswerEvent, Attempts, RouterExchange, SidecarExchange},
    },
    std::collections::HashSet,
};

const MAX_ATTEMPTS: usize = 2;

/// A message on its way. Any may never arrive.
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
    sidecar: Vec<Option<SidecarExchange>>, // one per attempt, none before arrival
    alive: Vec<bool>,                      // the sidecar of each attempt
    network: Vec<Message>,                 // sorted
    runs: usize,
    told: Option<Ran>, // what the caller was told in the end
    repeatable: bool,
    attempts: Attempts,
}

impl World {
    fn new(repeatable: bool) -> Self {
        Self {
            router: vec![RouterExchange::Unsent],
            sidecar: vec![None],
            alive: vec![true],
            network: Vec::new(),
            runs: 0,
            told: None,
            repeatable,
            attempts: Attempts::default(),
        }
    }

    /// Every world one step on.
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
            let mut twice = self.clone().delivered(*message);
            twice.network.sort();
            worlds.push(twice); // delivered, and a copy stays behind
        }
        worlds
    }

    fn router_steps(
        &self,
        attempt: usize,
    ) -> Vec<World> {
        let mut worlds = Vec::new();
        let state = self.router[attempt];
        if state == RouterExchange::Unsent && self.told.is_none() {
            let mut sent = self.clone();
            sent.router[attempt] = state.after(AnswerEvent::Sending);
            sent.send(Message::Request(attempt));
            worlds.push(sent);
        }
        // The connection breaks, or patience ends, at any time.
        worlds.push(self.observe(attempt, AnswerEvent::Lost));
        worlds
    }

    fn sidecar_steps(
        &self,
        attempt: usize,
    ) -> Vec<World> {
        let mut worlds = Vec::new();
        let (Some(state), true) = (self.sidecar[attempt], self.alive[attempt]) else {
            return worlds;
        };
        let mut crashed = self.clone();
        crashed.alive[attempt] = false;
        worlds.push(crashed);
        let mut starting = state;
        if starting.start() {
            let mut world = self.clone();
            world.sidecar[attempt] = Some(starting);
            world.runs += 1; // bytes may have reached the upstream
            world.send(Message::Begun(attempt));
            worlds.push(world);
            let mut refused = self.clone();
            let mut unreached = starting;
            assert!(unreached.refused_by_upstream());
            refused.sidecar[attempt] = Some(unreached);
            refused.send(Message::NotRun(attempt));
            worlds.push(refused);
        }
        let mut handing_back = state;
        if handing_back.hand_back() {
            let mut world = self.clone();
            world.sidecar[attempt] = Some(handing_back);
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
                // A stream delivers its request once; a copy finds it taken.
                if self.alive[attempt] && self.sidecar[attempt].is_none() {
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

    /// The router observes something and, at an end, tells its caller or tries
    /// again.
    fn observe(
        &self,
        attempt: usize,
        event: AnswerEvent,
    ) -> World {
        let mut world = self.clone();
        let before = world.router[attempt];
        let after = before.after(event);
        world.router[attempt] = after;
        if before == after || world.told.is_some() || attempt + 1 < world.router.len() {
            return world;
        }
        let answered = before == RouterExchange::Answering;
        match after {
            RouterExchange::Delivered => world.told = Some(Ran::Yes),
            RouterExchange::Ended(ran, _) => {
                world.attempts.ended(after);
                let again = after.may_retry(world.repeatable, answered);
                if again && world.router.len() < MAX_ATTEMPTS {
                    world.router.push(RouterExchange::Unsent);
                    world.sidecar.push(None);
                    world.alive.push(true);
                } else {
                    world.told = Some(world.attempts.ran(ran));
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
    let mut open = vec![World::new(repeatable)];
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        check(&world);
        open.extend(world.next());
    }
    seen.len()
}

#[test]
fn not_run_is_true_in_every_interleaving() {
    for repeatable in [false, true] {
        let worlds = explore(repeatable, |world| {
            if world.told == Some(Ran::No) {
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
fn the_model_can_tell_a_wrong_rule() {
    let most = std::cell::Cell::new(0);
    explore(true, |world| most.set(most.get().max(world.runs)));
    assert_eq!(
        most.get(),
        2,
        "a repeatable request does run twice somewhere"
    );
}
