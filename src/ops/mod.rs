//! What operators see of a process: logs, metrics, audit trail, health and status.

mod audit_entry;
mod audit_trail;
mod json_log;
mod log_pipe;
mod log_rate;
mod metric_names;
mod operator_port;
mod panics;
mod process_status;
mod uptime;

pub use {
    audit_entry::AuditEntry,
    audit_trail::AuditTrail,
    json_log::start_logging,
    log_pipe::{LogPipe, flush_logs},
    log_rate::LogRate,
    metric_names::*,
    operator_port::{OperatorPort, StatusSource, quiet_config},
    panics::{catch_panic, log_panics},
    process_status::{AccountStatus, HeldStatus, PeerStatus, ProcessStatus},
    uptime::Uptime,
};
