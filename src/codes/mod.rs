//! Numbered result codes, the same in HTTP bodies, logs and exit codes.

mod error_answer;
mod fault;
mod ran;
mod result_code;

pub use {error_answer::ErrorAnswer, fault::Fault, ran::Ran, result_code::ResultCode};
