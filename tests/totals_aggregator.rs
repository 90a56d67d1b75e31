//! The total service of an account stays right when reports are lost, repeated or reordered.

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

/// The state of a sidecar that the aggregator sees.
#[derive(Debug, Clone)]
struct Source {
    host: Arc<str>,
    incarnation: Incarnation,
    sequence: u64,
    own: f64,
    known_total: f64,
    included: f64,
}

impl Source {
    fn new(number: usize) -> Self {
        Self {
            host: format!("m{number}").into(),
            incarnation: Incarnation(1),
            sequence: 0,
            own: 0.0,
            known_total: 0.0,
            included: 0.0,
        }
    }

    fn report(&mut self) -> (Arc<str>, Incarnation, u64, ReportEntry) {
        self.sequence += 1;
        let entry = ReportEntry {
            account: ACCOUNT,
            own: self.own,
            known_total: self.known_total,
            included: self.included,
            waiting: true,
            was_idle: false,
        };
        (self.host.clone(), self.incarnation, self.sequence, entry)
    }

    fn exchange_report(
        &mut self,
        aggregator: &mut TotalsAggregator,
    ) {
        let (host, incarnation, sequence, entry) = self.report();
        let reply =
            aggregator.apply_report(GRACE, &host, incarnation, sequence, NO_FLOOR, 1.0, &entry);
        self.known_total = reply.total;
        self.included = reply.included;
    }
}

fn aggregator() -> TotalsAggregator {
    TotalsAggregator::new(GRACE, 1e9)
}

fn total(aggregator: &TotalsAggregator) -> f64 {
    aggregator.totals().map(|(_, total)| total).sum()
}

proptest! {
    #[test]
    fn reports_lost_repeated_or_reordered_give_the_same_total(
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
        let mut aggregator = aggregator();
        for index in &order {
            let (host, incarnation, sequence, entry) = index.get(&sent);
            aggregator.apply_report(GRACE, host, *incarnation, *sequence, NO_FLOOR, 1.0, entry);
        }
        for source in &mut sources {
            source.exchange_report(&mut aggregator);
        }
        prop_assert!((total(&aggregator) - served).abs() < 1e-6);
    }

    #[test]
    fn a_sidecar_that_restarts_without_its_state_reduces_no_total(
        steps in prop::collection::vec((0usize..3, 1u32..1000, any::<bool>()), 1..40),
    ) {
        let mut sources: Vec<Source> = (0..3).map(Source::new).collect();
        let mut aggregator = aggregator();
        let mut served = 0.0;
        for (number, units, restarts) in steps {
            let source = &mut sources[number];
            source.own += f64::from(units);
            served += f64::from(units);
            source.exchange_report(&mut aggregator);
            if restarts {
                *source = Source {
                    incarnation: Incarnation(source.incarnation.0 + 1),
                    ..Source::new(number)
                };
            }
        }
        prop_assert!((total(&aggregator) - served).abs() < 1e-6);
    }

    #[test]
    fn a_new_aggregator_errs_by_at_most_the_service_since_the_last_reports(
        rounds in prop::collection::vec((1u32..1000, 1u32..1000, 1u32..1000), 1..20),
        unreported in prop::collection::vec(0u32..1000, 3),
    ) {
        let mut sources: Vec<Source> = (0..3).map(Source::new).collect();
        let mut old = aggregator();
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
                source.exchange_report(&mut old);
            }
        }
        for (source, units) in sources.iter_mut().zip(&unreported) {
            source.own += f64::from(*units);
            served += f64::from(*units);
        }
        let mut new = aggregator();
        for source in &mut sources {
            source.exchange_report(&mut new);
        }
        let error = total(&new) - served;
        prop_assert!(error >= -1e-6, "service forgotten: {error}");
        prop_assert!(error <= last_round + 1e-6, "off by {error}, a round is {last_round}");
    }
}

#[test]
fn an_account_back_from_idle_brings_no_credit_and_bounded_debt() {
    let mut aggregator = TotalsAggregator::new(GRACE, 100.0);
    let mut idle = Source::new(1);
    idle.own = 5.0;
    idle.exchange_report(&mut aggregator);
    let later = GRACE * 3;
    let (host, incarnation, sequence, entry) = idle.report();
    let reply = aggregator.apply_report(
        later,
        &host,
        incarnation,
        sequence,
        Some(1000.0),
        2.0,
        &entry,
    );
    assert_eq!(reply.total, 2000.0, "level with the floor, by its share");
    let mut heavy = Source::new(2);
    heavy.own = 1e6;
    let (host, incarnation, sequence, entry) = heavy.report();
    aggregator.apply_report(later, &host, incarnation, sequence, None, 1.0, &entry);
    let much_later = later + GRACE * 3;
    let (host, incarnation, sequence, entry) = heavy.report();
    let reply = aggregator.apply_report(
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
