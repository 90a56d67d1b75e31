use {
    super::{OriginFinding, QueryGroup},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// One query for the origin of a stream: who was asked and who answered.
///
/// A router that is asked on behalf of its zone may pass the query on to others of its zone, which
/// answer the asker directly, before or after the router itself does.
#[derive(Debug, Clone, Default)]
pub struct OriginQuery {
    asked: BTreeMap<SocketAddr, QueryGroup>,
    open: BTreeSet<QueryGroup>,                   // without an answer
    passed_on: usize, // further answers that the received ones announced
    relayed_answers: BTreeSet<SocketAddr>, // routers that answered without being asked directly
    finding: Option<(OriginFinding, SocketAddr)>, // the first one that is not unknown, and whose
}

impl OriginQuery {
    /// Records that a router is asked. One answer of its group is then expected.
    pub fn record_asked(
        &mut self,
        group: QueryGroup,
        router: SocketAddr,
    ) {
        let is_new = !self.asked.values().any(|known| *known == group);
        self.asked.insert(router, group);
        if is_new {
            self.open.insert(group);
        }
    }

    /// Applies an answer. `passed_on` is the number of routers that answer on behalf of this one
    /// as well.
    pub fn apply(
        &mut self,
        from: SocketAddr,
        finding: OriginFinding,
        passed_on: usize,
    ) {
        if finding != OriginFinding::Unknown {
            self.finding.get_or_insert((finding, from));
            return;
        }
        match self.asked.get(&from) {
            // Of two answers on behalf of the same zone, one counts.
            Some(group) if self.open.remove(group) => self.passed_on += passed_on,
            Some(_) => {}
            None => {
                self.relayed_answers.insert(from);
            }
        }
    }

    /// Whether an answer of this group is missing.
    pub fn is_open(
        &self,
        group: QueryGroup,
    ) -> bool {
        self.open.contains(&group)
    }

    /// The origin, if it is known or ambiguous, and the router that said so.
    pub fn finding(&self) -> Option<(OriginFinding, SocketAddr)> {
        self.finding
    }

    /// Whether no further answer is expected, or it would not change the outcome.
    pub fn is_settled(&self) -> bool {
        let has_all = self.open.is_empty() && self.relayed_answers.len() >= self.passed_on;
        self.finding.is_some() || has_all
    }
}
