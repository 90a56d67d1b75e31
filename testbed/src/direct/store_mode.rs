/// How a port of the stand-in store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Well,
    Busy,   // 503
    Many,   // 429
    Silent, // never
}
