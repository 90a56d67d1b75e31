use std::{collections::BTreeSet, sync::Arc};

/// The only regions in which requests of a route or of a client account may be served, and
/// what they bring kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<Arc<str>>);

impl FromIterator<String> for AllowedRegions {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        Self(names.into_iter().map(Arc::from).collect())
    }
}

impl AllowedRegions {
    /// Whether a region is among them. One that is not known is not.
    pub fn permit(
        &self,
        region: Option<&str>,
    ) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }

    /// What both allow; none bounds nothing.
    pub fn both(
        one: Option<&Self>,
        other: Option<&Self>,
    ) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(Self(one.0.intersection(&other.0).cloned().collect())),
            (one, other) => one.or(other).cloned(),
        }
    }
}
