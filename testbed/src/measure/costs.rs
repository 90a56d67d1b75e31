//! What single steps of a router cost: a choice, an account's standing, a report.
//!
//! Real time of this machine, one thread, without sockets: to compare steps and
//! sizes with each other.

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

/// How often each step is taken.
const TIMES: u32 = 2000;

/// Availability zones of the fleets measured.
const ZONES: usize = 5;

/// Parts of prompts that the replicas are believed to keep, in turn.
const KEPT: u64 = 2000;

const NOW: Duration = Duration::from_secs(100);
const AIM: Duration = Duration::from_millis(600);
const WINDOW: Duration = Duration::from_secs(3);
const AGE: Duration = Duration::from_secs(1);

const ENGINE: EngineSpec = EngineSpec {
    kv_capacity_tokens: 232_000,
    kv_bytes_per_token: 300_000.0,
    link_mbps: 1_000_000.0,
    can_transfer_kv: true,
};

/// How many there are of everything.
#[derive(Debug, Clone, Copy)]
pub struct FleetScale {
    pub routers: usize,
    pub replicas: usize,
    pub accounts: u32,
}

/// What steps cost in a fleet of some size, in microseconds each.
#[derive(Debug, Clone, Copy)]
pub struct StepCosts {
    pub choice: f64,      // of a replica, for a prompt
    pub standing: f64,    // of an account
    pub report_made: f64, // by a router that has something at every replica of its zone
    pub report_read: f64, // the same, decoded and taken in
    pub report_bytes: usize,
}

/// Measures the steps.
pub fn step_costs(scale: FleetScale) -> StepCosts {
    let mut board = full_board(scale);
    let prompts: Vec<PromptShape> = (0..u64::from(TIMES)).map(prompt).collect();
    let choice = mean_us(|step| {
        let prompt = &prompts[step as usize];
        std::hint::black_box(board.choose(NOW, &request(prompt)));
    });
    let mut book = full_book(scale);
    let standing = mean_us(|step| {
        let account = step % scale.accounts;
        // The sum of what others told is made anew every 20 ms, some 50 requests.
        let now = NOW + Duration::from_micros(400) * step;
        std::hint::black_box(book.account_share(now, account, 100.0));
    });
    let report_made = mean_us(|_| {
        std::hint::black_box(encoded(&board));
    });
    let datagrams = encoded(&board);
    let report_read = mean_us(|step| {
        for datagram in &datagrams {
            let message = decode_payload(datagram).expect("just encoded");
            if let PeerMessage::Report(report) = message {
                board.apply_reports(NOW, router(step), &report.body.replicas);
            }
        }
    });
    StepCosts {
        choice,
        standing,
        report_made,
        report_read,
        report_bytes: datagrams.iter().map(Vec::len).sum(),
    }
}

fn mean_us(mut step: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..TIMES).for_each(&mut step);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES)
}

fn prompt(number: u64) -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![
            part(number % 4, 2500),
            part(10 + number % KEPT, 3800),
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
        target_latency: AIM,
        target_pause: None,
        share_status: ShareStatus::Within,
        tried: &[],
        regions: None,
    }
}

/// A board on which every replica of the fleet has work of routers and of zones.
fn full_board(scale: FleetScale) -> ReplicaTable {
    let mut board = ReplicaTable::new(PlacementSettings::default());
    let ids: Vec<String> = (0..scale.replicas)
        .map(|number| format!("i-{number:08x}"))
        .collect();
    let entries = ids.iter().enumerate().map(|(number, id)| {
        Arc::new(UpstreamEntry {
            id: id.as_str().into(),
            started_unix_ms: None,
            service: "model".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: format!("zone-{}", number % ZONES).into(),
            slots: 64,
            state: UpstreamState::Ready,
            slow_start_remaining: Duration::ZERO,
        })
    });
    board.set_entries(Duration::ZERO, entries.collect());
    let fleet = FleetSize {
        in_zone: scale.routers / ZONES,
        total: scale.routers,
    };
    board.set_reporting(Duration::from_millis(100), fleet);
    let loads: Vec<ReplicaReport> = ids.iter().map(|id| load(id)).collect();
    for number in 1..fleet.in_zone as u32 {
        board.apply_reports(NOW, router(number), &loads);
    }
    for zone in 1..ZONES as u32 {
        board.apply_reports(NOW, other_zone(zone), &loads);
    }
    for part in 0..KEPT {
        let note = PartPlacement {
            start_hash: name_hash(&ids[part as usize % ids.len()]),
            part: 10 + part,
            shared: true,
        };
        board.apply_placements(NOW, ReporterScope::Zone, &[note]);
    }
    board
}

fn load(id: &str) -> ReplicaReport {
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

fn full_book(scale: FleetScale) -> ShareTracker {
    let mut book = ShareTracker::new(WINDOW, AGE + WINDOW);
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
        book.apply_report(NOW, router(number), &usage);
    }
    for zone in 1..ZONES as u32 {
        book.apply_report(NOW, other_zone(zone), &usage);
    }
    book
}

/// A report of a router that has something at every replica of one zone, as
/// datagrams.
fn encoded(board: &ReplicaTable) -> Vec<Vec<u8>> {
    let replicas = board.zone_reports(NOW).into_iter().step_by(ZONES).collect();
    let figures = ReportBody {
        replicas: SentReports::default().due_replicas(NOW, AGE, replicas),
        ..ReportBody::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let reports = figures.split().into_iter().map(|figures| {
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
            body: figures,
        })
    });
    reports
        .map(|report| encode_payload(&report).expect("reports can be encoded"))
        .collect()
}
