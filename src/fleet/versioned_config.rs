use {
    super::{
        FleetConfig, Manifest, ManifestPart, Revision, manifest::sha256_hex, parse_document,
        parse_fleet,
    },
    crate::{
        codes::ResultCode,
        conf::{ConfError, IniDocument},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A validated configuration with its revision and its published texts, which are stored to be
/// sent to peers.
#[derive(Debug, Clone)]
pub struct VersionedConfig {
    pub revision: Revision,
    pub digest: String,                    // SHA-256 of the published value
    pub root: Arc<str>,                    // the published value: a configuration or a manifest
    pub parts: BTreeMap<String, Arc<str>>, // texts, by digest
    pub config: Arc<FleetConfig>,
}

impl VersionedConfig {
    /// Parses and validates a published value and its parts. Fails with a code from
    /// `ResultCode::SettingsSyntax` (11) to `AccountIdCollision` (24).
    ///
    /// The result depends on the texts alone, so that all processes accept or reject the same
    /// configurations.
    pub fn build(
        revision: Revision,
        root: Arc<str>,
        parts: BTreeMap<String, Arc<str>>,
    ) -> Result<Self, ConfError> {
        let name = format!("revision {revision}");
        let config = match Manifest::parse(&name, &root)? {
            None => parse_document(&IniDocument::parse(&name, &root)?)?,
            Some(manifest) => parse_parts(&manifest, &parts)?,
        };
        Ok(Self {
            revision,
            digest: sha256_hex(root.as_bytes()),
            config: Arc::new(config),
            root,
            parts,
        })
    }

    /// The digests of the parts that a published value lists; none for a whole configuration.
    pub fn needed_parts(root: &str) -> Result<Vec<String>, ConfError> {
        let manifest = Manifest::parse("manifest", root)?;
        Ok(manifest.map_or_else(Vec::new, |m| {
            m.parts.into_iter().map(|part| part.digest).collect()
        }))
    }
}

fn parse_parts(
    manifest: &Manifest,
    parts: &BTreeMap<String, Arc<str>>,
) -> Result<FleetConfig, ConfError> {
    for part in &manifest.parts {
        part.verify(part_text(part, parts)?)?;
    }
    let documents = manifest
        .parts
        .iter()
        .map(|part| IniDocument::parse(&part.name, part_text(part, parts)?));
    parse_fleet(documents)
}

fn part_text<'p>(
    part: &ManifestPart,
    parts: &'p BTreeMap<String, Arc<str>>,
) -> Result<&'p str, ConfError> {
    parts.get(&part.digest).map(|text| &**text).ok_or_else(|| {
        ConfError::of_file(
            ResultCode::PartMissing,
            &part.name,
            "is missing: the manifest names a part that was not published",
        )
    })
}
