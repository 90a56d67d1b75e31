//! In-flight requests of this router, from their sending to their end.

use {
    super::{ReplicaTable, peer_reports::push_bounded},
    crate::policy::{
        Moment,
        placement::{
            EngineLatency, ExpectedTimes, InFlightId, InFlightRequest, Load, PaceEvidence,
            PartPlacement, SentPrompt,
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
            self.typical_prompts
                .record(now, service, prompt.target_latency, prompt.prefill_tokens);
            if let Some(target_pause) = prompt.target_pause {
                self.target_pauses.record(now, service, target_pause);
            }
            load.prefill_tokens = prompt.prefill_tokens;
            load.kv_tokens = prompt.prefill_tokens + prompt.shape.output_tokens;
            let memory = prompt.engine.kv_capacity_tokens;
            let reserved = load_before.kv_tokens + load.kv_tokens;
            view.cache
                .set_capacity(memory.saturating_sub(u64::from(reserved)));
            view.placed_tokens += u64::from(load.kv_tokens);
            view.zone_placed_tokens += u64::from(load.kv_tokens);
            view.cache.add_placed(u64::from(load.kv_tokens));
            let parts = &prompt.shape.parts;
            for (index, part) in parts.iter().enumerate() {
                view.cache.record_use(now, part.id);
                let placement = PartPlacement {
                    start_hash: view.start_hash,
                    part: part.id,
                    shared: index + 1 < parts.len(),
                };
                push_bounded(&mut self.placements, placement);
                if placement.shared {
                    self.shared_parts.insert(part.id);
                    push_bounded(&mut self.zone_placements, placement);
                }
            }
        }
        let times = self.latency_models.times(&view.entry.service);
        let expected = prompt.map(|prompt| {
            let queue_ms = prompt.queue_ms / view.pace.now;
            ExpectedTimes {
                queue_ms,
                first_ms: times.fixed_ms + times.prefill_ms(prompt.prefill_tokens) + queue_ms,
            }
        });
        view.own_load += load;
        let is_slow =
            view.slow_start.is_slow(now) && self.start_limits.contains_key(&view.entry.service);
        if is_slow {
            view.slow_start.record_send(now);
        }
        let request = InFlightRequest {
            is_counted: is_slow,
            replica: replica.clone(),
            start_hash: view.start_hash,
            sent: now,
            load,
            prefill_tokens: load.prefill_tokens,
            expected,
            overdue: None,
        };
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.insert(id, request);
        self.refresh_estimates(now);
        Some(id)
    }

    /// Records the arrival of the first token of a prompt. Returns the modelled times of the
    /// service's engines if they have changed markedly.
    pub fn first_token(
        &mut self,
        now: Moment,
        id: InFlightId,
    ) -> Option<EngineLatency> {
        let request = self.in_flight.get_mut(&id)?;
        let prefill_tokens = std::mem::take(&mut request.load.prefill_tokens);
        let expected = request.expected.take();
        request.overdue = None;
        let request = request.clone();
        let view = self.replicas.get_mut(&request.replica);
        let view = view.filter(|view| view.start_hash == request.start_hash)?;
        view.own_load.prefill_tokens = view.own_load.prefill_tokens.saturating_sub(prefill_tokens);
        self.record_pace(now, &request, expected?)
    }

    /// Removes a request that ended at its replica, in whatever way.
    pub fn finish(
        &mut self,
        id: InFlightId,
    ) -> Option<InFlightRequest> {
        let request = self.in_flight.remove(&id)?;
        let view = self.replicas.get_mut(&request.replica);
        if let Some(view) = view.filter(|view| view.start_hash == request.start_hash) {
            if let (Some(expected), Some((seen_at, waited))) = (request.expected, request.overdue) {
                let sample = PaceEvidence::sample(waited, expected.first_ms);
                view.observations.pace.record(seen_at, sample);
            }
            view.own_load.running = view.own_load.running.saturating_sub(request.load.running);
            view.own_load.prefill_tokens = view
                .own_load
                .prefill_tokens
                .saturating_sub(request.load.prefill_tokens);
            view.own_load.kv_tokens = view
                .own_load
                .kv_tokens
                .saturating_sub(request.load.kv_tokens);
        }
        Some(request)
    }
}
