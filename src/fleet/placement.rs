use std::fmt;

/// The hosts of a group that may serve a request, and why the others may not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    pub hosts: Vec<String>,       // sorted by name
    pub rules: Vec<String>,       // names of the rules that select the request
    pub excluded: Vec<Exclusion>, // other hosts of the group
}

/// A host that may not serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    pub host: String,
    pub by: ExcludedBy,
}

/// Why a host may not serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExcludedBy {
    /// The rule with this name does not select the host.
    Rule(String),
    /// The host's availability zone is cordoned: it gets no new requests.
    Cordon,
}

impl fmt::Display for ExcludedBy {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        match self {
            Self::Rule(name) => write!(f, "rule {name}"),
            Self::Cordon => write!(f, "cordon of its zone"),
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{} ({})", self.host, self.by)
    }
}
