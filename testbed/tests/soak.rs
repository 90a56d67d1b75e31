//! The fault soak: what its checks report as a violation, and short runs of it.

use {
    archmast::codes::ResultCode,
    archmast_testbed::{
        direct::{ClientAnswer, StoreMode, event, event_of_version},
        soak::{
            Arrival, CallerRequest, ChangeSeen, ConfigChange, CordonSeen, DrainSeen,
            EVENTS_PER_STREAM, Fault, FaultSpan, Notice, NoticeSeen, PLAIN_BODY, PlannedFault,
            Record, ReplicaSeen, RequestKind, Resumption, SoakFleet, StartSeen, Starvation,
            VersionSeen, caller_resets, config_series, late_arrivals, movements, pauses, schedule,
            silences, soak, versions, violations,
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

/// A record of one request, which ran at replicas of `runs`.
fn record(
    kind: RequestKind,
    answer: ClientAnswer,
    runs: &[&'static str],
) -> Record {
    let now = Instant::now();
    let request = CallerRequest {
        id: "a".to_owned(),
        kind,
        resumes: None,
        router: 0,
        sent: now,
        deadline: Duration::from_secs(4),
        ended: now,
        answer: Some(answer),
    };
    let runs = if runs.is_empty() {
        HashMap::new()
    } else {
        HashMap::from([("a".to_owned(), runs.to_vec())])
    };
    Record {
        requests: vec![request],
        runs,
        ..Record::default()
    }
}

/// The record with a fault that lasts from a second before now until a second after.
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

fn assert_violation(
    record: &Record,
    rule: &str,
) {
    let found = violations(record);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(rule), "{found:?}");
}

#[test]
fn a_request_served_as_documented_violates_nothing() {
    let plain = || answer(200, "a", PLAIN_BODY);
    let events: String = (1..=EVENTS_PER_STREAM).map(event).collect();
    for (kind, answer, runs) in [
        (RequestKind::Charge, plain(), vec!["plain"]),
        (
            RequestKind::Events,
            answer(200, "a", &events),
            vec!["events"],
        ),
    ] {
        assert_eq!(
            violations(&record(kind, answer, &runs)),
            Vec::<String>::new()
        );
    }
    // Faults excuse failures, and repeated runs of idempotent requests.
    let cut = record(RequestKind::Read, answer(0, "", ""), &["plain", "plain"]);
    let cut = during(cut, Fault::KillRouter(0));
    assert_eq!(violations(&cut), Vec::<String>::new());
    let refused = record(RequestKind::Read, answer(503, "a", ""), &[]);
    let refused = during(refused, Fault::StopRouter(0));
    assert_eq!(violations(&refused), Vec::<String>::new());
}

#[test]
fn each_violation_is_found_also_during_faults() {
    let plain = || answer(200, "a", PLAIN_BODY);
    let killed = Fault::KillRouter(0);
    let twice = record(RequestKind::Charge, plain(), &["plain", "plain"]);
    assert_violation(&during(twice, killed), "twice");
    let refused = record(RequestKind::Read, answer(503, "a", ""), &["plain"]);
    assert_violation(&during(refused, killed), "refused");
    let route = record(RequestKind::Read, plain(), &["events"]);
    assert_violation(&during(route, killed), "route");
    let other = record(RequestKind::Read, answer(200, "b", PLAIN_BODY), &["plain"]);
    assert_violation(&during(other, killed), "mixed");
    let short = record(RequestKind::Read, answer(200, "a", "a pl"), &["plain"]);
    assert_violation(&during(short, killed), "mixed");
    let gap: String = (1..=EVENTS_PER_STREAM)
        .filter(|n| *n != 4)
        .map(event)
        .collect();
    let order = record(RequestKind::Events, answer(200, "a", &gap), &["events"]);
    assert_violation(&during(order, killed), "mixed");
    let mut unasked = record(RequestKind::Read, plain(), &["plain"]);
    unasked.runs.insert("smuggled".to_owned(), vec!["plain"]);
    assert_violation(&unasked, "unasked");
}

#[test]
fn a_planned_stop_excuses_a_refusal_but_no_loss() {
    let lost = record(RequestKind::Charge, answer(0, "", ""), &["plain"]);
    assert_violation(&during(lost, Fault::StopRouter(0)), "lost");
    let refused_without_fault = record(RequestKind::Read, answer(503, "a", ""), &[]);
    assert_violation(&refused_without_fault, "lost");
}

/// A router refused with this code while no fault was in effect. It had waited `waited_ms` for
/// a processor, `before_ms` before the refusal.
fn refused_for_lack_of_processor(
    code: u8,
    waited_ms: u64,
    before_ms: u64,
) -> Record {
    let body = format!("{{\"error\":{{\"code\":{code}}}}}");
    let mut refused = record(RequestKind::Read, answer(503, "a", &body), &[]);
    let mut starvation = Starvation::default();
    let at = refused.requests[0].ended - Duration::from_millis(before_ms);
    starvation.record_wait(0, at, Duration::from_millis(waited_ms / 2));
    starvation.record_wait(0, at, Duration::from_millis(waited_ms / 2));
    refused.starvation = starvation;
    refused
}

#[test]
fn a_router_that_the_machine_gave_no_processor_may_refuse_and_no_other() {
    let busy = ResultCode::RouterBusy.number();
    let starved = refused_for_lack_of_processor(busy, 120, 300);
    assert_eq!(violations(&starved), Vec::<String>::new());
    assert_violation(&refused_for_lack_of_processor(busy, 100, 300), "lost");
    assert_violation(&refused_for_lack_of_processor(busy, 120, 600), "lost");
    let no_capacity = ResultCode::NoRoom.number();
    assert_violation(
        &refused_for_lack_of_processor(no_capacity, 120, 300),
        "lost",
    );
    let mut ran = refused_for_lack_of_processor(busy, 120, 300);
    ran.runs.insert("a".to_owned(), vec!["plain"]);
    assert_violation(&ran, "refused");
}

/// A request that reached a leaving replica `after_ms` after the store's confirmation, sent by
/// router 0.
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
        ..record(RequestKind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn late_requests_to_a_leaving_replica_are_found_unless_a_fault_hid_the_store() {
    assert_eq!(violations(&arrival(2900)), Vec::<String>::new());
    assert_violation(&arrival(3100), "drain");
    // The fault interrupts the router or hides the store, until a second after confirmation.
    for fault in [
        Fault::FreezeRouter(0),
        Fault::KillRouters { first: 0, count: 1 },
        Fault::SilenceAllStores,
    ] {
        let excused = during(arrival(3100), fault);
        assert_eq!(violations(&excused), Vec::<String>::new(), "{fault:?}");
        assert_eq!(late_arrivals(&excused).excused, 1);
        // The fault ended longer ago than the setting `contact`.
        assert_violation(&during(arrival(4100), fault), "drain");
    }
    // Faults of other routers excuse nothing.
    for fault in [
        Fault::FreezeRouter(1),
        Fault::KillRouters { first: 1, count: 2 },
        Fault::ForgetHistory,
    ] {
        assert_violation(&during(arrival(3100), fault), "drain");
    }
}

#[test]
fn a_late_request_of_unknown_sender_is_not_excused() {
    let mut record = during(arrival(3100), Fault::KillAllRouters);
    record.drains[0].arrivals[0].id = "probe".to_owned();
    assert_violation(&record, "drain");
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
fn a_fleet_file_overrides_the_default_and_a_wrong_one_is_refused() {
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
fn a_configuration_in_force_too_late_is_found_unless_a_fault_hid_the_store() {
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
    assert_eq!(violations(&change(Some(3900))), Vec::<String>::new());
    assert_violation(&change(Some(4100)), "config");
    assert_violation(&change(None), "config");
    // The time limit counts from the end of the fault, a second from now.
    let excused = during(change(Some(4900)), Fault::SilenceAllStores);
    assert_eq!(violations(&excused), Vec::<String>::new());
    assert_violation(
        &during(change(Some(5500)), Fault::SilenceAllStores),
        "config",
    );
    // A fault that does not hide the store excuses nothing.
    assert_violation(
        &during(change(Some(4900)), Fault::SilenceReplica(0)),
        "config",
    );
}

#[test]
fn the_same_seed_draws_the_same_silences() {
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

/// A request that reached the zone `z-1` `after_ms` after it was cordoned, for ten seconds.
fn to_cordoned_zone(after_ms: u64) -> Record {
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
            uncordoned: confirmed + Duration::from_secs(10),
        }],
        replicas: vec![seen],
        ..record(RequestKind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn late_requests_to_a_cordoned_zone_are_found_unless_a_fault_hid_the_store() {
    assert_eq!(violations(&to_cordoned_zone(1900)), Vec::<String>::new());
    assert_violation(&to_cordoned_zone(2100), "cordon");
    assert_eq!(violations(&to_cordoned_zone(10_100)), Vec::<String>::new());
    let excused = during(to_cordoned_zone(2100), Fault::FreezeRouter(0));
    assert_eq!(violations(&excused), Vec::<String>::new());
    assert_violation(
        &during(to_cordoned_zone(2100), Fault::FreezeRouter(1)),
        "cordon",
    );
    assert_violation(
        &during(to_cordoned_zone(2100), Fault::OtherBuild(1)),
        "cordon",
    );
    assert_violation(
        &during(to_cordoned_zone(8000), Fault::FreezeRouter(0)),
        "cordon",
    );
}

/// A replica in its slow start receives 20 requests, `apart_ms` milliseconds apart.
fn to_slow_start(apart_ms: u64) -> Record {
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
        ..record(RequestKind::Read, answer(200, "a", PLAIN_BODY), &["plain"])
    }
}

#[test]
fn a_replica_over_its_slow_start_limit_is_found_during_any_fault() {
    assert_eq!(violations(&to_slow_start(170)), Vec::<String>::new());
    assert_violation(&to_slow_start(160), "start");
    assert_violation(&during(to_slow_start(160), Fault::KillAllRouters), "start");
    // Requests of the other build are not checked.
    let other = during(to_slow_start(20), Fault::OtherBuild(0));
    assert_eq!(violations(&other), Vec::<String>::new());
}

/// Zones are cordoned, replicas return with a slow start or leave in series, and routers
/// restart.
#[tokio::test(flavor = "multi_thread")]
async fn cordoned_zones_and_slow_returns_violate_nothing() {
    let fleet = SoakFleet::parse(include_str!("../fleets/operator.ini")).expect("a fleet");
    let result = soak(1, Duration::from_secs(12), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

/// The store is silent while replicas return with a slow start and routers restart. Routers
/// that learn from their peers only the state before the return must not send at full rate:
/// 34 requests reached a replica within a second, where 6 are allowed.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_come_back_slowly_while_the_store_is_silent_are_spared() {
    let fleet = SoakFleet::parse(include_str!("../fleets/operator.ini")).expect("a fleet");
    let result = soak(42, Duration::from_secs(10), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
}

/// A replica announces something in its answer to the first request, and receives requests of
/// router 0 at these times, in milliseconds. They were answered, or refused for a backoff.
fn after_notice(
    notice: Notice,
    arrived_ms: &[u64],
) -> Record {
    let begin = Instant::now();
    let mut first = answer(200, "a", PLAIN_BODY);
    first
        .headers
        .insert("server-leaving".to_owned(), "1".to_owned());
    let mut noticed = record(RequestKind::Read, first, &["plain"]);
    let ran = notice == Notice::Leaving;
    let arrivals = arrived_ms.iter().map(|ms| {
        let at = begin + Duration::from_millis(*ms);
        let id = "a".to_owned();
        (Arrival { id, at }, ran)
    });
    noticed.requests[0].ended = begin;
    noticed.notices.push(NoticeSeen {
        replica: "i-0-0".to_owned(),
        notice,
        arrivals: arrivals.collect(),
    });
    noticed
}

#[test]
fn late_requests_to_a_replica_that_announced_leaving_are_found() {
    assert_eq!(
        violations(&after_notice(Notice::Leaving, &[0, 2900])),
        Vec::<String>::new()
    );
    assert_violation(&after_notice(Notice::Leaving, &[0, 3100]), "leaving");
    let restarted = during(
        after_notice(Notice::Leaving, &[0, 3100]),
        Fault::KillRouter(0),
    );
    assert_eq!(violations(&restarted), Vec::<String>::new());
    let store_down = Fault::StoreDown(StoreMode::Silent);
    assert_violation(
        &during(after_notice(Notice::Leaving, &[0, 3100]), store_down),
        "leaving",
    );
}

#[test]
fn requests_in_a_rest_are_found() {
    let backoff = Notice::Backoff(Duration::from_secs(2));
    assert_eq!(
        violations(&after_notice(backoff, &[0, 100, 200, 300])),
        Vec::<String>::new()
    );
    assert_eq!(
        violations(&after_notice(backoff, &[0, 600, 1900])),
        Vec::<String>::new()
    );
    assert_violation(&after_notice(backoff, &[0, 600, 700, 1900]), "rest");
    assert_eq!(
        violations(&after_notice(backoff, &[0, 2100, 2200, 2300])),
        Vec::<String>::new()
    );
    let frozen = during(
        after_notice(backoff, &[0, 600, 700, 1900]),
        Fault::FreezeRouter(0),
    );
    assert_eq!(violations(&frozen), Vec::<String>::new());
}

/// Replicas announce that they leave, or ask for a backoff, while the store falls silent,
/// routers restart and links break.
#[tokio::test(flavor = "multi_thread")]
async fn what_replicas_say_is_heeded_under_faults() {
    let fleet = SoakFleet::parse(include_str!("../fleets/notices.ini")).expect("a fleet");
    let result = soak(1, Duration::from_secs(12), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_breaks_nothing() {
    let result = soak(1, Duration::from_secs(6), &SoakFleet::default()).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}

/// Replicas leave unannounced while routers restart. Where routers do not report to their peers
/// which entries are gone, requests reach such replicas too late with this seed (8 and 32 of
/// them in two runs).
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_leave_while_routers_restart_get_nothing_late() {
    let fleet = SoakFleet::parse(include_str!("../fleets/two-zones.ini")).expect("a fleet");
    let result = soak(2, Duration::from_secs(20), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.leaving > 20, "{}", result.summary());
}

/// The store returns from copies while replicas leave, zones are cordoned and routers restart.
/// Where routers compare only revisions, requests reach leaving replicas too late with this seed (68
/// of them).
#[tokio::test(flavor = "multi_thread")]
async fn what_is_written_after_losses_of_the_store_is_heeded_under_faults() {
    let fleet = SoakFleet::parse(include_str!("../fleets/store-losses.ini")).expect("a fleet");
    let result = soak(4, Duration::from_secs(20), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.leaving > 5, "{}", result.summary());
}

/// A request for a stream, `sent_ms` after `start` at this router, whose answer holds these events
/// of one version.
fn stream_request(
    id: &str,
    start: Instant,
    sent_ms: u64,
    router: usize,
    resumes: Option<(&str, u32)>,
    events: (std::ops::RangeInclusive<u32>, &str),
) -> CallerRequest {
    let (numbers, version) = events;
    let is_complete = *numbers.end() == EVENTS_PER_STREAM;
    let body: String = numbers
        .map(|number| event_of_version(number, Some(version)))
        .collect();
    let sent = start + Duration::from_millis(sent_ms);
    CallerRequest {
        id: id.to_owned(),
        kind: RequestKind::Events,
        resumes: resumes.map(|(stream, last_event)| Resumption {
            stream: stream.to_owned(),
            last_event,
        }),
        router,
        sent,
        deadline: Duration::from_secs(8),
        ended: sent,
        answer: Some(ClientAnswer {
            is_complete,
            ..answer(200, id, &body)
        }),
    }
}

/// `count` streams that break after event 4 and are taken up at router 1, ten seconds after two
/// replicas of version v1 and one of v2 were listed. The last `mixed` go on at v2, and the
/// `refused` ones before them are refused.
fn taken_up(
    count: usize,
    mixed: usize,
    refused: usize,
) -> Record {
    let listed = Instant::now();
    let start = listed + Duration::from_secs(10);
    let mut record = Record::default();
    for (slot, version) in ["v1", "v1", "v2"].into_iter().enumerate() {
        record.versions.push(VersionSeen {
            slot,
            version: version.to_owned(),
            from: listed,
        });
    }
    // The caller's connection breaks at router 0.
    record.spans.push(FaultSpan {
        fault: Fault::ResetCallers(0),
        began: start,
        ended: start,
    });
    for number in 0..count {
        let (first, second) = (format!("a{number}"), format!("b{number}"));
        let begun = stream_request(&first, start, 0, 0, None, (1..=4, "v1"));
        let version = if number + mixed < count { "v1" } else { "v2" };
        let resumes = Some((&*first, 4));
        let rest = 5..=EVENTS_PER_STREAM;
        let mut resumed = stream_request(&second, start, 100, 1, resumes, (rest, version));
        if (count - mixed - refused..count - mixed).contains(&number) {
            resumed.answer = Some(answer(503, &second, ""));
        } else {
            record.runs.insert(second, vec!["events"]);
        }
        record.runs.insert(first, vec!["events"]);
        record.requests.extend([begun, resumed]);
    }
    // New streams at a router without a fault begin.
    for number in 0..count {
        let id = format!("n{number}");
        let whole = (1..=EVENTS_PER_STREAM, "v1");
        let request = stream_request(&id, start, 0, 1, None, whole);
        record.requests.push(request);
        record.runs.insert(id, vec!["events"]);
    }
    record
}

#[test]
fn streams_with_events_of_two_versions_are_found() {
    assert_eq!(violations(&taken_up(20, 0, 0)), Vec::<String>::new());
    assert_eq!(violations(&taken_up(20, 2, 0)), Vec::<String>::new());
    let found = violations(&taken_up(20, 3, 0));
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().all(|text| text.starts_with("order")));
    // Also inside one answer, and at routers with a fault.
    let mut inside = taken_up(0, 0, 0);
    let start = Instant::now();
    for id in ["a", "b", "c"] {
        let mut request = stream_request(id, start, 0, 0, None, (1..=4, "v1"));
        let rest = (5..=EVENTS_PER_STREAM).map(|number| event_of_version(number, Some("v2")));
        let answer = request.answer.as_mut().expect("an answer");
        answer.body.extend(rest.collect::<String>().into_bytes());
        answer.is_complete = true;
        inside.requests.push(request);
        inside.runs.insert(id.to_owned(), vec!["events"]);
    }
    let found = violations(&during(inside, Fault::KillAllRouters));
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().all(|text| text.starts_with("order")));
}

#[test]
fn streams_that_do_not_go_on_are_found_while_their_version_serves() {
    assert_eq!(violations(&taken_up(20, 0, 10)), Vec::<String>::new());
    assert_violation(&taken_up(20, 0, 11), "lost");
    assert_violation(&taken_up(12, 0, 7), "lost");
    assert_eq!(violations(&taken_up(11, 0, 11)), Vec::<String>::new());
    // A refusal is expected while a single replica of the version serves.
    for change in [
        ("v2", Duration::from_secs(10)), // begins while the streams are taken up
        ("v2", Duration::from_secs(5)),
        ("v1", Duration::from_millis(9500)), // its replica was just listed
    ] {
        let mut record = taken_up(20, 0, 20);
        let from = record.versions[0].from + change.1;
        let version = change.0.to_owned();
        let slot = 0;
        record.versions.push(VersionSeen {
            slot,
            version,
            from,
        });
        assert_eq!(violations(&record), Vec::<String>::new(), "{change:?}");
    }
    // Faults of the router, the store or a replica, shortly before, excuse it.
    for (fault, is_excused) in [
        (Fault::FreezeRouter(1), true),
        (Fault::FreezeRouter(0), false),
        (Fault::KillAllRouters, true),
        (Fault::ResetCallers(1), true),
        (Fault::StoreDown(StoreMode::Silent), true),
        (Fault::CrashReplica(0), true),
        (Fault::CrashReplica(2), false),
        (Fault::Publish, false),
    ] {
        let mut record = taken_up(20, 0, 20);
        let at = record.requests[0].sent - Duration::from_secs(1);
        record.spans.push(FaultSpan {
            fault,
            began: at,
            ended: at,
        });
        let found = violations(&record);
        assert_eq!(found.is_empty(), is_excused, "{fault:?}: {found:?}");
    }
}

#[test]
fn a_stream_that_all_routers_forgot_need_not_go_on() {
    for (fault, is_excused) in [
        (Fault::KillAllRouters, true),
        (Fault::KillRouter(0), false),
        (Fault::KillRouters { first: 0, count: 5 }, false),
    ] {
        let mut record = taken_up(12, 0, 12);
        let begun = record.requests[0].sent;
        for request in record.requests.iter_mut().filter(|r| r.resumes.is_some()) {
            request.sent = begun + Duration::from_secs(6);
            request.ended = request.sent;
        }
        record.spans.push(FaultSpan {
            fault,
            began: begun + Duration::from_secs(1),
            ended: begun + Duration::from_secs(2),
        });
        let found = violations(&record);
        assert_eq!(found.is_empty(), is_excused, "{fault:?}: {found:?}");
    }
}

#[test]
fn a_stream_that_is_refused_repeatedly_counts_once() {
    let mut record = taken_up(20, 0, 10);
    let resumed =
        |request: &&CallerRequest| request.resumes.is_some() && request.status() == Some(503);
    let again: Vec<CallerRequest> = record.requests.iter().filter(resumed).cloned().collect();
    record.requests.extend(again);
    assert_eq!(violations(&record), Vec::<String>::new());
    let refused = record.requests.iter().find(resumed).expect("a refusal");
    let mut later = refused.clone();
    // The same caller is cut off again, and refused after another event.
    let resumes = later.resumes.as_mut().expect("it takes a stream up");
    resumes.last_event += 1;
    record.requests.push(later);
    assert_violation(&record, "lost");
}

#[test]
fn gaps_and_repetitions_in_a_stream_are_found_also_where_it_is_cut() {
    let start = Instant::now();
    for (events, is_sound) in [(1..=4, true), (2..=4, false)] {
        let mut record = taken_up(0, 0, 0);
        let request = stream_request("a", start, 0, 0, None, (events, "v1"));
        record.requests.push(request);
        record.runs.insert("a".to_owned(), vec!["events"]);
        let found = violations(&during(record, Fault::KillRouter(0)));
        assert_eq!(found.is_empty(), is_sound, "{found:?}");
    }
    for (events, is_sound) in [(5..=8, true), (4..=8, false), (6..=8, false)] {
        let mut record = taken_up(0, 0, 0);
        let begun = stream_request("a", start, 0, 0, None, (1..=4, "v1"));
        let resumes = Some(("a", 4));
        let resumed = stream_request("b", start, 100, 1, resumes, (events, "v1"));
        record.requests.extend([begun, resumed]);
        for id in ["a", "b"] {
            record.runs.insert(id.to_owned(), vec!["events"]);
        }
        let found = violations(&during(record, Fault::KillAllRouters));
        assert_eq!(found.is_empty(), is_sound, "{found:?}");
    }
}

#[test]
fn a_refused_stream_that_ran_is_found() {
    let mut record = taken_up(1, 0, 1);
    record.runs.insert("b0".to_owned(), vec!["events"]);
    assert_violation(&record, "refused");
}

#[test]
fn the_same_seed_draws_the_same_versions() {
    let length = Duration::from_secs(60);
    let fleet = SoakFleet::parse(include_str!("../fleets/versions.ini")).expect("a fleet");
    let drawn = versions(7, length, &fleet);
    assert_eq!(drawn, versions(7, length, &fleet));
    assert_ne!(drawn, versions(8, length, &fleet));
    let changes = drawn.iter().map(|planned| match planned.fault {
        Fault::ChangeVersion { replica, version } => (replica, version),
        other => panic!("{other:?}"),
    });
    let changes: Vec<(usize, u32)> = changes.collect();
    let events = fleet.plain..fleet.plain + fleet.events;
    assert!(changes.iter().all(|(slot, _)| events.contains(slot)));
    // Rollouts and rollbacks.
    let mut steps = changes.windows(2);
    assert!(steps.clone().any(|pair| pair[1].1 > pair[0].1));
    assert!(steps.any(|pair| pair[1].1 < pair[0].1));
    let resets = caller_resets(7, length, fleet.routers());
    assert_eq!(resets, caller_resets(7, length, fleet.routers()));
    assert!(resets.len() > 50, "{}", resets.len());
}

/// Replicas of several versions replace each other while routers, replicas, links and the
/// connections of callers fail. Where routers do not heed the version, streams hold events of two
/// versions with this seed (11 to 15 of them in four runs).
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_their_software_version_under_faults() {
    let fleet = SoakFleet::parse(include_str!("../fleets/versions.ini")).expect("a fleet");
    let result = soak(4, Duration::from_secs(10), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    // Enough of them for a judgement on how many go on.
    assert!(result.streams.expected >= 12, "{}", result.summary());
}

/// A cut stream of router 0, sent to the replica of slot 3, `took_ms` before now.
fn cut_stream(took_ms: u64) -> Record {
    let events: String = (1..=4).map(event).collect();
    let cut = ClientAnswer {
        is_complete: false,
        ..answer(200, "a", &events)
    };
    let mut record = record(RequestKind::Events, cut, &["events"]);
    record.requests[0].sent -= Duration::from_millis(took_ms);
    let sent = ("a".to_owned(), "i-3-1".to_owned());
    record.sent.insert(sent, 0);
    record
}

#[test]
fn pauses_and_changes_excuse_no_loss_and_a_refusal() {
    let pause = Fault::PauseReplica(3);
    let pauses = Fault::PauseReplicas { first: 0, count: 5 };
    let change = Fault::ChangeConfig(ConfigChange::IdleTimeout { ms: 1000 });
    for fault in [pause, pauses, change] {
        assert_violation(&during(cut_stream(2000), fault), "lost");
        let closed = record(RequestKind::Read, answer(0, "", ""), &["plain"]);
        assert_violation(&during(closed, fault), "lost");
        let late = answer(504, "a", "{\"error\":{\"code\":58}}");
        let late = record(RequestKind::Read, late, &["plain"]);
        assert_violation(&during(late, fault), "lost");
        let refused = record(RequestKind::Read, answer(503, "a", ""), &[]);
        let refused = during(refused, fault);
        assert_eq!(violations(&refused), Vec::<String>::new(), "{fault:?}");
    }
}

#[test]
fn a_request_that_is_given_up_beside_faults_elsewhere_is_found() {
    for (fault, is_excused) in [
        (Fault::CrashReplica(3), true),
        (Fault::CrashReplica(2), false),
        (Fault::CutLink(3), true),
        (Fault::SpoilAnswers(4), false),
        (Fault::KillRouter(0), true),
        (Fault::KillRouter(1), false),
        (Fault::KillAllRouters, true),
        (Fault::SilenceCallers(0), true),
        (Fault::ResetCallers(1), false),
        (Fault::StoreDown(StoreMode::Silent), false),
        (Fault::SilenceAllStores, false),
        (Fault::StopRouter(0), false),
        (Fault::DrainReplica(3), false),
    ] {
        let found = violations(&during(cut_stream(2000), fault));
        assert_eq!(found.is_empty(), is_excused, "{fault:?}: {found:?}");
        assert!(found.len() <= 1, "{fault:?}: {found:?}");
        // Whatever else goes on.
        let elsewhere = during(cut_stream(2000), Fault::CrashReplica(1));
        let found = violations(&during(elsewhere, fault));
        assert_eq!(found.is_empty(), is_excused, "{fault:?}: {found:?}");
    }
    // The last lines of a killed router's log are lost.
    let mut unlogged = cut_stream(2000);
    unlogged.sent.clear();
    unlogged.replicas.push(ReplicaSeen {
        id: "i-3-1".to_owned(),
        zone: "z".to_owned(),
        arrivals: vec![Arrival {
            id: "a".to_owned(),
            at: Instant::now(),
        }],
    });
    let unlogged = during(unlogged, Fault::KillRouter(1));
    assert_eq!(violations(&unlogged), Vec::<String>::new());
    // A router that cannot hear that a replica leaves uses it until it is gone.
    let leaving = during(cut_stream(2000), Fault::UnlistReplica(3));
    let unheard = during(leaving, Fault::StoreDown(StoreMode::Silent));
    assert_eq!(violations(&unheard), Vec::<String>::new());
}

#[test]
fn a_request_that_lasts_to_its_deadline_was_not_given_up() {
    let elsewhere = Fault::CrashReplica(1);
    let at_its_deadline = during(cut_stream(3950), elsewhere);
    assert_eq!(violations(&at_its_deadline), Vec::<String>::new());
    assert_violation(&during(cut_stream(3800), elsewhere), "lost");
    // The same where only a pause goes on, and nowhere else.
    let paused = during(cut_stream(3950), Fault::PauseReplica(3));
    assert_eq!(violations(&paused), Vec::<String>::new());
    assert_violation(&cut_stream(3950), "lost");
    let mut held = during(cut_stream(8000), Fault::PauseReplica(3));
    held.requests[0].answer = None;
    assert_violation(&held, "lost");
}

#[test]
fn the_same_seed_draws_the_same_pauses_and_configurations() {
    let length = Duration::from_secs(60);
    let drawn = pauses(7, length, 10);
    assert_eq!(drawn, pauses(7, length, 10));
    assert_ne!(drawn, pauses(8, length, 10));
    let all = Fault::PauseReplicas {
        first: 0,
        count: 10,
    };
    assert!(drawn.iter().any(|planned| planned.fault == all));
    let is_second_or_two =
        |planned: &PlannedFault| (1000..=2000).contains(&planned.lasts.as_millis());
    assert!(drawn.iter().all(is_second_or_two), "{drawn:?}");
    let drawn = config_series(7, length);
    assert_eq!(drawn, config_series(7, length));
    assert_ne!(drawn, config_series(8, length));
    assert!(drawn.len() > 60, "{}", drawn.len());
}

/// Sound replicas pause while series of configurations and other faults go on.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_given_up_beside_pauses_and_new_configurations() {
    let fleet = SoakFleet::parse(include_str!("../fleets/pauses.ini")).expect("a fleet");
    let result = soak(2, Duration::from_secs(4), &fleet).await;
    assert_eq!(
        result.violations,
        Vec::<String>::new(),
        "{}",
        result.summary()
    );
    assert!(result.statuses.contains_key(&200), "{}", result.summary());
}
