use std::{collections::BTreeSet, sync::Arc};

/// The only regions in which requests of a route or of a client account may be served and
/// their data may be kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<Arc<str>>);

impl FromIterator<String> for AllowedRegions {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        Self(names.into_iter().map(Arc::from).collect())
    }
}

impl AllowedRegions {
    /// Whether the region is allowed. An unknown region (none) is not.
    pub fn contains(
        &self,
        region: Option<&str>,
    ) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }

    /// The regions that both allow. None stands for no restriction.
    pub fn intersection(
        one: Option<&Self>,
        other: Option<&Self>,
    ) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(Self(one.0.intersection(&other.0).cloned().collect())),
            (one, other) => one.or(other).cloned(),
        }
    }
}
