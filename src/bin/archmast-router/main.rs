//! The router process. With `--direct` it sends requests to the replicas itself; without it, to the
//! sidecars beside the upstreams.

use {archmast::node::DIRECT_FLAG, std::process::ExitCode};

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(DIRECT_FLAG) {
        archmast::direct::main()
    } else {
        archmast::router::main()
    }
}
