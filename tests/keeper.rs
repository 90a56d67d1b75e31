//! Totals survive any loss, repetition and reordering of reports.

use {
    archmast::{
        fleet::AccountId,
        policy::{Incarnation, ReportEntry, TotalsAggregator},
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
};

const ACCOUNT: AccountId = AccountId(7);
const GRACE: Duration = Duration::from_secs(3);
const NO_FLOOR: Option<f64> = None;

/// A sidecar as far as a keeper sees it.
#[derive(Debug, Clone)]
struct Source {
    host: Arc<str>,
    incarnation: Incarnation,
    sequence: u64,
    own: f64,
    heard: f64,
    included: f64,
}

impl Source {
    fn new(number: usize) -> Self {
        Self {
            host: format!("m{number}").into(),
            incarnation: Incarnation(1),
            sequence: 0,
            own: 0.0,
            heard: 0.0,
            included: 0.0,
        }
    }

    fn report(&mut self) -> (Arc<str>, Incarnation, u64, ReportEntry) {
        self.sequence += 1;
        let entry = ReportEntry {
            account: ACCOUNT,
            own: self.own,
            known_total: self.heard,
            included: self.included,
            waiting: true,
            was_idle: false,
        };
        (self.host.clone(), self.incarnation, self.sequence, entry)
    }

    fn hear(
        &mut self,
        keeper: &mut TotalsAggregator,
    ) {
        let (host, incarnation, sequence, entry) = self.report();
        let reply = keeper.apply_report(GRACE, &host, incarnation, sequence, NO_FLOOR, 1.0, &entry);
        self.heard = reply.total;
        self.included = reply.included;
    }
}

fn keeper() -> TotalsAggregator {
    TotalsAggregator::new(GRACE, 1e9)
}

fn total(keeper: &TotalsAggregator) -> f64 {
    keeper.totals().map(|(_, total)| total).sum()
}

proptest! {
    #[test]
    fn any_order_repetition_and_loss_of_reports_gives_the_same_total(
        service in prop::collection::vec((0usize..4, 1u32..1000), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
    ) {
        let mut sources: Vec<Source> = (0..4).map(Source::new).collect();
        let mut sent = Vec::new();
        let mut served = 0.0;
        for (source, units) in service {
            sources[source].own += f64::from(units);
            served += f64::from(units);
            sent.push(sources[source].report());
        }
        let mut keeper = keeper();
        for index in &order {
            let (host, incarnation, sequence, entry) = index.get(&sent);
            keeper.apply_report(GRACE, host, *incarnation, *sequence, NO_FLOOR, 1.0, entry);
        }
        for source in &mut sources {
            source.hear(&mut keeper);
        }
        prop_assert!((total(&keeper) - served).abs() < 1e-6);
    }

    #[test]
    fn a_sidecar_that_restarts_with_no_memory_takes_nothing_away(
        steps in prop::collection::vec((0usize..3, 1u32..1000, any::<bool>()), 1..40),
    ) {
        let mut sources: Vec<Source> = (0..3).map(Source::new).collect();
        let mut keeper = keeper();
        let mut served = 0.0;
        for (number, units, restarts) in steps {
            let source = &mut sources[number];
            source.own += f64::from(units);
            served += f64::from(units);
            source.hear(&mut keeper);
            if restarts {
                *source = Source {
                    incarnation: Incarnation(source.incarnation.0 + 1),
                    ..Source::new(number)
                };
            }
        }
        prop_assert!((total(&keeper) - served).abs() < 1e-6);
    }

    #[test]
    fn a_new_keeper_is_off_by_at_most_what_was_served_since_the_last_reports(
        rounds in prop::collection::vec((1u32..1000, 1u32..1000, 1u32..1000), 1..20),
        unreported in prop::collection::vec(0u32..1000, 3),
    ) {
        let mut sources: Vec<Source> = (0..3).map(Source::new).collect();
        let mut old = keeper();
        let mut served = 0.0;
        let mut last_round = 0.0;
        for round in rounds {
            last_round = 0.0;
            for (source, units) in sources.iter_mut().zip([round.0, round.1, round.2]) {
                source.own += f64::from(units);
                last_round += f64::from(units);
            }
            served += last_round;
            for source in &mut sources {
                source.hear(&mut old);
            }
        }
        for (source, units) in sources.iter_mut().zip(&unreported) {
            source.own += f64::from(*units);
            served += f64::from(*units);
        }
        let mut new = keeper();
        for source in &mut sources {
            source.hear(&mut new);
        }
        let off = total(&new) - served;
        prop_assert!(off >= -1e-6, "service forgotten: {off}");
        prop_assert!(off <= last_round + 1e-6, "off by {off}, a round is {last_round}");
    }
}

#[test]
fn an_account_back_from_idle_brings_no_credit_and_bounded_debt() {
    let mut keeper = TotalsAggregator::new(GRACE, 100.0);
    let mut behind = Source::new(1);
    behind.own = 5.0;
    behind.hear(&mut keeper);
    let later = GRACE * 3;
    let (host, incarnation, sequence, entry) = behind.report();
    let reply = keeper.apply_report(
        later,
        &host,
        incarnation,
        sequence,
        Some(1000.0),
        2.0,
        &entry,
    );
    assert_eq!(reply.total, 2000.0, "level with the floor, by its share");
    let mut ahead = Source::new(2);
    ahead.own = 1e6;
    let (host, incarnation, sequence, entry) = ahead.report();
    keeper.apply_report(later, &host, incarnation, sequence, None, 1.0, &entry);
    let much_later = later + GRACE * 3;
    let (host, incarnation, sequence, entry) = ahead.report();
    let reply = keeper.apply_report(
        much_later,
        &host,
        incarnation,
        sequence,
        Some(1000.0),
        2.0,
        &entry,
    );
    assert_eq!(reply.total, 2200.0, "the floor and the ceiling above it");
}
