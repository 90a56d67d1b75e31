//! Numbered result codes, the same in HTTP bodies, logs and exit codes.

mod ran;
mod result_code;

pub use {ran::Ran, result_code::ResultCode};
