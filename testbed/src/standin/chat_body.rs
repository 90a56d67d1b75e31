use serde::{Deserialize, Serialize};

/// A request of the chat-completions interface, as far as the stand-in cares.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatBody {
    pub model: String,
    pub messages: Vec<ChatMessage>,
    #[serde(default)]
    pub max_tokens: u32,
    #[serde(default)]
    pub stream: bool,
}

/// One message. The first is the prompt's prefix, the last marks the request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

impl ChatBody {
    /// A request marked with `nonce`, for `tokens` generated tokens.
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

    /// What the caller marked the request with.
    pub fn nonce(&self) -> &str {
        self.messages.last().map_or("", |message| &message.content)
    }

    /// The shared beginning of the prompt.
    pub fn prefix(&self) -> &str {
        self.messages.first().map_or("", |message| &message.content)
    }

    /// Prompt tokens, four bytes each.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.content.len()).sum();
        (bytes / 4) as u32
    }
}
