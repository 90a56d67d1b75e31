//! The router process.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast::router::main()
}
