//! Experiments with the product's real processes.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast_testbed::command::main()
}
