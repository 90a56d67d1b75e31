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
pub enum KeyStatus {
    Fresh,      // unknown before, remembered now as running
    InProgress, // a request with this key is running
    Ran,        // a request with this key ran, or may have
    Unsure,     // the process started too recently, or remembers as many keys as it may
}

/// The idempotency keys that a sidecar remembers.
///
/// They are lost when the process exits, and dropped after a set time. A process that started less
/// than `quarantine` ago may have lost a key, so it reports new keys as unsure.
#[derive(Debug, Clone)]
pub struct IdempotencyKeys {
    keys: HashMap<(AccountId, String), KeyState>,
    ended: VecDeque<(Moment, (AccountId, String))>, // oldest first
    retention: Duration, // how long a key is remembered after its request ended
    quarantine: Duration,
    max_keys: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    Running,
    Ended,
}

impl IdempotencyKeys {
    /// Starts without keys.
    pub fn new(
        retention: Duration,
        quarantine: Duration,
        max_keys: usize,
    ) -> Self {
        Self {
            keys: HashMap::new(),
            ended: VecDeque::new(),
            retention,
            quarantine,
            max_keys,
        }
    }

    /// Looks up a key and, if it is fresh, remembers it as running.
    pub fn begin(
        &mut self,
        now: Moment,
        account: AccountId,
        key: &str,
    ) -> KeyStatus {
        self.remove_expired(now);
        let entry = (account, key.to_owned());
        match self.keys.get(&entry) {
            Some(KeyState::Running) => return KeyStatus::InProgress,
            Some(KeyState::Ended) => return KeyStatus::Ran,
            None => {}
        }
        if now < self.quarantine || self.keys.len() >= self.max_keys {
            return KeyStatus::Unsure;
        }
        self.keys.insert(entry, KeyState::Running);
        KeyStatus::Fresh
    }

    /// Records that the request with this key ended, and that it ran or may have run.
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

    /// Drops a key whose request certainly did not run.
    pub fn not_run(
        &mut self,
        account: AccountId,
        key: &str,
    ) {
        self.keys.remove(&(account, key.to_owned()));
    }

    fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        while let Some((ended, _)) = self.ended.front() {
            if now.saturating_sub(*ended) < self.retention {
                return;
            }
            if let Some((_, entry)) = self.ended.pop_front() {
                self.keys.remove(&entry);
            }
        }
    }
}
