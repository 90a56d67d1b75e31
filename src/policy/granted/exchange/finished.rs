/// How a request left its slot at the sidecar.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Finished {
    Cost(f64), // it ended, at this cost in service units
    NotRun,    // it never reached the upstream
}
