use {
    crate::{
        codes::ResultCode,
        conf::{ConfError, IniDocument},
    },
    ring::digest,
};

/// The section that makes a published value a manifest.
const SECTION: &str = "manifest";

/// The list of parts of a configuration that is larger than a published value may be.
///
/// A published value is either a whole configuration or a section `[manifest]` with lines of the
/// form `part-name = sha256`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    pub parts: Vec<ManifestPart>,
}

/// Names one part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestPart {
    pub name: String,
    pub digest: String, // SHA-256 in lower-case hexadecimal; the part is published under it
}

impl Manifest {
    /// Parses a published value; `None` if it is a whole configuration. `file` is its name for
    /// errors. Fails with `ResultCode::SettingsSyntax` (11), `UnknownSection` (12) or
    /// `DuplicateKey` (18).
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Option<Self>, ConfError> {
        if !text.trim_start().starts_with("[manifest]") {
            return Ok(None);
        }
        let document = IniDocument::parse(file, text)?;
        let Some(section) = document.section(SECTION) else {
            return Ok(None);
        };
        let parts = section
            .entries
            .iter()
            .map(|entry| ManifestPart {
                name: entry.key.clone(),
                digest: entry.value.clone(),
            })
            .collect();
        Ok(Some(Self { parts }))
    }

    /// The text of the manifest, to be published.
    pub fn to_text(&self) -> String {
        let mut text = format!("[{SECTION}]\n");
        for part in &self.parts {
            text.push_str(&format!("{} = {}\n", part.name, part.digest));
        }
        text
    }
}

impl ManifestPart {
    /// Compares a part's text with the digest in the manifest. Fails with
    /// `ResultCode::PartDigest` (23) if they differ.
    pub fn verify(
        &self,
        text: &str,
    ) -> Result<(), ConfError> {
        if sha256_hex(text.as_bytes()) == self.digest {
            return Ok(());
        }
        Err(ConfError::of_file(
            ResultCode::PartDigest,
            &self.name,
            "the bytes do not match the manifest",
        ))
    }
}

/// SHA-256 in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    digest::digest(&digest::SHA256, bytes)
        .as_ref()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
