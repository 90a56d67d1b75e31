use super::{GroupKind, Selector};

/// Upstreams that serve the same models or the same plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub name: String,
    pub kind: GroupKind,
    pub hosts: Selector,         // selects its hosts by their labels
    pub repeatable: Vec<String>, // methods whose requests may run more than once
}

impl Group {
    /// Whether a request with this method may run more than once.
    pub fn may_repeat(
        &self,
        method: &str,
    ) -> bool {
        self.repeatable.iter().any(|m| m == method)
    }

    /// Whether the group serves this model.
    pub fn serves_model(
        &self,
        model: &str,
    ) -> bool {
        matches!(&self.kind, GroupKind::Model { models, .. } if models.iter().any(|m| m == model))
    }

    /// The length of the path prefix, if the group serves this path.
    pub fn prefix_match(
        &self,
        path: &str,
    ) -> Option<usize> {
        let GroupKind::Plain { prefix, .. } = &self.kind else {
            return None;
        };
        let rest = path.strip_prefix(prefix.as_str())?;
        let whole_segment = rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/');
        whole_segment.then_some(prefix.len())
    }
}
