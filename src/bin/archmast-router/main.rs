//! The router process. With `--direct` it carries requests to the replicas
//! itself; without, to the sidecars beside them.

use {archmast::node::DIRECT_FLAG, std::process::ExitCode};

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(DIRECT_FLAG) {
        archmast::direct::main()
    } else {
        archmast::router::main()
    }
}
