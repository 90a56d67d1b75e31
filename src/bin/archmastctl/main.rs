//! The operators' command for status, configuration checks and collected logs.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast::ctl::main()
}
