use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The kind of process that a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    Router,
    Sidecar,
}

impl fmt::Display for HostRole {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "router",
            Self::Sidecar => "sidecar",
        })
    }
}

impl FromStr for HostRole {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "router" => Ok(Self::Router),
            "sidecar" => Ok(Self::Sidecar),
            _ => Err(()),
        }
    }
}
