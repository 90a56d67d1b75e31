//! Numbered result codes, the same in HTTP bodies, logs and exit codes.

mod fault;
mod ran;
mod result_code;

pub use {fault::Fault, ran::Ran, result_code::ResultCode};
