//! The status page and gauges of a router in the direct form.

use {
    super::gateway::Gateway,
    crate::{
        fleet::{HostRole, Revision},
        ops::{
            ACCOUNTS, AuditTrail, EJECTED_REPLICAS, HELD_BYTES, HELD_REQUESTS, HeldStatus,
            PeerStatus, ProcessStatus, REVISION, RUNNING_REQUESTS, SHARE_DIVIDED_TOKENS,
            SHARE_LEVEL_TOKENS, SLOW_REPLICAS, STORE_AGE, StatusSource,
        },
        policy::{Incarnation, suspects::SuspectKind},
    },
    std::{collections::BTreeMap, sync::atomic::Ordering},
};

/// Replicas whose pace exceeds this are counted as slow; 1 is the pace expected of the engine.
const SLOW_PACE: f64 = 1.5;

impl StatusSource for Gateway {
    fn status(&self) -> ProcessStatus {
        let settings = self.settings();
        let version = self.catalog.version();
        let running: u32 = self
            .replica_table()
            .replicas()
            .map(|view| view.own_load.running)
            .sum();
        metrics::gauge!(RUNNING_REQUESTS).set(f64::from(running));
        let now = self.now();
        let ejected = self
            .replica_table()
            .replicas()
            .filter(|view| view.health.is_ejected(now))
            .count();
        metrics::gauge!(EJECTED_REPLICAS).set(ejected as f64);
        let slow = self.replica_table().count_slower_than(SLOW_PACE);
        metrics::gauge!(SLOW_REPLICAS).set(slow as f64);
        metrics::gauge!(REVISION).set(version.config as f64);
        let store_age = self.store_reads.answer_age(now);
        metrics::gauge!(STORE_AGE).set(store_age.map_or(-1.0, |age| age.as_secs_f64()));
        let held = self.held_status();
        metrics::gauge!(HELD_REQUESTS).set(held.len() as f64);
        let answers = self.answer_bytes.load(Ordering::Relaxed);
        metrics::gauge!(HELD_BYTES, "what" => "answers").set(answers as f64);
        let requests = self.request_bytes.load(Ordering::Relaxed);
        metrics::gauge!(HELD_BYTES, "what" => "requests").set(requests as f64);
        self.measure_shares();
        let peers = self.peers.live_addresses(self.now(), settings.peer_age);
        ProcessStatus {
            host: settings.process.host.clone(),
            role: HostRole::Router,
            zone: settings.process.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: self.incarnation,
            uptime_ms: self.now().as_millis() as u64,
            ready: Gateway::is_ready(self),
            leaving: self.is_stopping(),
            revision: (version.config > 0).then_some(Revision(version.config)),
            digest: String::new(),
            peers: peers
                .into_iter()
                .map(|address| PeerStatus {
                    host: address.to_string(),
                    role: HostRole::Router,
                    incarnation: Incarnation::default(),
                    revision: Revision(self.peers.version(address).config),
                })
                .collect(),
            waiting: 0,
            running: u64::from(running),
            slots: 0,
            busy_slot_ms: 0,
            contended_ms: 0,
            contended_busy_slot_ms: 0,
            kept_accounts: 0,
            control_bytes: BTreeMap::new(),
            link_bytes: 0,
            accounts: Vec::new(),
            held,
            cordoned: self.catalog.cordoned_zones().into_iter().collect(),
        }
    }

    fn is_ready(&self) -> bool {
        Gateway::is_ready(self)
    }

    fn audit(&self) -> &AuditTrail {
        &self.audit
    }
}

impl Gateway {
    /// Sets the gauges of the fair allocation among accounts.
    fn measure_shares(&self) {
        let now = self.now();
        let (allocation, shares) = self.shares().account_shares(now);
        metrics::gauge!(SHARE_DIVIDED_TOKENS).set(f64::from(allocation.capacity));
        let level = Some(allocation.fair_level).filter(|level| level.is_finite());
        metrics::gauge!(SHARE_LEVEL_TOKENS).set(f64::from(level.unwrap_or(-1.0)));
        let mut counts = BTreeMap::from([("over", 0_u32), ("within", 0), ("behind", 0)]);
        for share in shares {
            *counts.entry(share.status.name()).or_default() += 1;
        }
        for (status, count) in counts {
            metrics::gauge!(ACCOUNTS, "standing" => status).set(f64::from(count));
        }
    }

    /// The requests and parts of prompts that this router holds back.
    fn held_status(&self) -> Vec<HeldStatus> {
        let now = self.now();
        let table = self.catalog.config();
        let name = |account: u32| {
            let known = table
                .as_ref()
                .and_then(|table| table.account_by_hash(account));
            known.map_or_else(|| account.to_string(), |name| name.to_string())
        };
        let held = SuspectKind::ALL.map(|kind| self.suspects().tracker(kind).held(now));
        let held = held.into_iter().flatten().map(|held| HeldStatus {
            kind: held.hold.kind.name().to_owned(),
            request: held.digest.to_string(),
            account: name(held.account),
            ends: held.hold.crashes,
            since_ms: held.hold.since.ago_ms(now).into(),
            left_ms: held.hold.remaining(now).as_millis() as u64,
        });
        held.collect()
    }
}
