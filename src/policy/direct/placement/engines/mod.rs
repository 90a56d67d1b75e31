//! How long model engines take, learnt from what came.

mod engine_model;
mod engine_models;
mod engine_report;
mod engine_times;
mod first_token;
mod usual_readings;

pub use {
    engine_model::EngineModel, engine_models::EngineModels, engine_report::EngineReport,
    engine_times::EngineTimes, first_token::FirstToken, usual_readings::UsualReadings,
};
