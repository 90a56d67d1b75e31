use {
    super::SoftwareVersion,
    serde::{Deserialize, Serialize},
};

/// What a router knows of the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFinding {
    /// There is no record of it.
    Unknown,
    /// The software version at which the stream began.
    Known(SoftwareVersion),
    /// There are records of several versions.
    Ambiguous,
}

impl OriginFinding {
    /// The version at which the stream may go on, if there is exactly one.
    pub fn version(self) -> Option<SoftwareVersion> {
        match self {
            Self::Known(version) => Some(version),
            Self::Unknown | Self::Ambiguous => None,
        }
    }

    /// Its label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Known(_) => "found",
            Self::Ambiguous => "ambiguous",
        }
    }
}
