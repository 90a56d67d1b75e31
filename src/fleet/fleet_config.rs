use {
    super::{
        Account, AccountId, Class, ExcludedBy, Exclusion, Group, HostEntry, KeyDigest, Labels,
        Placement, Rule,
    },
    std::collections::{HashMap, HashSet},
};

/// A validated configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    pub accounts: Vec<Account>,
    pub classes: Vec<Class>,
    pub groups: Vec<Group>,
    pub rules: Vec<Rule>,
    pub zones: HashMap<String, Labels>, // labels, by availability zone
    pub cordoned: HashSet<String>,      // availability zones that get no new requests
    pub hosts: HashMap<String, Labels>, // labels, by host
    pub by_key: HashMap<KeyDigest, usize>, // index into `accounts`
    pub by_id: HashMap<AccountId, usize>, // index into `accounts`
    pub shares: Vec<f64>,               // after the rules, by index into `accounts`
}

impl FleetConfig {
    /// The account of a caller's API key.
    pub fn account_of_key(
        &self,
        key: &str,
    ) -> Option<&Account> {
        let index = self.by_key.get(&KeyDigest::of_key(key))?;
        Some(&self.accounts[*index])
    }

    /// The account with this identifier.
    pub fn account(
        &self,
        id: AccountId,
    ) -> Option<&Account> {
        self.by_id.get(&id).map(|index| &self.accounts[*index])
    }

    /// The share of an account, after the rules.
    pub fn share(
        &self,
        id: AccountId,
    ) -> Option<f64> {
        self.by_id.get(&id).map(|index| self.shares[*index])
    }

    /// The group that serves a model.
    pub fn group_of_model(
        &self,
        model: &str,
    ) -> Option<&Group> {
        self.groups.iter().find(|group| group.serves_model(model))
    }

    /// The plain group whose path prefix matches a path; of several, the one with the longest.
    pub fn group_of_path(
        &self,
        path: &str,
    ) -> Option<&Group> {
        self.groups
            .iter()
            .filter_map(|group| group.prefix_match(path).map(|length| (length, group)))
            .max_by_key(|(length, _)| *length)
            .map(|(_, group)| group)
    }

    /// The group with this name.
    pub fn group(
        &self,
        name: &str,
    ) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }

    /// The class with this name.
    pub fn class(
        &self,
        name: &str,
    ) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The class of an account's request with these labels: that of the last rule that selects
    /// the request and names a class, else the account's.
    pub fn class_of(
        &self,
        account: &Account,
        labels: &Labels,
    ) -> &Class {
        let by_rule = self
            .rules
            .iter()
            .rev()
            .filter(|rule| rule.requests.matches(labels))
            .find_map(|rule| rule.class);
        &self.classes[by_rule.unwrap_or(account.class)]
    }

    /// The labels of a host: its zone's, overridden by its own, and these by `host` and `zone`.
    pub fn host_labels(
        &self,
        host: &str,
        zone: &str,
    ) -> Labels {
        let mut labels = self.zones.get(zone).cloned().unwrap_or_default();
        if let Some(own) = self.hosts.get(host) {
            labels.extend(own);
        }
        labels.set("host", host);
        labels.set("zone", zone);
        labels
    }

    /// Finds which of these hosts may serve a request, and what excludes the others of the group.
    pub fn place<'h>(
        &self,
        group: &Group,
        request: &Labels,
        hosts: impl Iterator<Item = &'h HostEntry>,
    ) -> Placement {
        let rules: Vec<&Rule> = self
            .rules
            .iter()
            .filter(|rule| rule.requests.matches(request))
            .collect();
        let mut placement = Placement {
            rules: rules.iter().map(|rule| rule.name.clone()).collect(),
            ..Placement::default()
        };
        for host in hosts {
            let labels = self.host_labels(&host.name, &host.zone);
            if !group.hosts.matches(&labels) {
                continue;
            }
            let excluding_rule = rules.iter().find(|rule| !rule.hosts.matches(&labels));
            let excluded_by = match excluding_rule {
                Some(rule) => Some(ExcludedBy::Rule(rule.name.clone())),
                None => self
                    .cordoned
                    .contains(&host.zone)
                    .then_some(ExcludedBy::Cordon),
            };
            match excluded_by {
                None => placement.hosts.push(host.name.clone()),
                Some(by) => placement.excluded.push(Exclusion {
                    host: host.name.clone(),
                    by,
                }),
            }
        }
        placement.hosts.sort();
        placement
    }

    /// Whether a host may serve a request. A sidecar checks this for its own host.
    pub fn admits(
        &self,
        group: &Group,
        request: &Labels,
        host: &str,
        zone: &str,
    ) -> bool {
        let labels = self.host_labels(host, zone);
        !self.cordoned.contains(zone)
            && group.hosts.matches(&labels)
            && self
                .rules
                .iter()
                .filter(|rule| rule.requests.matches(request))
                .all(|rule| rule.hosts.matches(&labels))
    }
}
