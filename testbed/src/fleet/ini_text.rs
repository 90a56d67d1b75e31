use archmast::fleet::KeyDigest;

/// Replaces values in the text of a settings file. `values` holds pairs of
/// `section.key` and value; the last pair of a key applies. Keys that the file does not
/// contain are ignored: the shipped files list every key.
pub fn overlay(
    shipped: &str,
    values: &[(String, String)],
) -> String {
    let mut section = String::new();
    let mut text = String::new();
    for line in shipped.lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']').to_owned();
        }
        let key = line.split('=').next().unwrap_or("").trim();
        let full = format!("{section}.{key}");
        match values.iter().rev().find(|(name, _)| *name == full) {
            Some((_, value)) => text.push_str(&format!("{key} = {value}\n")),
            None => text.push_str(&format!("{line}\n")),
        }
    }
    text
}

/// Builder of a fleet configuration's INI text.
#[derive(Debug, Clone, Default)]
pub struct FleetText(String);

impl FleetText {
    /// Adds a section with `key = value` lines.
    pub fn section(
        mut self,
        name: &str,
        lines: &[(&str, &str)],
    ) -> Self {
        self.0.push_str(&format!("[{name}]\n"));
        for (key, value) in lines {
            self.0.push_str(&format!("{key} = {value}\n"));
        }
        self.0.push('\n');
        self
    }

    /// Adds a traffic class with its patience (how long a request may wait).
    pub fn class(
        self,
        name: &str,
        patience: &str,
    ) -> Self {
        self.section(&format!("class {name}"), &[("patience", patience)])
    }

    /// Adds a client account whose key is the one of [`super::account_key`].
    pub fn account(
        self,
        name: &str,
        share: f64,
        class: &str,
        labels: &str,
    ) -> Self {
        let digest = KeyDigest::of_key(&super::account_key(name)).to_string();
        self.section(
            &format!("account {name}"),
            &[
                ("key_sha256", &digest),
                ("share", &share.to_string()),
                ("class", class),
                ("labels", labels),
            ],
        )
    }

    /// Adds a group of model engines on the hosts that have the label `kind=model`.
    pub fn models(
        self,
        name: &str,
        models: &str,
    ) -> Self {
        self.section(
            &format!("group {name}"),
            &[
                ("kind", "model"),
                ("models", models),
                ("prompt_weight", "0.2"),
                ("generated_weight", "1"),
                ("hosts", "kind = model"),
                ("repeatable", "POST"),
            ],
        )
    }

    /// Adds a group of plain services on the hosts that have the label `kind=plain`.
    pub fn plain(
        self,
        name: &str,
        prefix: &str,
    ) -> Self {
        self.section(
            &format!("group {name}"),
            &[
                ("kind", "plain"),
                ("prefix", prefix),
                ("second_weight", "1000"),
                ("hosts", "kind = plain"),
                ("repeatable", "GET"),
            ],
        )
    }

    /// Adds a host's labels.
    pub fn host(
        self,
        name: &str,
        labels: &str,
    ) -> Self {
        self.section(&format!("host {name}"), &[("labels", labels)])
    }

    /// Adds a routing rule.
    pub fn rule(
        self,
        name: &str,
        lines: &[(&str, &str)],
    ) -> Self {
        self.section(&format!("rule {name}"), lines)
    }

    pub fn text(&self) -> &str {
        &self.0
    }
}
