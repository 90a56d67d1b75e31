//! Numbered result codes, used alike in HTTP bodies, logs and exit codes, and the errors that
//! carry them.

mod error_answer;
mod fault;
mod ran;
mod result_code;

pub use {error_answer::ErrorAnswer, fault::Fault, ran::Ran, result_code::ResultCode};
