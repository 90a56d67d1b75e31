//! What is believed of how replicas work, made now and then from what was seen of them:
//! choices read it, and there are many more of these.

use {
    super::{ReplicaBoard, board_paces::all_seen},
    crate::policy::{
        Moment,
        placement::{PaceEvidence, PauseSight, ReplicaPace, UsualPace},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// The shortest time between two looks at all replicas.
const LOOK: Duration = Duration::from_millis(100);

/// The same for each replica that is looked at: a look takes a fraction of this.
const LOOK_EACH: Duration = Duration::from_micros(100);

impl ReplicaBoard {
    /// Looks at what was seen of all replicas, unless that was done a moment ago: choices go by
    /// what was believed then.
    pub fn refresh_beliefs(
        &mut self,
        now: Moment,
    ) {
        let pause = LOOK.max(LOOK_EACH * self.replicas.len() as u32);
        if now.saturating_sub(self.looked) < pause {
            return;
        }
        self.looked = now;
        self.note_overdue(now);
        let mut sums: HashMap<Arc<str>, PaceEvidence> = HashMap::new();
        for view in self.replicas.values_mut() {
            view.seen.pace.forget_old(now);
            let own = view.seen.pace.own(now);
            match sums.get_mut(&view.entry.service) {
                Some(sum) => *sum += own,
                None => {
                    sums.insert(view.entry.service.clone(), own);
                }
            }
        }
        let usual = sums.into_iter();
        self.usual_paces = usual
            .map(|(service, sum)| (service, UsualPace::new(sum)))
            .collect();
        for view in self.replicas.values_mut() {
            let seen = all_seen(view, now, &self.usual_paces);
            view.pace = ReplicaPace::new(seen);
            view.pause_sight = PauseSight::new(now, view.seen.pauses(now), &view.pauses);
        }
    }
}
