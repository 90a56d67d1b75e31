//! Time that single steps of a router's decisions take: choosing a replica, an account's
//! share status, encoding and decoding a report.
//!
//! Wall-clock time of one thread on the current machine, without sockets. It serves to
//! compare steps and fleet sizes with each other.

use {
    archmast::{
        catalog::{CatalogVersion, UpstreamEntry, UpstreamState},
        peers::{PeerMessage, ReportBody, RouterReport, SentReports},
        policy::{
            Reporter, ReporterScope, name_hash,
            placement::{
                FleetSize, Load, PartPlacement, PlacementRequest, PlacementSettings, PromptPart,
                PromptShape, ReplicaReport, ReplicaTable,
            },
            shares::{AccountUsage, ShareStatus, ShareTracker},
        },
        routing::EngineSpec,
        wire::{decode_payload, encode_payload},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of repetitions of each step.
const REPETITIONS: u32 = 2000;

/// Availability zones of the fleets measured.
const ZONES: usize = 5;

/// Number of cached prompt parts, assigned to the replicas in turn.
const CACHED_PARTS: u64 = 2000;

const NOW: Duration = Duration::from_secs(100);
const TARGET_LATENCY: Duration = Duration::from_millis(600);
const SHARE_WINDOW: Duration = Duration::from_secs(3);
const REPORT_AGE: Duration = Duration::from_secs(1); // after which reports no longer count

const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 232_000,
    kv_bytes_per_token: 300_000.0,
    link_mbps: 1_000_000.0,
    can_transfer_kv: true,
};

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetScale {
    pub routers: usize,
    pub replicas: usize,
    pub accounts: u32,
}

/// Mean time of each step in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct StepCosts {
    pub choice: f64,          // choosing a replica for a prompt
    pub share_status: f64,    // computing an account's share status
    pub report_encoding: f64, // encoding a report of load at every replica of one zone
    pub report_decoding: f64, // decoding that report and applying it
    pub report_bytes: usize,  // size of that report
}

/// Measures the steps.
pub fn step_costs(scale: FleetScale) -> StepCosts {
    let mut table = loaded_table(scale);
    let prompts: Vec<PromptShape> = (0..u64::from(REPETITIONS)).map(prompt).collect();
    let choice = mean_us(|step| {
        let prompt = &prompts[step as usize];
        std::hint::black_box(table.choose(NOW, &request(prompt)));
    });
    let mut tracker = loaded_tracker(scale);
    let share_status = mean_us(|step| {
        let account = step % scale.accounts;
        // The tracker recomputes the sum of the peers' usage every 20 ms. At 400 us per
        // request, that is once in 50 requests.
        let now = NOW + Duration::from_micros(400) * step;
        std::hint::black_box(tracker.account_share(now, account, 100.0));
    });
    let report_encoding = mean_us(|_| {
        std::hint::black_box(encoded_report(&table));
    });
    let datagrams = encoded_report(&table);
    let report_decoding = mean_us(|step| {
        for datagram in &datagrams {
            let message = decode_payload(datagram).expect("just encoded");
            if let PeerMessage::Report(report) = message {
                table.apply_reports(NOW, router(step), &report.body.replicas);
            }
        }
    });
    StepCosts {
        choice,
        share_status,
        report_encoding,
        report_decoding,
        report_bytes: datagrams.iter().map(Vec::len).sum(),
    }
}

/// Mean time of a step in microseconds. The step gets the number of the repetition.
fn mean_us(mut step: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..REPETITIONS).for_each(&mut step);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}

/// A prompt of three parts: one that many requests share, one that is cached at some
/// replica, and one of its own.
fn prompt(number: u64) -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![
            part(number % 4, 2500),
            part(10 + number % CACHED_PARTS, 3800),
            part(1_000_000 + number, 2900),
        ],
        output_tokens: 50,
    }
}

fn request(prompt: &PromptShape) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "model",
        zone: "zone-0",
        engine: Some(ENGINE),
        prompt: Some(prompt),
        target_latency: TARGET_LATENCY,
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
        version: None,
    }
}

/// A replica table in which every replica has load reported by the routers of the same
/// zone and by the other zones.
fn loaded_table(scale: FleetScale) -> ReplicaTable {
    let mut table = ReplicaTable::new(PlacementSettings::default());
    let ids: Vec<String> = (0..scale.replicas)
        .map(|number| format!("i-{number:08x}"))
        .collect();
    let entries = ids.iter().enumerate().map(|(number, id)| {
        Arc::new(UpstreamEntry {
            id: id.as_str().into(),
            started_unix_ms: None,
            service: "model".into(),
            version: "v1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: format!("zone-{}", number % ZONES).into(),
            slots: 64,
            state: UpstreamState::Ready,
            slow_start_remaining: Duration::ZERO,
        })
    });
    table.set_entries(Duration::ZERO, entries.collect());
    let fleet = FleetSize {
        in_zone: scale.routers / ZONES,
        total: scale.routers,
    };
    table.set_reporting(Duration::from_millis(100), fleet);
    let loads: Vec<ReplicaReport> = ids.iter().map(|id| load_report(id)).collect();
    for number in 1..fleet.in_zone as u32 {
        table.apply_reports(NOW, router(number), &loads);
    }
    for zone in 1..ZONES as u32 {
        table.apply_reports(NOW, other_zone(zone), &loads);
    }
    for part in 0..CACHED_PARTS {
        let placement = PartPlacement {
            start_hash: name_hash(&ids[part as usize % ids.len()]),
            part: 10 + part,
            shared: true,
        };
        table.apply_placements(NOW, ReporterScope::Zone, &[placement]);
    }
    table
}

fn load_report(id: &str) -> ReplicaReport {
    let load = Load {
        running: 1,
        prefill_tokens: 60,
        kv_tokens: 4000,
    };
    ReplicaReport {
        start_hash: name_hash(id),
        load,
        placed_tokens: 5_000_000,
        is_ejected: false,
    }
}

fn router(number: u32) -> Reporter {
    Reporter {
        scope: ReporterScope::Router,
        name: number,
        source_id: 1,
    }
}

fn other_zone(number: u32) -> Reporter {
    Reporter {
        scope: ReporterScope::Zone,
        name: 1_000_000 + number,
        source_id: 1,
    }
}

/// A share tracker that has usage of every account, reported by all peers.
fn loaded_tracker(scale: FleetScale) -> ShareTracker {
    let mut tracker = ShareTracker::new(SHARE_WINDOW, REPORT_AGE + SHARE_WINDOW);
    let usage: Vec<(u32, AccountUsage)> = (0..scale.accounts)
        .map(|account| {
            let usage = AccountUsage {
                requested: 9000.0,
                allocated: 5000.0,
            };
            (account, usage)
        })
        .collect();
    for number in 1..(scale.routers / ZONES) as u32 {
        tracker.apply_report(NOW, router(number), &usage);
    }
    for zone in 1..ZONES as u32 {
        tracker.apply_report(NOW, other_zone(zone), &usage);
    }
    tracker
}

/// The datagrams of a router's report of its load at every replica of one zone.
fn encoded_report(table: &ReplicaTable) -> Vec<Vec<u8>> {
    let replicas = table.zone_reports(NOW).into_iter().step_by(ZONES).collect();
    let body = ReportBody {
        replicas: SentReports::default().due_replicas(NOW, REPORT_AGE, replicas),
        ..ReportBody::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let reports = body.split().into_iter().map(|body| {
        PeerMessage::Report(RouterReport {
            address,
            update_address: address,
            caller_address: address,
            zone: 7,
            incarnation: 1,
            sequence: 1,
            is_leaving: false,
            busy_percent: 10,
            millicores: 90,
            is_store_unavailable: false,
            version: CatalogVersion::default(),
            body,
        })
    });
    reports
        .map(|report| encode_payload(&report).expect("reports can be encoded"))
        .collect()
}
