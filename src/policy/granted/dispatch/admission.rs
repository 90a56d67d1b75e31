use crate::codes::ResultCode;

/// What happens to a request that reached the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Start,
    Ready, // waits for a free slot
    Refused(ResultCode),
}
