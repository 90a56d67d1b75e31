//! The fault soak: what it takes as broken, and a short run of it.

use {
    archmast::codes::ResultCode,
    archmast_testbed::{
        direct::{ClientAnswer, StoreMode, event},
        soak::{
            Arrival, Attempt, ChangeSeen, CordonSeen, DrainSeen, EVENTS, Fault, FaultSpan, Kind,
            Notice, NoticeSeen, PLAIN_BODY, PlannedFault, Record, ReplicaSeen, SoakFleet,
            StartSeen, Starvation, broken, late_arrivals, movements, schedule, silences, soak,
        },
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

fn answer(
    status: u16,
    id: &str,
    body: &str,
) -> ClientAnswer {
    let headers = [
        ("archmast-attempt-id", id),
        ("archmast-replica-signature", "s.1"),
    ];
    ClientAnswer {
        status,
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into(),
        body: body.as_bytes().to_vec(),
        is_complete: status != 0,
    }
}

/// A record of one request that ran at these services.
fn record(
    kind: Kind,
    answer: ClientAnswer,
    runs: &[&'static str],
) -> Record {
    let now = Instant::now();
    let attempt = Attempt {
        id: "a".to_owned(),
        kind,
        router: 0,
        sent: now,
        ended: now,
        answer: Some(answer),
    };
    let runs = if runs.is_empty() {
        HashMap::new()
    } else {
        HashMap::from([("a".to_owned(), runs.to_vec())])
    };
    Record {
        attempts: vec![attempt],
        runs,
        ..Record::default()
    }
}

fn during(
    mut record: Record,
    fault: Fault,
) -> Record {
    let now = Instant::now();
    record.spans.push(FaultSpan {
        fault,
        began: now - Duration::from_secs(1),
        ended: now + Duration::from_secs(1),
    });
    record
}

fn assert_broken(
    record: &Record,
    rule: &str,
) {
    let found = broken(record);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(rule), "{found:?}");
}

#[test]
fn what_was_served_as_promised_is_not_broken() {
    let plain = || answer(200, "a", PLAIN_BODY);
    let events: String = (1..=EVENTS).map(event).collect();
    for (kind, answer, runs) in [
        (Kind::Charge, plain(), vec!["plain"]),
        (Kind::Events, answer(200, "a", &events), vec!["events"]),
    ] {
        assert_eq!(broken(&record(kind, answer, &runs)), Vec::<String>::new());
    }
    // Faults excuse failures, and repeats of what may be repeated.
    let cut = record(Kind::Read, answer(0, "", ""), &["plain", "plain"]);
    let cut = during(cut, Fault::KillRouter(0));
    assert_eq!(broken(&cut), Vec::<String>::new());
    let refused = record(Kind::Read, answer(503, "a", ""), &[]);
    let refused = during(refused, Fault::StopRouter(0));
    assert_eq!(broken(&refused), Vec::<String>::new());
}

#[test]
fn each_promise_that_is_broken_is_found_also_under_faults() {
    let plain = || answer(200, "a", PLAIN_BODY);
    let killed = Fault::KillRouter(0);
    let twice = record(Kind::Charge, plain(), &["plain", "plain"]);
    assert_broken(&during(twice, killed), "twice");
    let refused = record(Kind::Read, answer(503, "a", ""), &["plain"]);
    assert_broken(&during(refused, killed), "refused");
    let route = record(Kind::Read, plain(), &["events"]);
    assert_broken(&during(route, killed), "route");
    let other = record(Kind::Read, answer(200, "b", PLAIN_BODY), &["plain"]);
    assert_broken(&during(other, killed), "mixed");
    let short = record(Kind::Read, answer(200, "a", "a pl"), &["plain"]);
    assert_broken(&during(short, killed), "mixed");
    let gap: String = (1..=EVENTS).filter(|n| *n != 4).map(event).collect();
    let order = record(Kind::Events, answer(200, "a", &gap), &["events"]);
    assert_broken(&during(order, killed), "mixed");
    let mut unasked = record(Kind::Read, plain(), &["plain"]);
    unasked.runs.insert("smuggled".to_owned(), vec!["plain"]);
    assert_broken(&unasked, "unasked");
}

#[test]
fn a_planned_stop_excuses_a_refusal_but_no_loss() {
    let lost = record(Kind::Charge, answer(0, "", ""), &["plain"]);
    assert_broken(&during(lost, Fault::StopRouter(0)), "lost");
    let refused_in_calm = record(Kind::Read, answer(503, "a", ""), &[]);
    assert_broken(&refused_in_calm, "lost");
}

/// A router refused for want of processor in calm; the machine gave it none for so many
/// milliseconds, so long before.
fn refused_for_want_of_processor(
    code: u8,
    waited_ms: u64,
    before_ms: u64,
) -> Record {
    let body = format!("{{\"error\":{{\"code\":{code}}}}}");
    let mut refused = record(Kind::Read, answer(503, "a", &body), &[]);
    let mut starvation = Starvation::default();
    let at = refused.attempts[0].ended - Duration::from_millis(before_ms);
    starvation.note(0, at, Duration::from_millis(waited_ms / 2));
    starvation.note(0, at, Duration::from_millis(waited_ms / 2));
    refused.starvation = starvation;
    refused
}

#[test]
fn a_router_that_the_machine_gave_no_processor_may_refuse_and_no_other() {
    let busy = ResultCode::RouterBusy.number();
    let starved = refused_for_want_of_processor(busy, 120, 300);
    assert_eq!(broken(&starved), Vec::<String>::new());
    assert_broken(&refused_for_want_of_processor(busy, 100, 300), "lost");
    assert_broken(&refused_for_want_of_processor(busy, 120, 600), "lost");
    let no_room = ResultCode::NoRoom.number();
    assert_broken(&refused_for_want_of_processor(no_room, 120, 300), "lost");
    let mut ran = refused_for_want_of_processor(busy, 120, 300);
    ran.runs.insert("a".to_owned(), vec!["plain"]);
    assert_broken(&ran, "refused");
}

/// A request that reached a replica so long after the store's word, sent by the router
/// of the record's attempt.
fn arrival(after_ms: u64) -> Record {
    let confirmed = Instant::now();
    let drain = DrainSeen {
        replica: "i-0-0".to_owned(),
        confirmed,
        arrivals: vec![Arrival {
            id: "a".to_owned(),
            at: confirmed + Duration::from_millis(after_ms),
        }],
    };
    Record {
        drains: vec![drain],
        ..record(Kind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn requests_to_a_replica_that_left_are_found_unless_their_router_was_in_trouble() {
    assert_eq!(broken(&arrival(2900)), Vec::<String>::new());
    assert_broken(&arrival(3100), "drain");
    // Until a second from the word: a router in trouble of its own, or without a store.
    for fault in [
        Fault::FreezeRouter(0),
        Fault::KillRouters { first: 0, count: 1 },
        Fault::SilenceAllStores,
    ] {
        let hidden = during(arrival(3100), fault);
        assert_eq!(broken(&hidden), Vec::<String>::new(), "{fault:?}");
        assert_eq!(late_arrivals(&hidden).excused, 1);
        // Longer ago than it takes to be in touch again.
        assert_broken(&during(arrival(4100), fault), "drain");
    }
    // What befalls others only excuses nothing.
    for fault in [
        Fault::FreezeRouter(1),
        Fault::KillRouters { first: 1, count: 2 },
        Fault::ForgetHistory,
    ] {
        assert_broken(&during(arrival(3100), fault), "drain");
    }
}

#[test]
fn a_request_that_nobody_is_known_to_have_sent_is_not_excused() {
    let mut record = during(arrival(3100), Fault::KillAllRouters);
    record.drains[0].arrivals[0].id = "probe".to_owned();
    assert_broken(&record, "drain");
}

#[test]
fn movements_are_drawn_in_series_and_kill_a_part_of_the_routers() {
    let length = Duration::from_secs(60);
    let drawn = movements(7, length, 30, 54);
    assert_eq!(drawn, movements(7, length, 30, 54));
    assert_ne!(drawn, movements(8, length, 30, 54));
    let unlisted = |planned: &&PlannedFault| matches!(planned.fault, Fault::UnlistReplica(_));
    assert!(drawn.iter().filter(unlisted).count() > 20, "{drawn:?}");
    for planned in &drawn {
        if let Fault::KillRouters { first, count } = planned.fault {
            assert!(count >= 1 && first + count <= 30, "{planned:?}");
        }
    }
}

#[test]
fn a_fleet_is_read_over_the_default_and_a_wrong_one_refused() {
    let fleet = SoakFleet::default();
    assert_eq!((fleet.routers(), fleet.services().len()), (3, 5));
    let larger = SoakFleet::parse("[routers]\nzones = 3\nper_zone = 10\n");
    assert_eq!(larger.expect("a fleet").routers(), 30);
    for (text, code) in [
        ("[routers]\nzones = 0\n", ResultCode::OutOfRange),
        (
            "[routers]\nzones = 3\nper_zone = 41\n",
            ResultCode::OutOfRange,
        ),
        ("[bounds]\ndrain = 3\n", ResultCode::WrongUnit),
        ("[work]\nfaults = perhaps\n", ResultCode::BadValue),
        ("[routers]\nhosts = 3\n", ResultCode::UnknownKey),
        ("[machines]\n", ResultCode::UnknownSection),
    ] {
        let refused = SoakFleet::parse(text).expect_err(text);
        assert_eq!(refused.code, code, "{text}");
    }
    let shipped = include_str!("../fleets/three-zones.ini");
    assert!(SoakFleet::parse(shipped).is_ok_and(|fleet| fleet.movements));
}

#[test]
fn a_configuration_that_comes_late_is_found_unless_something_hid_the_store() {
    let now = Instant::now();
    let change = |served_after: Option<u64>| Record {
        changes: vec![ChangeSeen {
            router: 1,
            version: 7,
            confirmed: now,
            served: served_after.map(|ms| now + Duration::from_millis(ms)),
        }],
        ..Record::default()
    };
    assert_eq!(broken(&change(Some(3900))), Vec::<String>::new());
    assert_broken(&change(Some(4100)), "config");
    assert_broken(&change(None), "config");
    // Until a second from now the store was hidden: it counts from there.
    let hidden = during(change(Some(4900)), Fault::SilenceAllStores);
    assert_eq!(broken(&hidden), Vec::<String>::new());
    assert_broken(
        &during(change(Some(5500)), Fault::SilenceAllStores),
        "config",
    );
    // A fault that does not hide the store excuses nothing.
    assert_broken(
        &during(change(Some(4900)), Fault::SilenceReplica(0)),
        "config",
    );
}

#[test]
fn silences_are_drawn_beside_the_other_faults() {
    let length = Duration::from_secs(60);
    let drawn = silences(7, length, 3, 5);
    assert_eq!(drawn, silences(7, length, 3, 5));
    assert_ne!(drawn, silences(8, length, 3, 5));
    assert!(drawn.len() > 10, "{}", drawn.len());
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    let length = Duration::from_secs(60);
    let one = schedule(7, length, 3, 5);
    assert_eq!(one, schedule(7, length, 3, 5));
    assert_ne!(one, schedule(8, length, 3, 5));
    assert!(one.len() > 20, "{}", one.len());
}

/// A request that reached the zone `z-1` so long after it was emptied, for ten seconds.
fn to_emptied(after_ms: u64) -> Record {
    let confirmed = Instant::now();
    let seen = ReplicaSeen {
        id: "i-0-0".to_owned(),
        zone: "z-1".to_owned(),
        arrivals: vec![Arrival {
            id: "a".to_owned(),
            at: confirmed + Duration::from_millis(after_ms),
        }],
    };
    Record {
        fleet: SoakFleet {
            evacuate: Duration::from_secs(2),
            ..SoakFleet::default()
        },
        cordons: vec![CordonSeen {
            zone: "z-1".to_owned(),
            confirmed,
            taken_back: confirmed + Duration::from_secs(10),
        }],
        replicas: vec![seen],
        ..record(Kind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn requests_to_an_emptied_zone_are_found_unless_their_router_was_in_trouble() {
    assert_eq!(broken(&to_emptied(1900)), Vec::<String>::new());
    assert_broken(&to_emptied(2100), "cordon");
    assert_eq!(broken(&to_emptied(10_100)), Vec::<String>::new());
    let hidden = during(to_emptied(2100), Fault::FreezeRouter(0));
    assert_eq!(broken(&hidden), Vec::<String>::new());
    assert_broken(&during(to_emptied(2100), Fault::FreezeRouter(1)), "cordon");
    assert_broken(&during(to_emptied(2100), Fault::OtherBuild(1)), "cordon");
    assert_broken(&during(to_emptied(8000), Fault::FreezeRouter(0)), "cordon");
}

/// A replica that has just started gets requests so many milliseconds apart.
fn to_starting(apart_ms: u64) -> Record {
    let from = Instant::now();
    let arrivals = (0..20u64).map(|number| Arrival {
        id: "a".to_owned(),
        at: from + Duration::from_millis(number * apart_ms),
    });
    Record {
        fleet: SoakFleet {
            slow_per_second: 6,
            ..SoakFleet::default()
        },
        starts: vec![StartSeen {
            replica: "i-0-0".to_owned(),
            from,
            until: from + Duration::from_secs(3),
        }],
        replicas: vec![ReplicaSeen {
            id: "i-0-0".to_owned(),
            zone: "z".to_owned(),
            arrivals: arrivals.collect(),
        }],
        ..record(Kind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn a_replica_that_gets_more_than_it_bears_is_found_whatever_went_on() {
    assert_eq!(broken(&to_starting(170)), Vec::<String>::new());
    assert_broken(&to_starting(160), "start");
    assert_broken(&during(to_starting(160), Fault::KillAllRouters), "start");
    // Of the other build nothing is promised here.
    let other = during(to_starting(20), Fault::OtherBuild(0));
    assert_eq!(broken(&other), Vec::<String>::new());
}

/// Zones are emptied, replicas come back slowly, leave in series and routers restart.
#[tokio::test(flavor = "multi_thread")]
async fn emptied_zones_and_slow_returns_break_nothing() {
    let fleet = SoakFleet::parse(include_str!("../fleets/operator.ini")).expect("a fleet");
    let result = soak(1, Duration::from_secs(12), &fleet).await;
    assert_eq!(result.broken, Vec::<String>::new(), "{}", result.summary());
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

/// The store is silent while replicas come back slowly and routers restart: these are told
/// what was so before, and send as usual until the store answers them (34 requests in a
/// second, of 6).
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_come_back_slowly_while_the_store_is_silent_are_spared() {
    let fleet = SoakFleet::parse(include_str!("../fleets/operator.ini")).expect("a fleet");
    let result = soak(42, Duration::from_secs(10), &fleet).await;
    assert_eq!(result.broken, Vec::<String>::new(), "{}", result.summary());
}

/// A replica says something of itself at the beginning, and gets requests of router 0 that
/// arrive so many milliseconds later; the first of them was answered, or turned away.
fn after_notice(
    notice: Notice,
    arrived_ms: &[u64],
) -> Record {
    let begin = Instant::now();
    let mut first = answer(200, "a", PLAIN_BODY);
    first
        .headers
        .insert("server-leaving".to_owned(), "1".to_owned());
    let mut told = record(Kind::Read, first, &["plain"]);
    let ran = notice == Notice::Leaves;
    let arrivals = arrived_ms.iter().map(|ms| {
        let at = begin + Duration::from_millis(*ms);
        let id = "a".to_owned();
        (Arrival { id, at }, ran)
    });
    told.attempts[0].ended = begin;
    told.notices.push(NoticeSeen {
        replica: "i-0-0".to_owned(),
        notice,
        arrivals: arrivals.collect(),
    });
    told
}

#[test]
fn requests_to_a_replica_that_said_that_it_leaves_are_found() {
    assert_eq!(
        broken(&after_notice(Notice::Leaves, &[0, 2900])),
        Vec::<String>::new()
    );
    assert_broken(&after_notice(Notice::Leaves, &[0, 3100]), "leaving");
    let restarted = during(
        after_notice(Notice::Leaves, &[0, 3100]),
        Fault::KillRouter(0),
    );
    assert_eq!(broken(&restarted), Vec::<String>::new());
    let store_down = Fault::StoreDown(StoreMode::Silent);
    assert_broken(
        &during(after_notice(Notice::Leaves, &[0, 3100]), store_down),
        "leaving",
    );
}

#[test]
fn requests_in_a_rest_are_found() {
    let rests = Notice::Rests(Duration::from_secs(2));
    assert_eq!(
        broken(&after_notice(rests, &[0, 100, 200, 300])),
        Vec::<String>::new()
    );
    assert_eq!(
        broken(&after_notice(rests, &[0, 600, 1900])),
        Vec::<String>::new()
    );
    assert_broken(&after_notice(rests, &[0, 600, 700, 1900]), "rest");
    assert_eq!(
        broken(&after_notice(rests, &[0, 2100, 2200, 2300])),
        Vec::<String>::new()
    );
    let frozen = during(
        after_notice(rests, &[0, 600, 700, 1900]),
        Fault::FreezeRouter(0),
    );
    assert_eq!(broken(&frozen), Vec::<String>::new());
}

/// Replicas say that they leave, or ask for rest, while the store falls silent, routers
/// restart and links break.
#[tokio::test(flavor = "multi_thread")]
async fn what_replicas_say_is_heeded_under_faults() {
    let fleet = SoakFleet::parse(include_str!("../fleets/notices.ini")).expect("a fleet");
    let result = soak(1, Duration::from_secs(12), &fleet).await;
    assert_eq!(result.broken, Vec::<String>::new(), "{}", result.summary());
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_breaks_nothing() {
    let result = soak(1, Duration::from_secs(6), &SoakFleet::default()).await;
    assert_eq!(result.broken, Vec::<String>::new(), "{}", result.summary());
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

/// Replicas leave without a word while routers restart. The code that did not tell what had
/// gone broke this seed in two runs of two (8 and 32 requests late).
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_leave_while_routers_restart_get_nothing_late() {
    let fleet = SoakFleet::parse(include_str!("../fleets/two-zones.ini")).expect("a fleet");
    let result = soak(2, Duration::from_secs(20), &fleet).await;
    assert_eq!(result.broken, Vec::<String>::new(), "{}", result.summary());
    assert!(result.leaving > 20, "{}", result.summary());
}
