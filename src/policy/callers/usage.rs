/// Memory and file descriptors of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Memory in bytes.
    pub bytes: u64,
    /// File descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Whether it is nothing.
    pub fn is_none(self) -> bool {
        self.bytes == 0 && self.descriptors == 0
    }

    /// What of it is beyond `other`, which may be a limit or a part of it.
    pub fn beyond(
        self,
        other: Self,
    ) -> Self {
        Self {
            bytes: self.bytes.saturating_sub(other.bytes),
            descriptors: self.descriptors.saturating_sub(other.descriptors),
        }
    }
}
