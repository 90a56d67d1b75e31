use std::fmt;

/// The hosts that may serve a request, and why the others may not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    pub hosts: Vec<String>,       // sorted by name
    pub rules: Vec<String>,       // rules that select the request
    pub excluded: Vec<Exclusion>, // hosts of the group that a rule leaves out
}

/// A host that a rule left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    pub host: String,
    pub rule: String,
}

impl fmt::Display for Exclusion {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{} (rule {})", self.host, self.rule)
    }
}
