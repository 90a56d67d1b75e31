use {crate::fleet::GroupKind, serde::Deserialize, std::time::Duration};

/// Bytes of a prompt that count as a token until the engine says better.
const BYTES_PER_TOKEN: f64 = 4.0;

/// The most of a plain JSON answer that is kept to look for its usage.
const KEPT_BODY: usize = 4 << 20;

/// The most of one event's line that is kept.
const KEPT_LINE: usize = 1 << 20;

/// The data of a chat stream's last event.
const END_MARK: &[u8] = b"[DONE]";

/// Measures what a request costs while its answer passes.
pub struct UsageMeter {
    kind: GroupKind,
    prompt_tokens: f64,
    generated_tokens: f64, // counted by events, until the engine's own number
    streamed: bool,
    done: bool,       // the stream's end mark was seen
    pending: Vec<u8>, // an unfinished line, or the body of a plain answer
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
    /// Measures an answer to a request with a body of this size.
    pub fn new(
        kind: &GroupKind,
        body_len: usize,
    ) -> Self {
        Self {
            kind: kind.clone(),
            prompt_tokens: body_len as f64 / BYTES_PER_TOKEN,
            generated_tokens: 0.0,
            streamed: false,
            done: false,
            pending: Vec::new(),
        }
    }

    /// Takes in whether the answer is a stream of events.
    pub fn begin(
        &mut self,
        streamed: bool,
    ) {
        self.streamed = streamed;
    }

    /// Takes in a piece of the answer.
    pub fn chunk(
        &mut self,
        chunk: &[u8],
    ) {
        if !matches!(self.kind, GroupKind::Model { .. }) {
            return;
        }
        if self.pending.len() + chunk.len() <= KEPT_BODY {
            self.pending.extend_from_slice(chunk);
        }
        if self.streamed {
            self.take_lines();
        }
    }

    /// Takes in the end of the answer.
    pub fn end(&mut self) {
        if !self.streamed {
            let body = std::mem::take(&mut self.pending);
            self.take_usage(&body);
        }
    }

    /// Whether the answer ended as its interface has it. A chat stream whose
    /// transfer ends well without its end mark was cut by its engine.
    pub fn is_whole(&self) -> bool {
        let needs_mark = self.streamed && matches!(self.kind, GroupKind::Model { .. });
        self.done || !needs_mark
    }

    /// Service units so far, `elapsed` being the time in the slot.
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

    fn take_lines(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let mut rest = pending.as_slice();
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.take_line(&rest[..end]);
            rest = &rest[end + 1..];
        }
        if rest.len() <= KEPT_LINE {
            self.pending = rest.to_vec();
        }
    }

    fn take_line(
        &mut self,
        line: &[u8],
    ) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == END_MARK {
            self.done = true;
            return;
        }
        if contains(data, b"\"usage\"") && self.take_usage(data) {
            return;
        }
        self.generated_tokens += 1.0;
    }

    fn take_usage(
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
    word: &[u8],
) -> bool {
    text.windows(word.len()).any(|window| window == word)
}
