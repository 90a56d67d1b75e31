use std::fmt;

/// The hosts that may serve a request, and why the others may not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    pub hosts: Vec<String>,       // sorted by name
    pub rules: Vec<String>,       // rules that select the request
    pub excluded: Vec<Exclusion>, // hosts of the group that are left out
}

/// A host that is left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    pub host: String,
    pub by: ExcludedBy,
}

/// What leaves a host out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExcludedBy {
    /// The rule of this name.
    Rule(String),
    /// Its availability zone gets no new work.
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
