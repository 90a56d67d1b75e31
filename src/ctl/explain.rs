use {
    super::{
        CtlError,
        check::read_config,
        fleet_reader::read_hosts,
        output::{json, table},
    },
    crate::{
        codes::ResultCode,
        directory::{FLEET_KEY, PlatformClient},
        fleet::{
            Account, FleetConfig, Group, HostRole, Labels, Placement, RequestLabels,
            VersionedConfig,
        },
    },
    getopts::Matches,
    serde::Serialize,
    std::collections::BTreeMap,
};

#[derive(Serialize)]
struct Explanation {
    account: String,
    group: String,
    class: String,
    patience_ms: u64,
    share: f64,
    labels: BTreeMap<String, String>, // of the request, by which rules select it
    rules: Vec<String>,               // names of those that select the request
    upstreams: Vec<String>,           // hosts that may serve it
    excluded: Vec<(String, String)>,  // other hosts, with the reason
}

/// Shows on which hosts a request may run, by which rules, and its account's share.
pub fn explain(
    matches: &Matches,
    as_json: bool,
) -> Result<String, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CtlError::new(ResultCode::StartFailed, error))?;
    let explanation = runtime.block_on(build(matches))?;
    if as_json {
        return Ok(json(&explanation));
    }
    Ok(text(&explanation))
}

async fn build(matches: &Matches) -> Result<Explanation, CtlError> {
    let versioned = config(matches).await?;
    let config = &versioned.config;
    let hosts = read_hosts(matches).await?;
    let name = matches
        .opt_str("account")
        .ok_or_else(|| CtlError::usage("--account is required"))?;
    let account = config
        .accounts
        .iter()
        .find(|account| account.name == name)
        .ok_or_else(|| CtlError::new(ResultCode::NothingFound, format!("no account {name}")))?;
    let model = matches.opt_str("model");
    let group = group(matches, config, model.as_deref())?;
    let sent = Labels::parse(&matches.opt_str("labels").unwrap_or_default())
        .ok_or_else(|| CtlError::usage("--labels takes name=value,..."))?;
    let labels = |class| RequestLabels::build(account, class, group, model.as_deref(), &sent);
    let class = config.class_of(account, &labels(&config.classes[account.class]));
    let labels = labels(class);
    let placement = config.place(group, &labels, hosts.live(HostRole::Sidecar));
    Ok(explanation(config, account, group, &labels, placement))
}

fn explanation(
    config: &FleetConfig,
    account: &Account,
    group: &Group,
    labels: &Labels,
    placement: Placement,
) -> Explanation {
    let class = config.class_of(account, labels);
    Explanation {
        account: account.name.clone(),
        group: group.name.clone(),
        class: class.name.clone(),
        patience_ms: class.patience.as_millis() as u64,
        share: config.share(account.id).unwrap_or(account.share),
        labels: labels
            .iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        rules: placement.rules,
        upstreams: placement.hosts,
        excluded: placement
            .excluded
            .into_iter()
            .map(|exclusion| (exclusion.host, exclusion.by.to_string()))
            .collect(),
    }
}

fn group<'c>(
    matches: &Matches,
    config: &'c FleetConfig,
    model: Option<&str>,
) -> Result<&'c Group, CtlError> {
    let found = match (model, matches.opt_str("path")) {
        (Some(model), None) => config.group_of_model(model),
        (None, Some(path)) => config.group_of_path(&path),
        _ => return Err(CtlError::usage("either --model or --path is required")),
    };
    found.ok_or_else(|| CtlError::new(ResultCode::UnknownModel, "no group serves this"))
}

async fn config(matches: &Matches) -> Result<VersionedConfig, CtlError> {
    if let Some(file) = matches.opt_str("config") {
        return read_config(&[file]);
    }
    let address = matches
        .opt_str("platform")
        .ok_or_else(|| CtlError::usage("--platform or --config is required"))?
        .parse()
        .map_err(|_| CtlError::usage("--platform takes IP:PORT"))?;
    let client = PlatformClient::new(address)?;
    let watched = client
        .read(FLEET_KEY)
        .await?
        .ok_or_else(|| CtlError::new(ResultCode::NothingFound, "nothing is published"))?;
    let mut parts = BTreeMap::new();
    for digest in VersionedConfig::needed_parts(&watched.text)? {
        if let Some(text) = client.part(&digest).await? {
            parts.insert(digest, text.into());
        }
    }
    Ok(VersionedConfig::build(
        watched.revision,
        watched.text.into(),
        parts,
    )?)
}

fn text(explanation: &Explanation) -> String {
    let labels: Vec<String> = explanation
        .labels
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let mut text = format!(
        "account {} has share {}\nclass {} with {} ms of patience\ngroup {}\nlabels {}\nrules {}\n",
        explanation.account,
        explanation.share,
        explanation.class,
        explanation.patience_ms,
        explanation.group,
        labels.join(", "),
        or_none(&explanation.rules),
    );
    let serving = explanation
        .upstreams
        .iter()
        .map(|host| vec![host.clone(), "yes".to_owned(), String::new()]);
    let excluded = explanation
        .excluded
        .iter()
        .map(|(host, rule)| vec![host.clone(), "no".to_owned(), rule.clone()]);
    text.push_str(&table(
        &["upstream", "may serve", "excluded by"],
        serving.chain(excluded),
    ));
    text
}

fn or_none(words: &[String]) -> String {
    if words.is_empty() {
        "none".to_owned()
    } else {
        words.join(", ")
    }
}
