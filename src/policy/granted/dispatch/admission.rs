use crate::codes::ResultCode;

/// What becomes of a request that reached the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Start,
    Ready, // starts when a slot frees up
    Refused(ResultCode),
}
