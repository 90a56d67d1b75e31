use serde::{Deserialize, Serialize};

/// A frame behind a request for a catalog update: the asker packs revisions with the store's era.
/// Builds without it get the store's own counters, which they compare with those that they read
/// from the store themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnowsEras;
