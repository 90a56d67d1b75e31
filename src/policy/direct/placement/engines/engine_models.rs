use {
    super::{EngineModel, EngineReport, EngineTimes, FirstToken},
    crate::policy::name_hash,
    std::{collections::HashMap, sync::Arc},
};

/// First tokens after which what was learnt of a service's engines is told.
const ENOUGH_SAMPLES: u64 = 30;

/// A belief is news once it differs by more than this part from the last news.
const NEWS: f64 = 0.2;

/// What is believed of the engines of each service.
#[derive(Debug, Default)]
pub struct EngineModels {
    by_service: HashMap<Arc<str>, Learnt>,
}

#[derive(Debug, Default)]
struct Learnt {
    model: EngineModel,
    told: Option<EngineTimes>, // as of the last news
}

impl EngineModels {
    /// What is believed of the engines of a service.
    pub fn times(
        &self,
        service: &str,
    ) -> EngineTimes {
        let known = self.by_service.get(service);
        known
            .map_or_else(EngineModel::default, |learnt| learnt.model)
            .times()
    }

    /// A first token came. Gives the belief if it is news.
    pub fn learn(
        &mut self,
        service: &Arc<str>,
        seen: FirstToken,
    ) -> Option<EngineTimes> {
        let learnt = self.by_service.entry(service.clone()).or_default();
        learnt.model.learn(seen);
        let times = learnt.model.times();
        let is_news = learnt.told.is_none_or(|told| times.differs(&told, NEWS));
        is_news.then(|| *learnt.told.insert(times))
    }

    /// What was learnt from enough first tokens to be told to peers.
    pub fn reports(&self) -> Vec<EngineReport> {
        let told = self.by_service.iter();
        told.filter(|(_, learnt)| learnt.model.samples() >= ENOUGH_SAMPLES)
            .map(|(service, learnt)| EngineReport {
                service: name_hash(service),
                times: learnt.model.times(),
                samples: learnt.model.samples(),
            })
            .collect()
    }

    /// A peer told what it has learnt of a service. A router that has learnt little
    /// itself begins there.
    pub fn hear(
        &mut self,
        service: &Arc<str>,
        told: &EngineReport,
    ) {
        let learnt = self.by_service.entry(service.clone()).or_default();
        if learnt.model.samples() < ENOUGH_SAMPLES {
            learnt.model.adopt(told);
        }
    }
}
