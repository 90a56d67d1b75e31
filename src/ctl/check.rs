use {
    super::{CtlError, output::json},
    crate::{
        codes::ResultCode,
        fleet::{FleetConfig, Revision, VersionedConfig, sha256_hex},
    },
    serde::Serialize,
    std::{collections::BTreeMap, fs, sync::Arc},
};

#[derive(Serialize)]
struct Summary {
    accounts: usize,
    classes: usize,
    groups: usize,
    rules: usize,
    bytes: usize,
}

/// Validates a configuration as routers and sidecars do. `files` are the value to publish and, if
/// that is a manifest, its parts.
pub fn check(
    files: &[String],
    as_json: bool,
) -> Result<String, CtlError> {
    let config = read_config(files)?;
    let summary = Summary {
        accounts: config.config.accounts.len(),
        classes: config.config.classes.len(),
        groups: config.config.groups.len(),
        rules: config.config.rules.len(),
        bytes: config.root.len() + config.parts.values().map(|p| p.len()).sum::<usize>(),
    };
    if as_json {
        return Ok(json(&summary));
    }
    Ok(format!(
        "{}: no fault found; {} accounts, {} classes, {} groups, {} rules, {} bytes\n",
        files[0], summary.accounts, summary.classes, summary.groups, summary.rules, summary.bytes
    ))
}

/// Reads and validates a configuration. Fails with `ResultCode::Usage` (90) if there is no file,
/// else with a code from `SettingsFileMissing` (10) to `AccountIdCollision` (24).
pub fn read_config(files: &[String]) -> Result<VersionedConfig, CtlError> {
    let (root, parts) = files
        .split_first()
        .ok_or_else(|| CtlError::usage("check takes a file"))?;
    let root: Arc<str> = read(root)?.into();
    let mut by_digest = BTreeMap::new();
    for part in parts {
        let text = read(part)?;
        by_digest.insert(sha256_hex(text.as_bytes()), text.into());
    }
    let config = VersionedConfig::build(Revision(0), root, by_digest).map_err(|mut error| {
        error.file = error.file.replace("revision 0", &files[0]);
        CtlError::from(error)
    })?;
    reject_unusable(&config.config)?;
    Ok(config)
}

fn reject_unusable(config: &FleetConfig) -> Result<(), CtlError> {
    if config.groups.is_empty() || config.accounts.is_empty() {
        return Err(CtlError::new(
            ResultCode::MissingKey,
            "no group or no account: nothing could be served",
        ));
    }
    Ok(())
}

fn read(file: &str) -> Result<String, CtlError> {
    fs::read_to_string(file)
        .map_err(|error| CtlError::new(ResultCode::SettingsFileMissing, format!("{file}: {error}")))
}
