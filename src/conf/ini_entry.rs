/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    pub key: String,
    pub value: String,
    pub line: usize, // counted from 1
}
