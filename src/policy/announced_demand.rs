use {
    super::{DemandLine, Moment},
    crate::fleet::AccountId,
    std::collections::{BTreeMap, HashMap},
};

/// What a router last told one sidecar, and what it must tell it now.
///
/// A deep queue is announced with a large count and not again until grants
/// have used up half of it, so a flood costs a count and not messages.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedDemand {
    lines: HashMap<AccountId, Announced>,
}

#[derive(Debug, Clone, Copy)]
struct Announced {
    count: u32,
    granted: u32, // since then
    deadline: Moment,
}

impl Announced {
    fn remaining(&self) -> u32 {
        self.count.saturating_sub(self.granted)
    }
}

impl AnnouncedDemand {
    /// Forgets what was told: the sidecar forgot it too.
    pub fn clear(&mut self) {
        self.lines.clear();
    }

    /// Counts a grant that arrived.
    pub fn granted(
        &mut self,
        account: AccountId,
    ) {
        if let Some(line) = self.lines.get_mut(&account) {
            line.granted += 1;
        }
    }

    /// Forgets one account: a declined grant made the sidecar forget it.
    pub fn declined(
        &mut self,
        account: AccountId,
    ) {
        self.lines.remove(&account);
    }

    /// The lines that have changed enough to be told, `cap` being the largest
    /// count told. `current` maps accounts to count, deadline and arrival of
    /// the oldest.
    pub fn changes(
        &mut self,
        now: Moment,
        cap: u32,
        current: &BTreeMap<AccountId, (u32, Moment, Moment)>,
    ) -> Vec<DemandLine> {
        let mut lines = Vec::new();
        for (account, (count, deadline, oldest)) in current {
            let count = (*count).min(cap);
            if !self.must_tell(*account, count, *deadline) {
                continue;
            }
            self.lines.insert(
                *account,
                Announced {
                    count,
                    granted: 0,
                    deadline: *deadline,
                },
            );
            lines.push(DemandLine {
                account: *account,
                count,
                patience_ms: millis(deadline.saturating_sub(now)),
                waited_ms: millis(now.saturating_sub(*oldest)),
            });
        }
        lines.extend(self.ended(current));
        lines
    }

    fn must_tell(
        &self,
        account: AccountId,
        count: u32,
        deadline: Moment,
    ) -> bool {
        let Some(told) = self.lines.get(&account) else {
            return true;
        };
        let remaining = told.remaining();
        deadline < told.deadline || count < remaining || remaining * 2 < count
    }

    fn ended(
        &mut self,
        current: &BTreeMap<AccountId, (u32, Moment, Moment)>,
    ) -> Vec<DemandLine> {
        let ended: Vec<AccountId> = self
            .lines
            .keys()
            .filter(|account| !current.contains_key(account))
            .copied()
            .collect();
        ended
            .into_iter()
            .filter_map(|account| {
                let told = self.lines.remove(&account)?;
                (told.remaining() > 0).then_some(DemandLine {
                    account,
                    count: 0,
                    patience_ms: 0,
                    waited_ms: 0,
                })
            })
            .collect()
    }
}

fn millis(duration: std::time::Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
