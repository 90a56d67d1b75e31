use {
    crate::{
        codes::ResultCode,
        conf::{ConfError, IniDocument},
    },
    ring::digest,
};

/// The name of the one section that makes a published value a manifest.
const SECTION: &str = "manifest";

/// The list of parts of a configuration that is over one value's bound.
///
/// A published value is either a whole configuration or
/// `[manifest]` with `part-name = sha256` lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    pub parts: Vec<ManifestPart>,
}

/// One part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestPart {
    pub name: String,
    pub digest: String, // SHA-256 in lower-case hexadecimal; the part's key too
}

impl Manifest {
    /// The manifest in a published value, or none if it is a configuration.
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

    /// The manifest as a value to publish.
    pub fn to_text(&self) -> String {
        let mut text = format!("[{SECTION}]\n");
        for part in &self.parts {
            text.push_str(&format!("{} = {}\n", part.name, part.digest));
        }
        text
    }
}

impl ManifestPart {
    /// Checks a part's bytes against the manifest: code 23.
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
