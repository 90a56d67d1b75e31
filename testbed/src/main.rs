//! Command-line program for demonstrations, measurements and fault tests with the
//! archmast programs.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast_testbed::command::main()
}
