/// Properties of the model engines of a service, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    pub kv_capacity_tokens: u64, // KV cache of one engine, for running requests and cached prompts
    pub kv_bytes_per_token: f64, // size of one token's KV cache entry; 0 if unknown
    pub link_mbps: f64, // of the links for KV cache transfers between engines; 0 if unknown
    pub can_transfer_kv: bool, // whether engines may fetch KV cache entries from each other
}
