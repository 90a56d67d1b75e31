use {
    crate::policy::placement::{PromptPart, PromptShape},
    hyper::HeaderMap,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Lists the parts of a prompt as ID:TOKENS, separated by commas.
pub const PARTS: &str = "archmast-prefix-hash";

/// Tokens of the prompt and the most to be generated.
pub const COUNTS: &str = "archmast-token-count";

/// Tokens of a request, beyond which what it says is not believed: some twenty times the
/// memory of the largest engine seen (784,000 tokens). Sums of a few such fit their numbers.
const MOST_TOKENS: u64 = 1 << 24;

/// What a request says of its prompt; none if it says nothing that can be read.
pub fn prompt_shape(headers: &HeaderMap) -> Option<PromptShape> {
    let parts = headers.get(PARTS)?.to_str().ok()?;
    let parts = parts.split(',').map(part).collect::<Option<Vec<_>>>()?;
    let counts = headers.get(COUNTS)?.to_str().ok()?;
    let output_tokens: u32 = counts.split(',').nth(1)?.trim().parse().ok()?;
    let named = parts.iter().map(|part| u64::from(part.tokens));
    if named.sum::<u64>() + u64::from(output_tokens) > MOST_TOKENS {
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

/// The number of a part that the platform names in hexadecimal digits.
pub fn part_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
