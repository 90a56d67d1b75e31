use {
    super::{FleetConfig, Manifest, Revision, manifest::sha256_hex, parse_fleet},
    crate::{
        codes::ResultCode,
        conf::{ConfError, IniDocument},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A configuration with its revision and the bytes it came from, so that it
/// can be handed to a peer.
#[derive(Debug, Clone)]
pub struct VersionedConfig {
    pub revision: Revision,
    pub digest: String,                    // SHA-256 of the published value
    pub root: Arc<str>,                    // the published value: a configuration or a manifest
    pub parts: BTreeMap<String, Arc<str>>, // by digest
    pub config: Arc<FleetConfig>,
}

impl VersionedConfig {
    /// Validates a published value and its parts: codes 11 to 24.
    ///
    /// The verdict depends on the bytes alone, so every process reaches the
    /// same one.
    pub fn build(
        revision: Revision,
        root: Arc<str>,
        parts: BTreeMap<String, Arc<str>>,
    ) -> Result<Self, ConfError> {
        let name = format!("revision {revision}");
        let documents = match Manifest::parse(&name, &root)? {
            None => vec![IniDocument::parse(&name, &root)?],
            Some(manifest) => part_documents(&manifest, &parts)?,
        };
        Ok(Self {
            revision,
            digest: sha256_hex(root.as_bytes()),
            config: Arc::new(parse_fleet(&documents)?),
            root,
            parts,
        })
    }

    /// The digests of the parts that a published value needs.
    pub fn needed_parts(root: &str) -> Result<Vec<String>, ConfError> {
        let manifest = Manifest::parse("manifest", root)?;
        Ok(manifest.map_or_else(Vec::new, |m| {
            m.parts.into_iter().map(|part| part.digest).collect()
        }))
    }
}

fn part_documents(
    manifest: &Manifest,
    parts: &BTreeMap<String, Arc<str>>,
) -> Result<Vec<IniDocument>, ConfError> {
    let mut documents = Vec::with_capacity(manifest.parts.len());
    for part in &manifest.parts {
        let text = parts.get(&part.digest).ok_or_else(|| {
            ConfError::of_file(ResultCode::PartMissing, &part.name, "is not to be had")
        })?;
        part.verify(text)?;
        documents.push(IniDocument::parse(&part.name, text)?);
    }
    Ok(documents)
}
