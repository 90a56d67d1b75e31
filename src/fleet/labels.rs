use std::collections::BTreeMap;

/// Labels of a host, an account or a request: values by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Parses a list as `lot=yvr, tier=gold`; `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let mut labels = Self::default();
        for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            let (name, value) = (name.trim(), value.trim());
            if !is_word(name) || !is_word(value) {
                return None;
            }
            labels.set(name, value);
        }
        Some(labels)
    }

    /// The value of a label.
    pub fn get(
        &self,
        name: &str,
    ) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Sets a label, and replaces its earlier value.
    pub fn set(
        &mut self,
        name: &str,
        value: &str,
    ) {
        self.0.insert(name.to_owned(), value.to_owned());
    }

    /// Adds all labels of `other`, and replaces values of the same name.
    pub fn extend(
        &mut self,
        other: &Labels,
    ) {
        for (name, value) in &other.0 {
            self.set(name, value);
        }
    }

    /// Names and values, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }
}

/// Whether a text is valid as the name or value of a label.
pub(super) fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':'))
}
