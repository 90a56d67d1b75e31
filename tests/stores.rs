//! The stores of a process for its configuration and host list: they notify subscribers of values
//! held before these subscribed, and an older or invalid configuration changes nothing.

use {
    archmast::{
        fleet::{HostList, Revision},
        node::{ConfigStore, HostStore},
        ops::AuditTrail,
    },
    std::{collections::BTreeMap, sync::Arc},
};

const CONFIG: &str = "[class c]\npatience = 1 s\n";

#[tokio::test]
async fn a_late_subscriber_is_notified_of_the_value_held() {
    let hosts = HostStore::default();
    assert!(hosts.offer(Revision(1), HostList::default()));
    assert!(hosts.subscribe().has_changed().expect("the store lives"));
    let config = ConfigStore::new(Arc::new(AuditTrail::new("m1", 10)));
    let accepted = config.offer(Revision(1), CONFIG.into(), BTreeMap::new(), "test");
    assert!(accepted.await);
    assert!(config.subscribe().has_changed().expect("the store lives"));
}

#[tokio::test]
async fn an_older_or_invalid_configuration_changes_nothing_and_is_audited() {
    let audit = Arc::new(AuditTrail::new("m1", 10));
    let config = ConfigStore::new(audit.clone());
    let offer = |revision, text: &str| {
        config.offer(Revision(revision), text.into(), BTreeMap::new(), "test")
    };
    assert!(offer(5, CONFIG).await);
    assert!(!offer(4, CONFIG).await);
    assert!(!offer(6, "[class c]\npatience = 1\n").await);
    assert_eq!(config.current().map(|c| c.revision), Some(Revision(5)));
    let audited: Vec<(String, Option<u8>)> = audit
        .entries()
        .into_iter()
        .map(|e| (e.what, e.code))
        .collect();
    assert_eq!(
        audited,
        [
            ("config_accepted".to_owned(), None),
            ("config_older_ignored".to_owned(), Some(26)),
            ("config_refused".to_owned(), Some(16)),
        ]
    );
}
