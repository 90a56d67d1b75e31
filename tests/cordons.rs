//! Cordoned zones, which get no new work: what routers know of them by listings, changes and peer
//! updates in any order, and cordons of the configuration of routers with sidecars.

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

/// The changes of a store: the n-th is of revision n + 1, and cordons a zone or lifts its cordon.
#[derive(Debug, Clone)]
struct Store(Vec<(usize, bool)>);

impl Store {
    fn cordoned_at(
        &self,
        revision: usize,
    ) -> BTreeSet<String> {
        let mut zones = BTreeSet::new();
        for (zone, is_set) in &self.0[..revision] {
            match is_set {
                true => zones.insert(ZONES[*zone].to_owned()),
                false => zones.remove(ZONES[*zone]),
            };
        }
        zones
    }

    fn listing(
        &self,
        revision: usize,
    ) -> CatalogChange {
        let last = |zone: &str| {
            let mut changes = self.0[..revision].iter();
            changes.rposition(|(changed, is_set)| ZONES[*changed] == zone && *is_set)
        };
        let zones = self.cordoned_at(revision);
        let items = zones.iter().map(|zone| {
            let revision = last(zone).map_or(0, |index| index as u64 + 1);
            CatalogItem::Cordon(CordonChange::Set(Cordon {
                zone: zone.clone(),
                revision,
            }))
        });
        CatalogChange {
            items: items.collect(),
            revision: revision as u64,
            era: None,
        }
    }

    fn changes(
        &self,
        after: usize,
        revision: usize,
    ) -> CatalogChange {
        let items = self.0[after..revision]
            .iter()
            .enumerate()
            .map(|(index, change)| {
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
            revision: revision as u64,
            era: None,
        }
    }
}

/// One step: a router lists the store or reads its changes, up to a revision, or receives an update
/// from another router.
#[derive(Debug, Clone, Copy)]
enum Step {
    List(usize, usize),
    Watch(usize, usize),
    Update(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, 0..=12usize).prop_map(|(router, revision)| Step::List(router, revision)),
        (0..3usize, 0..=12usize).prop_map(|(router, revision)| Step::Watch(router, revision)),
        (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Update(from, to)),
    ]
}

proptest! {
    /// Whichever way a router reaches a revision, it knows the zones that were cordoned then; late
    /// answers bring nothing back.
    #[test]
    fn each_router_knows_the_cordons_of_its_revision(
        store in prop::collection::vec((0..3usize, any::<bool>()), 12).prop_map(Store),
        steps in prop::collection::vec(step(), 1..30),
    ) {
        let routers = [catalog(), catalog(), catalog()];
        for step in steps {
            match step {
                Step::List(router, revision) => {
                    routers[router].offer_listing(store.listing(revision), "store");
                }
                Step::Watch(router, revision) => {
                    let after = routers[router].cordons_revision() as usize;
                    if after > 0 && revision >= after {
                        routers[router].offer_change(store.changes(after, revision), "store");
                    }
                }
                Step::Update(from, to) => {
                    let update = routers[from].cordon_snapshot();
                    routers[to].offer_cordons(update, "peer");
                }
            }
            for router in &routers {
                let revision = router.cordons_revision() as usize;
                prop_assert_eq!(router.cordoned_zones(), store.cordoned_at(revision));
            }
        }
    }
}

#[test]
fn an_older_answer_brings_no_cordon_back() {
    let store = Store(vec![(0, true), (0, false), (1, true)]);
    let catalog = catalog();
    catalog.offer_listing(store.listing(3), "store");
    catalog.offer_change(store.changes(0, 1), "store");
    assert_eq!(catalog.cordoned_zones(), store.cordoned_at(3));
}

#[test]
fn an_update_without_cordons_leaves_them_out_of_date() {
    let store = Store(vec![(0, true), (1, true)]);
    let catalog = catalog();
    assert!(!catalog.cordons_up_to_date());
    catalog.offer_listing(store.listing(1), "store");
    assert!(catalog.cordons_up_to_date());
    let update = {
        let other = self::catalog();
        other.offer_listing(store.listing(2), "store");
        other.upstream_update_after(1)
    };
    catalog.offer_upstreams(update, "peer");
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
fn a_configuration_cordons_zones_for_routers_and_sidecars() {
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
