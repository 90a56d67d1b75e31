//! Zones that get no new work: what is known of them by whatever way it was told, and in
//! the product's own form.

use {
    archmast::{
        catalog::{Catalog, CatalogChange, CatalogItem, Cordon, CordonChange},
        conf::IniDocument,
        fleet::{HostEntry, HostRole, HostState, Labels, parse_document},
        platform::{parse_config, parse_replica},
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
};

fn catalog() -> Catalog {
    Catalog::new(parse_config, parse_replica)
}

const ZONES: [&str; 3] = ["a", "b", "c"];

/// What the store held after each change: the n-th change is of revision n + 1, and names
/// a zone that is cordoned or given back.
#[derive(Debug, Clone)]
struct Store(Vec<(usize, bool)>);

impl Store {
    fn cordoned_at(
        &self,
        at: usize,
    ) -> BTreeSet<String> {
        let mut zones = BTreeSet::new();
        for (zone, is_set) in &self.0[..at] {
            match is_set {
                true => zones.insert(ZONES[*zone].to_owned()),
                false => zones.remove(ZONES[*zone]),
            };
        }
        zones
    }

    fn listing(
        &self,
        at: usize,
    ) -> CatalogChange {
        let last = |zone: &str| {
            let mut changes = self.0[..at].iter();
            changes.rposition(|(of, is_set)| ZONES[*of] == zone && *is_set)
        };
        let zones = self.cordoned_at(at);
        let items = zones.iter().map(|zone| {
            let revision = last(zone).map_or(0, |index| index as u64 + 1);
            CatalogItem::Cordon(CordonChange::Set(Cordon {
                zone: zone.clone(),
                revision,
            }))
        });
        CatalogChange {
            items: items.collect(),
            revision: at as u64,
        }
    }

    fn changes(
        &self,
        after: usize,
        at: usize,
    ) -> CatalogChange {
        let items = self.0[after..at].iter().enumerate().map(|(index, change)| {
            let (zone, is_set) = *change;
            let cordon = Cordon {
                zone: ZONES[zone].to_owned(),
                revision: (after + index) as u64 + 1,
            };
            CatalogItem::Cordon(match is_set {
                true => CordonChange::Set(cordon),
                false => CordonChange::Lifted(cordon),
            })
        });
        CatalogChange {
            items: items.collect(),
            revision: at as u64,
        }
    }
}

/// One step: a reader reads whole or goes on, to a revision; a router is told by another.
#[derive(Debug, Clone, Copy)]
enum Step {
    List(usize, usize),
    Watch(usize, usize),
    Tell(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, 0..=12usize).prop_map(|(router, at)| Step::List(router, at)),
        (0..3usize, 0..=12usize).prop_map(|(router, at)| Step::Watch(router, at)),
        (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Tell(from, to)),
    ]
}

proptest! {
    /// Whoever has come to a revision, by whatever way, knows the zones that were
    /// cordoned then; late readings and late answers bring nothing back.
    #[test]
    fn what_is_known_is_what_the_store_held(
        store in prop::collection::vec((0..3usize, any::<bool>()), 12).prop_map(Store),
        steps in prop::collection::vec(step(), 1..30),
    ) {
        let routers = [catalog(), catalog(), catalog()];
        for step in steps {
            match step {
                Step::List(router, at) => routers[router].offer_listing(store.listing(at), "store"),
                Step::Watch(router, at) => {
                    let after = routers[router].cordons_revision() as usize;
                    if after > 0 && at >= after {
                        routers[router].offer_change(store.changes(after, at), "store");
                    }
                }
                Step::Tell(from, to) => {
                    let news = routers[from].cordon_snapshot();
                    routers[to].offer_cordons(news, "peer");
                }
            }
            for router in &routers {
                let at = router.cordons_revision() as usize;
                prop_assert_eq!(router.cordoned_zones(), store.cordoned_at(at));
            }
        }
    }
}

#[test]
fn an_answer_from_before_brings_no_cordon_back() {
    let store = Store(vec![(0, true), (0, false), (1, true)]);
    let catalog = catalog();
    catalog.offer_listing(store.listing(3), "store");
    catalog.offer_change(store.changes(0, 1), "store");
    assert_eq!(catalog.cordoned_zones(), store.cordoned_at(3));
}

#[test]
fn routers_that_know_no_cordons_leave_them_behind_the_list() {
    let store = Store(vec![(0, true), (1, true)]);
    let catalog = catalog();
    assert!(!catalog.cordons_up_to_date());
    catalog.offer_listing(store.listing(1), "store");
    assert!(catalog.cordons_up_to_date());
    let news = {
        let other = self::catalog();
        other.offer_listing(store.listing(2), "store");
        other.upstream_update_after(1)
    };
    catalog.offer_upstreams(news, "peer");
    assert!(!catalog.cordons_up_to_date());
}

const FLEET: &str = "\
[class chat]
patience = 5 s
[group drafting]
kind = model
models = drafter
prompt_weight = 0.2
generated_weight = 1
[zone z1]
cordon = yes
[zone z2]
cordon = no
";

fn host(
    name: &str,
    zone: &str,
) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role: HostRole::Sidecar,
        zone: zone.to_owned(),
        link: "127.0.0.1:1".parse().expect("address"),
        operator: "127.0.0.1:2".parse().expect("address"),
        state: HostState::Live,
    }
}

#[test]
fn in_the_own_form_a_configuration_cordons_zones_for_routers_and_sidecars() {
    let document = IniDocument::parse("fleet.ini", FLEET).expect("INI");
    let config = parse_document(&document).expect("a configuration");
    let group = config.group("drafting").expect("a group");
    let hosts = [host("m1", "z1"), host("m2", "z2"), host("m3", "z3")];
    let placement = config.place(group, &Labels::default(), hosts.iter());
    assert_eq!(placement.hosts, ["m2", "m3"]);
    let excluded: Vec<String> = placement.excluded.iter().map(|e| e.to_string()).collect();
    assert_eq!(excluded, ["m1 (cordon of its zone)"]);
    let admits = |host, zone| config.admits(group, &Labels::default(), host, zone);
    assert!(!admits("m1", "z1") && admits("m2", "z2"));
}
