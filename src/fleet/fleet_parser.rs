use {
    super::{
        Account, AccountId, Class, FleetConfig, Group, GroupKind, KeyDigest, Labels, Rule, Selector,
    },
    crate::{
        codes::ResultCode,
        conf::{ConfError, IniDocument, IniSection, SectionReader},
    },
    std::{
        collections::{HashMap, HashSet},
        ops::RangeInclusive,
        time::Duration,
    },
};

/// Allowed shares of accounts, which are relative to each other.
const SHARE_RANGE: RangeInclusive<f64> = 0.000_001..=1_000_000.0;
/// Allowed weights of service: service units per token, or per second that a slot is in use.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Allowed patience of classes.
const PATIENCE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(86_400);

/// Parses and validates a configuration of one or more documents. Fails with a code from
/// `ResultCode::SettingsSyntax` (11) to `AccountIdCollision` (24).
///
/// Classes are read in a first pass, so that sections may be in any order and in any document.
/// `documents` are parsed one after another in each pass: all together would take several times
/// the memory of the configuration's text.
pub fn parse_fleet<'d>(
    documents: impl Iterator<Item = Result<IniDocument, ConfError>> + Clone + 'd
) -> Result<FleetConfig, ConfError> {
    let mut parser = FleetParser::default();
    for pass in [Pass::Classes, Pass::OtherSections] {
        for document in documents.clone() {
            let document = document?;
            for section in &document.sections {
                parser.section(&document.file, section, pass)?;
            }
        }
    }
    Ok(parser.finish())
}

/// Parses and validates a configuration of one document.
pub fn parse_document(document: &IniDocument) -> Result<FleetConfig, ConfError> {
    parse_fleet(std::iter::once_with(|| Ok(document.clone())))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    Classes,
    OtherSections,
}

#[derive(Default)]
struct FleetParser {
    config: FleetConfig,
    classes: HashMap<String, usize>, // index into `config.classes`
    names: HashSet<String>,          // of the sections read so far, in all documents
}

impl FleetParser {
    fn section(
        &mut self,
        file: &str,
        section: &IniSection,
        pass: Pass,
    ) -> Result<(), ConfError> {
        let reader = SectionReader::new(file, section, None);
        let (kind, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
        if (kind == "class") != (pass == Pass::Classes) {
            return Ok(());
        }
        if !self.names.insert(section.name.clone()) {
            return Err(reader.fault(
                ResultCode::DuplicateKey,
                "",
                "is defined in more than one part",
            ));
        }
        let name = name.trim();
        if name.is_empty() {
            return Err(reader.fault(ResultCode::UnknownSection, "", "has no name"));
        }
        match kind {
            "class" => self.class(&reader, name)?,
            "group" => self.group(&reader, name)?,
            "account" => self.account(&reader, name)?,
            "rule" => self.rule(&reader, name)?,
            "zone" => {
                let labels = labels(&reader)?;
                if reader.optional("cordon").is_some() && reader.flag("cordon")? {
                    self.config.cordoned.insert(name.to_owned());
                }
                self.config.zones.insert(name.to_owned(), labels);
            }
            "host" => {
                let labels = labels(&reader)?;
                self.config.hosts.insert(name.to_owned(), labels);
            }
            _ => {
                return Err(reader.fault(
                    ResultCode::UnknownSection,
                    "",
                    "is none of class, group, account, rule, zone, host",
                ));
            }
        }
        reader.finish()
    }

    fn class(
        &mut self,
        reader: &SectionReader,
        name: &str,
    ) -> Result<(), ConfError> {
        self.classes
            .insert(name.to_owned(), self.config.classes.len());
        self.config.classes.push(Class {
            name: name.to_owned(),
            patience: reader.duration("patience", PATIENCE_RANGE)?,
        });
        Ok(())
    }

    fn group(
        &mut self,
        reader: &SectionReader,
        name: &str,
    ) -> Result<(), ConfError> {
        let kind = match reader.text("kind")? {
            "model" => GroupKind::Model {
                models: reader
                    .list("models")
                    .into_iter()
                    .map(str::to_owned)
                    .collect(),
                prompt_weight: reader.number("prompt_weight", WEIGHT_RANGE)?,
                generated_weight: reader.number("generated_weight", WEIGHT_RANGE)?,
            },
            "plain" => GroupKind::Plain {
                prefix: prefix(reader)?,
                second_weight: reader.number("second_weight", WEIGHT_RANGE)?,
            },
            other => {
                return Err(reader.fault(
                    ResultCode::BadValue,
                    "kind",
                    &format!("\"{other}\" is not model or plain"),
                ));
            }
        };
        if matches!(&kind, GroupKind::Model { models, .. } if models.is_empty()) {
            return Err(reader.fault(ResultCode::MissingKey, "models", "is required"));
        }
        self.config.groups.push(Group {
            name: name.to_owned(),
            kind,
            hosts: selector(reader, "hosts")?,
            repeatable: reader
                .list("repeatable")
                .into_iter()
                .map(str::to_owned)
                .collect(),
        });
        Ok(())
    }

    fn account(
        &mut self,
        reader: &SectionReader,
        name: &str,
    ) -> Result<(), ConfError> {
        let id = AccountId::of_name(name);
        let index = self.config.accounts.len();
        let mut keys = Vec::new();
        for text in reader.list("key_sha256") {
            let key: KeyDigest = text.parse().map_err(|()| {
                reader.fault(
                    ResultCode::BadValue,
                    "key_sha256",
                    "is not 64 hexadecimal digits",
                )
            })?;
            if self.config.by_key.insert(key, index).is_some() {
                return Err(reader.fault(
                    ResultCode::AccountIdCollision,
                    "key_sha256",
                    "another account has this key",
                ));
            }
            keys.push(key);
        }
        if self.config.by_id.insert(id, index).is_some() {
            return Err(reader.fault(
                ResultCode::AccountIdCollision,
                "",
                "another account's name has the same identifier; rename one",
            ));
        }
        self.config.accounts.push(Account {
            id,
            name: name.to_owned(),
            keys,
            share: reader.number("share", SHARE_RANGE)?,
            class: self.class_index(reader, reader.text("class")?)?,
            labels: labels(reader)?,
        });
        Ok(())
    }

    fn rule(
        &mut self,
        reader: &SectionReader,
        name: &str,
    ) -> Result<(), ConfError> {
        let share = match reader.optional("share") {
            Some(_) => Some(reader.number("share", SHARE_RANGE)?),
            None => None,
        };
        let class = match reader.optional("class") {
            Some(class) => Some(self.class_index(reader, class)?),
            None => None,
        };
        self.config.rules.push(Rule {
            name: name.to_owned(),
            requests: selector(reader, "requests")?,
            hosts: selector(reader, "hosts")?,
            share,
            class,
        });
        Ok(())
    }

    fn class_index(
        &self,
        reader: &SectionReader,
        name: &str,
    ) -> Result<usize, ConfError> {
        self.classes.get(name).copied().ok_or_else(|| {
            reader.fault(
                ResultCode::UnknownReference,
                "class",
                &format!("no class \"{name}\""),
            )
        })
    }

    fn finish(self) -> FleetConfig {
        let mut config = self.config;
        config.shares = config
            .accounts
            .iter()
            .map(|account| share_by_rules(account, &config.rules))
            .collect();
        config
    }
}

fn share_by_rules(
    account: &Account,
    rules: &[Rule],
) -> f64 {
    let mut labels = account.labels.clone();
    labels.set("account", &account.name);
    rules
        .iter()
        .rev()
        .filter(|rule| rule.share.is_some() && rule.requests.matches(&labels))
        .find_map(|rule| rule.share)
        .unwrap_or(account.share)
}

fn labels(reader: &SectionReader) -> Result<Labels, ConfError> {
    let text = reader.optional("labels").unwrap_or("");
    Labels::parse(text).ok_or_else(|| {
        reader.fault(
            ResultCode::BadValue,
            "labels",
            "is not a list of name=value",
        )
    })
}

fn selector(
    reader: &SectionReader,
    key: &str,
) -> Result<Selector, ConfError> {
    let text = reader.optional(key).unwrap_or("");
    text.parse().map_err(|term: String| {
        reader.fault(
            ResultCode::BadSelector,
            key,
            &format!("cannot read \"{term}\""),
        )
    })
}

fn prefix(reader: &SectionReader) -> Result<String, ConfError> {
    let prefix = reader.text("prefix")?;
    if prefix.starts_with('/') && !prefix.starts_with("/v1/") {
        return Ok(prefix.to_owned());
    }
    Err(reader.fault(
        ResultCode::BadValue,
        "prefix",
        "must start with / and lie outside /v1/",
    ))
}
