//! In-process stand-ins for the granted form: the platform's configuration service,
//! a model engine, a plain HTTP service and a service whose answers are framed as told.

mod call_count;
mod chat_body;
mod engine;
mod engine_fault;
mod engine_settings;
mod framed_answer;
mod framed_service;
mod plain_service;
mod platform;
mod platform_faults;
mod prefix_cache;
mod publish_error;
mod run_log;
mod server;
mod values;

pub use {
    chat_body::{ChatBody, ChatMessage},
    engine::Engine,
    engine_fault::EngineFault,
    engine_settings::EngineSettings,
    framed_answer::{AnswerFraming, ConnectionEnd, FramedAnswer},
    framed_service::FramedService,
    plain_service::PlainService,
    platform::Platform,
    platform_faults::PlatformFaults,
    publish_error::PublishError,
    run_log::{Run, RunLog},
    server::{BoundServer, bind_server},
};
