use super::IniEntry;

/// A `[name]` section and its entries, in the file's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    pub name: String,
    pub line: usize, // of the header, counted from 1
    pub entries: Vec<IniEntry>,
}

impl IniSection {
    /// The entry with this key.
    pub fn entry(
        &self,
        key: &str,
    ) -> Option<&IniEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}
