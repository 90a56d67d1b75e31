use {
    crate::policy::placement::{PromptPart, PromptShape},
    hyper::HeaderMap,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Request header that lists the parts of the prompt as `ID:TOKENS`, separated by commas.
pub const PREFIX_HASH_HEADER: &str = "archmast-prefix-hash";

/// Request header with the number of prompt tokens and the limit on generated tokens, separated
/// by a comma.
pub const TOKEN_COUNT_HEADER: &str = "archmast-token-count";

/// Limit on the tokens that a request may state; prompt headers beyond it are ignored. It is
/// some twenty times the KV cache of the largest known engine (784,000 tokens), and low enough
/// that sums over a few requests do not overflow.
const MAX_TOKENS: u64 = 1 << 24;

/// Parses the prompt headers of a request; none if they are missing or invalid.
pub fn prompt_shape(headers: &HeaderMap) -> Option<PromptShape> {
    let parts = headers.get(PREFIX_HASH_HEADER)?.to_str().ok()?;
    let parts = parts.split(',').map(part).collect::<Option<Vec<_>>>()?;
    let counts = headers.get(TOKEN_COUNT_HEADER)?.to_str().ok()?;
    let output_tokens: u32 = counts.split(',').nth(1)?.trim().parse().ok()?;
    let part_tokens = parts.iter().map(|part| u64::from(part.tokens));
    if part_tokens.sum::<u64>() + u64::from(output_tokens) > MAX_TOKENS {
        return None;
    }
    Some(PromptShape {
        parts,
        output_tokens,
    })
}

fn part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().rsplit_once(':')?;
    Some(PromptPart {
        id: part_id(id),
        tokens: tokens.parse().ok()?,
    })
}

/// Parses the hexadecimal ID of a prompt part. Other IDs are hashed.
pub fn part_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
