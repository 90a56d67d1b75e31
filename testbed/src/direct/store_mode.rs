/// How a port of the stand-in store answers requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Well,
    Busy,   // with status 503
    Many,   // with status 429
    Silent, // does not answer
}
