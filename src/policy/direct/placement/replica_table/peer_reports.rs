//! Exchange among routers of loads, sent prompt parts, performance evidence and latency models.

use {
    super::ReplicaTable,
    crate::policy::{
        Moment, Reporter, ReporterScope, name_hash,
        placement::{LatencyReport, PartPlacement, ReplicaEvidence, ReplicaReport},
    },
};

/// Maximum number of announcements of sent prompt parts that are queued for other routers.
/// Further ones are dropped.
const MAX_QUEUED_PLACEMENTS: usize = 400;

impl ReplicaTable {
    /// Applies load reports of another router or zone. Its earlier reports on other replicas
    /// stay in force until they are too old.
    pub fn apply_reports(
        &mut self,
        now: Moment,
        reporter: Reporter,
        reports: &[ReplicaReport],
    ) {
        let age = self.max_report_age();
        for report in reports {
            if let Some(view) = self.by_start_hash(report.start_hash) {
                view.apply_peer_load(now, age, reporter, report);
            }
        }
    }

    /// Load reports of this router, for the routers of its zone.
    pub fn reports(
        &self,
        now: Moment,
    ) -> Vec<ReplicaReport> {
        let views = self.replicas.values().map(|view| ReplicaReport {
            start_hash: view.start_hash,
            load: view.own_load,
            placed_tokens: view.placed_tokens,
            is_ejected: view.health.is_ejected(now),
        });
        views.filter(ReplicaReport::has_content).collect()
    }

    /// Load reports of all routers of this zone together, for other zones.
    pub fn zone_reports(
        &self,
        now: Moment,
    ) -> Vec<ReplicaReport> {
        let age = self.max_report_age();
        let views = self.replicas.values().map(|view| ReplicaReport {
            start_hash: view.start_hash,
            load: view.zone_load(now, age),
            placed_tokens: view.zone_placed_tokens,
            is_ejected: view.health.is_ejected(now) || view.is_ejected_in_zone(now, age),
        });
        views.filter(ReplicaReport::has_content).collect()
    }

    /// Removes and returns the prompt parts that this router sent to replicas.
    pub fn take_placements(&mut self) -> Vec<PartPlacement> {
        std::mem::take(&mut self.placements)
    }

    /// Removes and returns the shared prompt parts that the routers of this zone sent to
    /// replicas, for other zones.
    pub fn take_zone_placements(&mut self) -> Vec<PartPlacement> {
        std::mem::take(&mut self.zone_placements)
    }

    /// Applies announcements of prompt parts that other routers sent to replicas.
    pub fn apply_placements(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        placements: &[PartPlacement],
    ) {
        for placement in placements {
            if let Some(view) = self.by_start_hash(placement.start_hash) {
                view.cache.record_use(now, placement.part);
            }
            if placement.shared {
                self.shared_parts.insert(placement.part);
            }
            if placement.shared && scope == ReporterScope::Router {
                push_bounded(&mut self.zone_placements, *placement);
            }
        }
    }

    /// This router's evidence on the performance of replicas, for the routers of its zone.
    pub fn evidence(
        &self,
        now: Moment,
    ) -> Vec<ReplicaEvidence> {
        let views = self.replicas.values();
        let evidence = views.map(|view| {
            let own = view.observations.own(now, view.start_hash);
            ReplicaEvidence {
                pace: own
                    .pace
                    .relative_to(self.baseline_pace(&view.entry.service)),
                ..own
            }
        });
        evidence.filter(ReplicaEvidence::has_content).collect()
    }

    /// Applies another router's evidence on the performance of replicas. Impossible figures are
    /// ignored. `peer` is the hash of that router's address.
    pub fn apply_evidence(
        &mut self,
        now: Moment,
        peer: u32,
        evidence: &[ReplicaEvidence],
    ) {
        for evidence in evidence.iter().filter(|evidence| evidence.is_possible()) {
            if let Some(view) = self.by_start_hash(evidence.start_hash) {
                view.observations.apply_peer_evidence(now, peer, *evidence);
            }
        }
        self.refresh_estimates(now);
    }

    /// Latency models of this router, for its peers.
    pub fn latency_reports(&self) -> Vec<LatencyReport> {
        self.latency_models.reports()
    }

    /// Applies a peer's latency models of services of which this router has few samples.
    pub fn apply_latency_reports(
        &mut self,
        reports: &[LatencyReport],
    ) {
        for report in reports {
            let mut services = self.replicas.values().map(|view| &view.entry.service);
            let service = services.find(|name| name_hash(name) == report.service_hash);
            if let Some(service) = service {
                self.latency_models.apply_report(service, report);
            }
        }
    }
}

/// Queues an announcement, or drops it if the queue is full.
pub(super) fn push_bounded(
    queue: &mut Vec<PartPlacement>,
    placement: PartPlacement,
) {
    if queue.len() < MAX_QUEUED_PLACEMENTS {
        queue.push(placement);
    }
}
