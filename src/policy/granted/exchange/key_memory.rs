use {
    crate::fleet::AccountId,
    crate::policy::Moment,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// What is known of a request's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict {
    Fresh,      // remembered now as running
    InProgress, // a request with this key runs
    Ran,        // a request with this key ran, or may have
    Unsure,     // started too recently, or the memory is full
}

/// The idempotency keys a sidecar remembers.
///
/// The memory ends with the process and after a stated time. A process that
/// started less than `quarantine` ago may have forgotten a run, so it takes no
/// keyed request that may not be repeated.
#[derive(Debug, Clone)]
pub struct KeyMemory {
    keys: HashMap<(AccountId, String), KeyState>,
    ended: VecDeque<(Moment, (AccountId, String))>, // oldest first
    memory: Duration,
    quarantine: Duration,
    max_keys: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    Running,
    Ended,
}

impl KeyMemory {
    /// An empty memory.
    pub fn new(
        memory: Duration,
        quarantine: Duration,
        max_keys: usize,
    ) -> Self {
        Self {
            keys: HashMap::new(),
            ended: VecDeque::new(),
            memory,
            quarantine,
            max_keys,
        }
    }

    /// Asks about a key and, if it is fresh, remembers it as running.
    pub fn begin(
        &mut self,
        now: Moment,
        account: AccountId,
        key: &str,
    ) -> KeyVerdict {
        self.forget_old(now);
        let entry = (account, key.to_owned());
        match self.keys.get(&entry) {
            Some(KeyState::Running) => return KeyVerdict::InProgress,
            Some(KeyState::Ended) => return KeyVerdict::Ran,
            None => {}
        }
        if now < self.quarantine || self.keys.len() >= self.max_keys {
            return KeyVerdict::Unsure;
        }
        self.keys.insert(entry, KeyState::Running);
        KeyVerdict::Fresh
    }

    /// The request with this key ended; it ran, or may have.
    pub fn ran(
        &mut self,
        now: Moment,
        account: AccountId,
        key: &str,
    ) {
        let entry = (account, key.to_owned());
        self.keys.insert(entry.clone(), KeyState::Ended);
        self.ended.push_back((now, entry));
    }

    /// The request with this key certainly did not run.
    pub fn not_run(
        &mut self,
        account: AccountId,
        key: &str,
    ) {
        self.keys.remove(&(account, key.to_owned()));
    }

    fn forget_old(
        &mut self,
        now: Moment,
    ) {
        while let Some((ended, _)) = self.ended.front() {
            if now.saturating_sub(*ended) < self.memory {
                return;
            }
            if let Some((_, entry)) = self.ended.pop_front() {
                self.keys.remove(&entry);
            }
        }
    }
}
