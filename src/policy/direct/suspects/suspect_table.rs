use {
    super::{SuspectDigest, suspect::Suspect},
    std::collections::{BTreeSet, HashMap},
};

/// Requests, or parts, that are remembered, in all and for one client account, at up to 600 bytes
/// each.
const MAX_SUSPECTS: usize = 4096;
const MAX_PER_ACCOUNT: usize = 512;

/// The suspects of one kind. If there are too many, one of the account that has the most goes.
#[derive(Debug, Default)]
pub(super) struct SuspectTable {
    suspects: HashMap<SuspectDigest, Suspect>,
    account_sizes: HashMap<u32, usize>, // suspects by the hash of the account's name
}

impl SuspectTable {
    pub fn get(
        &self,
        digest: SuspectDigest,
    ) -> Option<&Suspect> {
        self.suspects.get(&digest)
    }

    pub fn get_mut(
        &mut self,
        digest: SuspectDigest,
    ) -> Option<&mut Suspect> {
        self.suspects.get_mut(&digest)
    }

    /// The suspect with this digest. If it is new and there is no place for one more of its
    /// account, another one is evicted before; those in `held` go last.
    pub fn get_or_insert(
        &mut self,
        account: u32,
        digest: SuspectDigest,
        held: &BTreeSet<SuspectDigest>,
    ) -> &mut Suspect {
        if !self.suspects.contains_key(&digest) {
            self.evict_for(account, held);
            *self.account_sizes.entry(account).or_default() += 1;
        }
        let suspect = self.suspects.entry(digest);
        suspect.or_insert_with(|| Suspect::new(account))
    }

    /// Removes all but those that `keeps` is true of.
    pub fn retain(
        &mut self,
        keeps: impl Fn(SuspectDigest, &Suspect) -> bool,
    ) {
        self.suspects
            .retain(|digest, suspect| keeps(*digest, suspect));
        self.account_sizes.clear();
        for suspect in self.suspects.values() {
            *self.account_sizes.entry(suspect.account).or_default() += 1;
        }
    }

    /// Evicts the suspect with the least evidence against it: of this account if it is at its
    /// limit, else of the account that has the most if the table is full.
    fn evict_for(
        &mut self,
        account: u32,
        held: &BTreeSet<SuspectDigest>,
    ) {
        let is_at_limit = self.account_sizes.get(&account) >= Some(&MAX_PER_ACCOUNT);
        let largest = self.account_sizes.iter().max_by_key(|(_, size)| **size);
        let full = match largest {
            _ if is_at_limit => account,
            Some((largest, _)) if self.suspects.len() >= MAX_SUSPECTS => *largest,
            _ => return,
        };
        let of_account = self.suspects.iter().filter(|(_, it)| it.account == full);
        let least = of_account.min_by_key(|(digest, suspect)| {
            let is_held = held.contains(*digest);
            (
                is_held,
                suspect.counted_crashes(),
                suspect.last_crash(),
                **digest,
            )
        });
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
            if let Some(size) = self.account_sizes.get_mut(&full) {
                *size -= 1;
            }
        }
    }
}
