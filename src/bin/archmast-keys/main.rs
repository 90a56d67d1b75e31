//! Creates the fleet's certificate authority, and keys for processes and client accounts.

use std::process::ExitCode;

fn main() -> ExitCode {
    archmast::keys::main()
}
