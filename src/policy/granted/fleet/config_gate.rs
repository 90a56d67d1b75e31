use crate::fleet::Revision;

/// What to do with a revision that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Fetch,    // newer than the one in force
    InForce,  // the one in force
    Older,    // than the one in force: ignored
    Rejected, // found invalid before
    Conflict, // the number of the one in force, with other bytes
}

/// Decides which configuration may come into force. Configurations are ordered by the platform's
/// revision number, so that an outdated reader cannot bring an old one back.
#[derive(Debug, Clone, Default)]
pub struct ConfigGate {
    in_force: Option<(Revision, String)>, // with its digest
    rejected: Option<(Revision, String)>, // newest invalid one
}

impl ConfigGate {
    /// Judges a revision by its number and digest.
    pub fn judge(
        &self,
        revision: Revision,
        digest: &str,
    ) -> Verdict {
        if let Some((current, known)) = &self.in_force {
            if revision < *current {
                return Verdict::Older;
            }
            if revision == *current {
                let same = same_digest(known, digest);
                return if same {
                    Verdict::InForce
                } else {
                    Verdict::Conflict
                };
            }
        }
        match &self.rejected {
            Some((bad, known)) if *bad == revision && same_digest(known, digest) => {
                Verdict::Rejected
            }
            _ => Verdict::Fetch,
        }
    }

    /// Brings a valid configuration into force. Returns false for a revision that is not newer
    /// than the one in force.
    pub fn accept(
        &mut self,
        revision: Revision,
        digest: &str,
    ) -> bool {
        let newer = self
            .in_force
            .as_ref()
            .is_none_or(|(current, _)| revision > *current);
        if newer {
            self.in_force = Some((revision, digest.to_owned()));
        }
        newer
    }

    /// Remembers an invalid configuration, so that it is fetched and refused only once.
    pub fn reject(
        &mut self,
        revision: Revision,
        digest: &str,
    ) {
        self.rejected = Some((revision, digest.to_owned()));
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|(revision, _)| *revision)
    }
}

/// Compares the digits that both have, as peers send only the first digits of a digest.
fn same_digest(
    known: &str,
    offered: &str,
) -> bool {
    let length = known.len().min(offered.len());
    known[..length] == offered[..length]
}
