use {
    crate::policy::{GrantNumber, IssuedGrant, Moment},
    std::collections::BTreeMap,
};

/// The outstanding grants of a sidecar: issued, and not used, declined or expired.
#[derive(Debug, Clone)]
pub struct GrantTable<R> {
    issued: BTreeMap<GrantNumber, IssuedGrant<R>>,
}

impl<R: Copy + PartialEq> Default for GrantTable<R> {
    fn default() -> Self {
        Self {
            issued: BTreeMap::new(),
        }
    }
}

impl<R: Copy + PartialEq> GrantTable<R> {
    /// The number of outstanding grants.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Whether no grant is outstanding.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    /// Adds a new grant.
    pub fn insert(
        &mut self,
        grant: IssuedGrant<R>,
    ) {
        self.issued.insert(grant.grant.number, grant);
    }

    /// Removes a grant that is used; `None` if it is unknown, another router's or expired.
    pub fn redeem(
        &mut self,
        number: GrantNumber,
        router: R,
        now: Moment,
    ) -> Option<IssuedGrant<R>> {
        let grant = self.issued.get(&number)?;
        if grant.router != router || grant.expires <= now {
            return None;
        }
        self.issued.remove(&number)
    }

    /// Removes a grant that its router declines; `None` if it is unknown or another router's.
    pub fn decline(
        &mut self,
        number: GrantNumber,
        router: R,
    ) -> Option<IssuedGrant<R>> {
        let grant = self.issued.get(&number)?;
        if grant.router != router {
            return None;
        }
        self.issued.remove(&number)
    }

    /// Removes the grants that have expired.
    pub fn expire(
        &mut self,
        now: Moment,
    ) -> Vec<IssuedGrant<R>> {
        self.remove_where(|grant| grant.expires <= now)
    }

    /// Removes the grants of a router that is gone.
    pub fn remove_router(
        &mut self,
        router: R,
    ) -> Vec<IssuedGrant<R>> {
        self.remove_where(|grant| grant.router == router)
    }

    /// Removes every grant.
    pub fn clear(&mut self) -> Vec<IssuedGrant<R>> {
        self.remove_where(|_| true)
    }

    fn remove_where(
        &mut self,
        condition: impl Fn(&IssuedGrant<R>) -> bool,
    ) -> Vec<IssuedGrant<R>> {
        self.issued
            .extract_if(.., |_, grant| condition(grant))
            .map(|(_, grant)| grant)
            .collect()
    }
}
