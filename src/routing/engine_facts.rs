/// What the configuration tells of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFacts {
    pub memory_tokens: u64, // prompt memory of one engine, shared by running requests and cache
}
