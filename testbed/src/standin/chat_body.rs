use serde::{Deserialize, Serialize};

/// The fields of a chat-completions request that the stand-in engine reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatBody {
    pub model: String,
    pub messages: Vec<ChatMessage>,
    #[serde(default)]
    pub max_tokens: u32,
    #[serde(default)]
    pub stream: bool,
}

/// One message. The first holds the prompt's prefix, the last the nonce that
/// identifies the request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

impl ChatBody {
    /// A request identified by `nonce` that asks for `tokens` generated tokens.
    pub fn new(
        model: &str,
        prefix: &str,
        nonce: &str,
        tokens: u32,
        stream: bool,
    ) -> Self {
        let message = |role: &str, content: &str| ChatMessage {
            role: role.to_owned(),
            content: content.to_owned(),
        };
        Self {
            model: model.to_owned(),
            messages: vec![message("system", prefix), message("user", nonce)],
            max_tokens: tokens,
            stream,
        }
    }

    /// The nonce with which the caller identifies the request.
    pub fn nonce(&self) -> &str {
        self.messages.last().map_or("", |message| &message.content)
    }

    /// The part of the prompt that other requests may share and engines cache.
    pub fn prefix(&self) -> &str {
        self.messages.first().map_or("", |message| &message.content)
    }

    /// Length of the prompt in tokens, at four bytes per token.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.content.len()).sum();
        (bytes / 4) as u32
    }
}
