use {
    serde::{Deserialize, Serialize},
    std::ops::{AddAssign, SubAssign},
};

/// In-flight load at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub running: u32,        // requests that are not answered completely
    pub prefill_tokens: u32, // uncached prompt tokens of requests without a first token
    pub kv_tokens: u32,      // tokens that running requests occupy or may still generate
}

impl AddAssign for Load {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.running += other.running;
        self.prefill_tokens += other.prefill_tokens;
        self.kv_tokens += other.kv_tokens;
    }
}

impl SubAssign for Load {
    fn sub_assign(
        &mut self,
        other: Self,
    ) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}
