use {
    super::{EngineLatency, FirstToken, LatencyModel, LatencyReport},
    crate::policy::name_hash,
    std::{collections::HashMap, sync::Arc},
};

/// Samples of a service from which on its model is reported to peers and is not replaced by
/// a peer's model.
const MIN_REPORT_SAMPLES: u64 = 30;

/// Relative change of a service's times for which they are returned again for the log.
const REPORTED_CHANGE: f64 = 0.2;

/// Latency models of all services.
#[derive(Debug, Default)]
pub struct LatencyModels {
    by_service: HashMap<Arc<str>, ServiceModel>,
}

#[derive(Debug, Default)]
struct ServiceModel {
    model: LatencyModel,
    last_returned: Option<EngineLatency>, // by `LatencyModels::record`
}

impl LatencyModels {
    /// Modelled times of a service's engines, from the prior if there is no sample.
    pub fn times(
        &self,
        service: &str,
    ) -> EngineLatency {
        let entry = self.by_service.get(service);
        entry
            .map_or_else(LatencyModel::default, |entry| entry.model)
            .times()
    }

    /// Adds the sample of a first token. Returns the times if they have changed markedly
    /// since they were last returned.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        sample: FirstToken,
    ) -> Option<EngineLatency> {
        let entry = self.by_service.entry(service.clone()).or_default();
        entry.model.record(sample);
        let times = entry.model.times();
        let has_changed = entry
            .last_returned
            .is_none_or(|last| times.differs(&last, REPORTED_CHANGE));
        has_changed.then(|| *entry.last_returned.insert(times))
    }

    /// Reports for peers, of the services with enough samples.
    pub fn reports(&self) -> Vec<LatencyReport> {
        let entries = self.by_service.iter();
        entries
            .filter(|(_, entry)| entry.model.samples() >= MIN_REPORT_SAMPLES)
            .map(|(service, entry)| LatencyReport {
                service_hash: name_hash(service),
                times: entry.model.times(),
                samples: entry.model.samples(),
            })
            .collect()
    }

    /// Takes over a peer's model of a service if this router has few samples of its own.
    pub fn apply_report(
        &mut self,
        service: &Arc<str>,
        report: &LatencyReport,
    ) {
        let entry = self.by_service.entry(service.clone()).or_default();
        if entry.model.samples() < MIN_REPORT_SAMPLES {
            entry.model.restart_from(report);
        }
    }
}
