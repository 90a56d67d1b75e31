//! Makes the fleet's authority and its processes' keys.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast::keys::main()
}
