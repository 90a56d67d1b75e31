//! In-flight requests of this router, from their sending to their end.

use {
    super::{ReplicaTable, peer_reports::push_bounded},
    crate::policy::{
        Moment,
        placement::{
            PartPlacement, EngineLatency, ExpectedTimes, Load, PaceEvidence, SentPrompt, InFlightRequest, InFlightId,
        },
    },
    std::sync::Arc,
};

impl ReplicaTable {
    /// Records that a request is sent to a replica. Returns none if the replica is not listed.
    pub fn start(
        &mut self,
        now: Moment,
        replica: &Arc<str>,
        prompt: Option<SentPrompt>,
    ) -> Option<InFlightId> {
        let age = self.max_report_age();
        let view = self.replicas.get_mut(replica)?;
        let load_before = view.load(now, age);
        let mut load = Load {
            running: 1,
            ..Load::default()
        };
        if let Some(prompt) = prompt {
            let service = &view.entry.service;
            self.usual.record(now, service, prompt.aim, prompt.reading);
            if let Some(aim) = prompt.pause_aim {
                self.pause_aims.record(now, service, aim);
            }
            load.reading = prompt.reading;
            load.memory = prompt.reading + prompt.shape.output_tokens;
            let memory = prompt.engine.memory_tokens;
            let reserved = load_before.memory + load.memory;
            view.cache.set_room(memory.saturating_sub(u64::from(reserved)));
            view.placed += u64::from(load.memory);
            view.placed_by_zone += u64::from(load.memory);
            view.cache.place(u64::from(load.memory));
            let parts = &prompt.shape.parts;
            for (index, part) in parts.iter().enumerate() {
                view.cache.note(now, part.id);
                let placement = PartPlacement {
                    replica: view.start,
                    part: part.id,
                    shared: index + 1 < parts.len(),
                };
                push_bounded(&mut self.notes, placement);
                if placement.shared {
                    self.shared_parts.insert(part.id);
                    push_bounded(&mut self.zone_notes, placement);
                }
            }
        }
        let times = self.engines.times(&view.entry.service);
        let expected = prompt.map(|prompt| {
            let front_ms = prompt.front_ms / view.pace.now;
            ExpectedTimes {
                front_ms,
                first_ms: times.fixed_ms + times.prefill_ms(prompt.reading) + front_ms,
            }
        });
        view.own += load;
        let is_slow =
            view.start_pace.is_slow(now) && self.start_limits.contains_key(&view.entry.service);
        if is_slow {
            view.start_pace.sent(now);
        }
        let work = InFlightRequest {
            is_counted: is_slow,
            replica: replica.clone(),
            start: view.start,
            sent: now,
            load,
            reading: load.reading,
            expected,
            overdue: None,
        };
        let number = self.next_work;
        self.next_work += 1;
        self.works.insert(number, work);
        self.refresh_estimates(now);
        Some(number)
    }

    /// Records the arrival of the first token of a prompt. Returns the modelled times of the
    /// service's engines if they have changed markedly.
    pub fn first_token(
        &mut self,
        now: Moment,
        number: InFlightId,
    ) -> Option<EngineLatency> {
        let work = self.works.get_mut(&number)?;
        let unread = std::mem::take(&mut work.load.reading);
        let expected = work.expected.take();
        work.overdue = None;
        let work = work.clone();
        let view = self.replicas.get_mut(&work.replica);
        let view = view.filter(|view| view.start == work.start)?;
        view.own.reading = view.own.reading.saturating_sub(unread);
        self.record_pace(now, &work, expected?)
    }

    /// Removes a request that ended at its replica, in whatever way.
    pub fn finish(
        &mut self,
        number: InFlightId,
    ) -> Option<InFlightRequest> {
        let work = self.works.remove(&number)?;
        let view = self.replicas.get_mut(&work.replica);
        if let Some(view) = view.filter(|view| view.start == work.start) {
            if let (Some(expected), Some((seen_at, waited))) = (work.expected, work.overdue) {
                let sample = PaceEvidence::sample(waited, expected.first_ms);
                view.seen.pace.record(seen_at, sample);
            }
            view.own.running = view.own.running.saturating_sub(work.load.running);
            view.own.reading = view.own.reading.saturating_sub(work.load.reading);
            view.own.memory = view.own.memory.saturating_sub(work.load.memory);
        }
        Some(work)
    }
}
