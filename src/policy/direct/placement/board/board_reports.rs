//! What routers tell each other of replicas: loads, parts placed, engines' times.

use {
    super::ReplicaBoard,
    crate::policy::{
        Moment, Reporter, ReporterScope, name_hash,
        placement::{CacheNote, EngineReport, ReplicaEvidence, ReplicaReport},
    },
};

/// Notes that are kept for peers at most.
const MAX_NOTES: usize = 400;

impl ReplicaBoard {
    /// What others have at some replicas; what they said of the rest stays until
    /// it is old.
    pub fn hear(
        &mut self,
        now: Moment,
        teller: Reporter,
        told: &[ReplicaReport],
    ) {
        let age = self.belief_age();
        for report in told {
            if let Some(view) = self.by_key(report.replica) {
                view.hear(now, age, teller, report);
            }
        }
    }

    /// What this router has at each replica, for its peers.
    pub fn reports(
        &self,
        now: Moment,
    ) -> Vec<ReplicaReport> {
        let views = self.replicas.values().map(|view| ReplicaReport {
            replica: view.start,
            load: view.own,
            placed: view.placed,
            rests: view.health.rests(now),
        });
        views.filter(ReplicaReport::says_something).collect()
    }

    /// What all routers of this zone have at each replica, for other zones.
    pub fn zone_reports(
        &self,
        now: Moment,
    ) -> Vec<ReplicaReport> {
        let age = self.belief_age();
        let views = self.replicas.values().map(|view| ReplicaReport {
            replica: view.start,
            load: view.zone_load(now, age),
            placed: view.placed_by_zone,
            rests: view.health.rests(now) || view.is_avoided_in_zone(now, age),
        });
        views.filter(ReplicaReport::says_something).collect()
    }

    /// Parts that were sent to replicas since this was last asked.
    pub fn take_notes(&mut self) -> Vec<CacheNote> {
        std::mem::take(&mut self.notes)
    }

    /// Shared parts that the routers of this zone sent to replicas since this was
    /// last asked.
    pub fn take_zone_notes(&mut self) -> Vec<CacheNote> {
        std::mem::take(&mut self.zone_notes)
    }

    /// Others sent these parts to replicas.
    pub fn hear_notes(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        notes: &[CacheNote],
    ) {
        for note in notes {
            if let Some(view) = self.by_key(note.replica) {
                view.cache.note(now, note.part);
            }
            if note.shared {
                self.shared_parts.note(note.part);
            }
            if note.shared && scope == ReporterScope::Router {
                keep_note(&mut self.zone_notes, *note);
            }
        }
    }

    /// What this router has seen of how replicas work, for the routers of its zone.
    pub fn evidence(
        &self,
        now: Moment,
    ) -> Vec<ReplicaEvidence> {
        let views = self.replicas.values();
        let seen = views.map(|view| {
            let seen = view.seen.own(now, view.start);
            ReplicaEvidence {
                pace: seen.pace.beside(self.usual_pace(&view.entry.service)),
                ..seen
            }
        });
        seen.filter(ReplicaEvidence::says_something).collect()
    }

    /// A fellow told what it has seen of how replicas work.
    pub fn hear_evidence(
        &mut self,
        now: Moment,
        teller: u32,
        told: &[ReplicaEvidence],
    ) {
        for evidence in told.iter().filter(|evidence| evidence.is_possible()) {
            if let Some(view) = self.by_key(evidence.start) {
                view.seen.hear(now, teller, *evidence);
            }
        }
        self.refresh_beliefs(now);
    }

    /// What this router has learnt of engines, for its peers.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        self.engines.reports()
    }

    /// A peer told what it has learnt of engines.
    pub fn hear_engines(
        &mut self,
        told: &[EngineReport],
    ) {
        for report in told {
            let mut services = self.replicas.values().map(|view| &view.entry.service);
            let named = services.find(|name| name_hash(name) == report.service);
            if let Some(service) = named {
                self.engines.hear(service, report);
            }
        }
    }
}

/// Keeps a note for others if there is room for it.
pub(super) fn keep_note(
    notes: &mut Vec<CacheNote>,
    note: CacheNote,
) {
    if notes.len() < MAX_NOTES {
        notes.push(note);
    }
}
