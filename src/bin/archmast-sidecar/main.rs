//! The sidecar process.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast::sidecar::main()
}
