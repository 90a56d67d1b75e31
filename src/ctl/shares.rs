use {
    super::{
        CtlError,
        fleet_reader::FleetReader,
        output::{json, table},
    },
    crate::{fleet::HostRole, ops::ProcessStatus},
    serde::Serialize,
    std::collections::BTreeMap,
};

#[derive(Debug, Default, Serialize)]
struct AccountShares {
    account: String,
    share: f64,
    service: f64,   // service units that the sidecars gave since they started
    per_share: f64, // service units
    waiting: u64,   // requests at routers
}

/// The service of each account in the whole fleet, divided by its share.
pub async fn shares(
    reader: &FleetReader,
    as_json: bool,
) -> Result<String, CtlError> {
    let accounts = sum(&reader.statuses().await);
    if as_json {
        return Ok(json(&accounts));
    }
    let head = [
        "account",
        "share",
        "service",
        "service per share",
        "waiting",
    ];
    let rows = accounts.iter().map(|account| {
        vec![
            account.account.clone(),
            account.share.to_string(),
            format!("{:.0}", account.service),
            format!("{:.0}", account.per_share),
            account.waiting.to_string(),
        ]
    });
    Ok(table(&head, rows))
}

fn sum(statuses: &[ProcessStatus]) -> Vec<AccountShares> {
    let mut sums: BTreeMap<&str, AccountShares> = BTreeMap::new();
    for status in statuses {
        for account in &status.accounts {
            let sum = sums.entry(&account.account).or_default();
            sum.account.clone_from(&account.account);
            sum.share = account.share;
            sum.service += account.own;
            if status.role == HostRole::Router {
                sum.waiting += account.waiting;
            }
        }
    }
    let mut accounts: Vec<AccountShares> = sums.into_values().collect();
    for account in &mut accounts {
        account.per_share = account.service / account.share;
    }
    accounts.sort_by(|a, b| b.per_share.total_cmp(&a.per_share));
    accounts
}
