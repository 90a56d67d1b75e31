use {crate::fleet::GroupKind, serde::Deserialize, std::time::Duration};

/// Prompt bytes per token, an estimate used until the engine reports the number of tokens.
const BYTES_PER_TOKEN: f64 = 4.0;

/// The largest JSON answer that is buffered to read its `usage` field.
const MAX_BUFFERED_BODY_BYTES: usize = 4 << 20;

/// The longest incomplete line of an event stream that is buffered.
const MAX_BUFFERED_LINE_BYTES: usize = 1 << 20;

/// The data of the last event of a chat stream.
const STREAM_END_MARKER: &[u8] = b"[DONE]";

/// Measures a request's cost while its answer is relayed.
pub struct UsageMeter {
    kind: GroupKind,
    prompt_tokens: f64,
    generated_tokens: f64, // the number of events, until the engine reports the tokens
    streamed: bool,
    has_end_marker: bool, // the stream's end marker was read
    pending: Vec<u8>,     // an incomplete line, or the body of an answer that is not streamed
}

#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: f64,
    completion_tokens: f64,
}

impl UsageMeter {
    /// Measures the answer to a request whose body has this size in bytes.
    pub fn new(
        kind: &GroupKind,
        body_len: usize,
    ) -> Self {
        Self {
            kind: kind.clone(),
            prompt_tokens: body_len as f64 / BYTES_PER_TOKEN,
            generated_tokens: 0.0,
            streamed: false,
            has_end_marker: false,
            pending: Vec::new(),
        }
    }

    /// Sets whether the answer is an event stream, once its head is known.
    pub fn set_streamed(
        &mut self,
        streamed: bool,
    ) {
        self.streamed = streamed;
    }

    /// Processes a chunk of the answer.
    pub fn add_chunk(
        &mut self,
        chunk: &[u8],
    ) {
        if !matches!(self.kind, GroupKind::Model { .. }) {
            return;
        }
        if self.pending.len() + chunk.len() <= MAX_BUFFERED_BODY_BYTES {
            self.pending.extend_from_slice(chunk);
        }
        if self.streamed {
            self.read_lines();
        }
    }

    /// Processes the end of the answer.
    pub fn finish(&mut self) {
        if !self.streamed {
            let body = std::mem::take(&mut self.pending);
            self.read_usage(&body);
        }
    }

    /// Whether the answer is complete. A chat stream whose transfer ends without error but
    /// without the end marker was truncated by its engine.
    pub fn is_complete(&self) -> bool {
        let needs_marker = self.streamed && matches!(self.kind, GroupKind::Model { .. });
        self.has_end_marker || !needs_marker
    }

    /// The cost so far in service units; `elapsed` is the time since the request started.
    pub fn units(
        &self,
        elapsed: Duration,
    ) -> f64 {
        match &self.kind {
            GroupKind::Model {
                prompt_weight,
                generated_weight,
                ..
            } => prompt_weight * self.prompt_tokens + generated_weight * self.generated_tokens,
            GroupKind::Plain { second_weight, .. } => second_weight * elapsed.as_secs_f64(),
        }
    }

    fn read_lines(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let mut rest = pending.as_slice();
        while let Some(line_end) = rest.iter().position(|byte| *byte == b'\n') {
            self.read_line(&rest[..line_end]);
            rest = &rest[line_end + 1..];
        }
        if rest.len() <= MAX_BUFFERED_LINE_BYTES {
            self.pending = rest.to_vec();
        }
    }

    fn read_line(
        &mut self,
        line: &[u8],
    ) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == STREAM_END_MARKER {
            self.has_end_marker = true;
            return;
        }
        if contains(data, b"\"usage\"") && self.read_usage(data) {
            return;
        }
        self.generated_tokens += 1.0;
    }

    fn read_usage(
        &mut self,
        json: &[u8],
    ) -> bool {
        let usage = serde_json::from_slice::<Answer>(json)
            .ok()
            .and_then(|answer| answer.usage);
        if let Some(usage) = &usage {
            self.prompt_tokens = usage.prompt_tokens;
            self.generated_tokens = usage.completion_tokens;
        }
        usage.is_some()
    }
}

fn contains(
    text: &[u8],
    pattern: &[u8],
) -> bool {
    text.windows(pattern.len()).any(|window| window == pattern)
}
