/// How a request left its slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Finished {
    Cost(f64), // service units, known now that it ended
    NotRun,    // it never reached the upstream
}
