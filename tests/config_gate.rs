//! The revision of the configuration in force never decreases.

use {
    archmast::{
        fleet::Revision,
        policy::{ConfigGate, Verdict},
    },
    proptest::prelude::*,
};

proptest! {
    #[test]
    fn the_revision_in_force_never_falls(
        offers in prop::collection::vec((0u64..20, any::<bool>()), 1..60),
    ) {
        let mut gate = ConfigGate::default();
        let mut highest = None;
        for (number, valid) in offers {
            let revision = Revision(number);
            let digest = format!("{number:064}");
            if gate.judge(revision, &digest) == Verdict::Fetch {
                if valid {
                    gate.accept(revision, &digest);
                } else {
                    gate.reject(revision, &digest);
                }
            }
            prop_assert!(gate.revision() >= highest);
            highest = gate.revision();
        }
    }
}

#[test]
fn the_same_number_with_other_bytes_is_a_conflict() {
    let mut gate = ConfigGate::default();
    assert!(gate.accept(Revision(3), "aaaaaaaabbbb"));
    assert_eq!(gate.judge(Revision(3), "aaaaaaaa"), Verdict::InForce);
    assert_eq!(gate.judge(Revision(3), "cccccccc"), Verdict::Conflict);
    assert_eq!(gate.judge(Revision(2), "aaaaaaaa"), Verdict::Older);
    gate.reject(Revision(4), "dddd");
    assert_eq!(gate.judge(Revision(4), "dddd"), Verdict::Rejected);
    assert_eq!(gate.judge(Revision(5), "eeee"), Verdict::Fetch);
    assert!(!gate.accept(Revision(3), "aaaaaaaabbbb"));
}
