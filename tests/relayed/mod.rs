//! Requests and answers on one connection, and what is in progress after some of their bytes.

use {
    archmast::direct::{AnswerEnd, Progress},
    proptest::prelude::*,
};

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    Close,
}

/// An answer of a drawn conversation.
#[derive(Debug, Clone)]
pub struct Answer {
    status: u16, // with a body if 200
    framing: Framing,
    body: Vec<usize>, // lengths of chunks, none of them 0
    interim: usize,
}

/// A request of a drawn conversation, and its answer.
#[derive(Debug, Clone)]
pub struct Exchange {
    is_head: bool,
    has_blank_line: bool, // before it
    body: Option<(Framing, Vec<usize>)>,
    answer: Answer,
}

/// Exchanges of one connection. The last answer may end with the connection.
pub fn any_conversation() -> impl Strategy<Value = Vec<Exchange>> {
    let exchanges = prop::collection::vec(any_exchange(), 1..6);
    (exchanges, any::<bool>()).prop_map(|(mut exchanges, ends_by_close)| {
        if let Some(last) = exchanges.last_mut()
            && ends_by_close
        {
            last.answer.framing = Framing::Close;
        }
        exchanges
    })
}

fn any_exchange() -> impl Strategy<Value = Exchange> {
    let body = || prop::collection::vec(1usize..40, 0..4);
    let framing = || prop_oneof![Just(Framing::Length), Just(Framing::Chunks)];
    let status = prop_oneof![6 => Just(200u16), 1 => Just(204u16), 1 => Just(304u16)];
    let answer = (status, framing(), body(), 0usize..3);
    let request = (any::<bool>(), prop::option::of((framing(), body())));
    (prop::bool::weighted(0.2), request, answer).prop_map(|(is_head, request, answer)| Exchange {
        is_head,
        has_blank_line: request.0,
        body: request.1.filter(|_| !is_head),
        answer: Answer {
            status: answer.0,
            framing: answer.1,
            body: answer.2,
            interim: answer.3,
        },
    })
}

/// Header lines and a body, of which each byte is `fill`.
fn framed(
    framing: Framing,
    chunks: &[usize],
    fill: &str,
) -> (String, String) {
    let length: usize = chunks.iter().sum();
    match framing {
        Framing::Length => (format!("Content-Length: {length}\r\n"), fill.repeat(length)),
        Framing::Close => (String::new(), fill.repeat(length)),
        Framing::Chunks => {
            let text = chunks
                .iter()
                .map(|size| format!("{size:X};x=1\r\n{}\r\n", fill.repeat(*size)));
            let body = text.collect::<String>() + "0\r\nx-trailer: 1\r\n\r\n";
            ("transfer-encoding: gzip, Chunked\r\n".to_owned(), body)
        }
    }
}

/// The places of one exchange in the bytes of its connection.
#[derive(Debug, Clone)]
struct Places {
    request_start: usize,
    request_head_end: usize,
    request_end: usize,
    answer_starts: Vec<usize>, // of the interim heads and of the answer
    answer_head_end: usize,
    answer_end: usize,
    ends_by_close: bool,
}

/// The bytes of a drawn conversation, and its progress after some of them.
#[derive(Debug, Clone, Default)]
pub struct Conversation {
    pub requests: Vec<u8>,
    pub answers: Vec<u8>,
    places: Vec<Places>,
}

impl Conversation {
    pub fn new(exchanges: &[Exchange]) -> Self {
        let mut conversation = Self::default();
        for (index, exchange) in exchanges.iter().enumerate() {
            conversation.push(index, exchange);
        }
        conversation
    }

    fn push(
        &mut self,
        index: usize,
        exchange: &Exchange,
    ) {
        let requests = &mut self.requests;
        if exchange.has_blank_line {
            requests.extend_from_slice(b"\r\n");
        }
        let request_start = requests.len();
        let (headers, body) = exchange
            .body
            .as_ref()
            .map(|(framing, chunks)| framed(*framing, chunks, "q"))
            .unwrap_or_default();
        let method = if exchange.is_head { "HEAD" } else { "POST" };
        requests.extend(format!("{method} /{index} HTTP/1.1\r\nHost: a\r\n{headers}\r\n").bytes());
        let request_head_end = requests.len();
        requests.extend(body.bytes());
        let answer = &exchange.answer;
        let mut answer_starts = vec![self.answers.len()];
        for _ in 0..answer.interim {
            self.answers
                .extend_from_slice(b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n");
            answer_starts.push(self.answers.len());
        }
        let fill = char::from(b'a' + index as u8).to_string();
        let (headers, body) = framed(answer.framing, &answer.body, &fill);
        let has_body = answer.status == 200 && !exchange.is_head;
        self.answers
            .extend(format!("HTTP/1.1 {} Answer\r\n{headers}\r\n", answer.status).bytes());
        let answer_head_end = self.answers.len();
        if has_body {
            self.answers.extend(body.bytes());
        }
        self.places.push(Places {
            request_start,
            request_head_end,
            request_end: self.requests.len(),
            answer_starts,
            answer_head_end,
            answer_end: self.answers.len(),
            ends_by_close: has_body && answer.framing == Framing::Close,
        });
    }

    /// How many bytes of answers a server may send that received this many bytes of requests: it
    /// may answer before it has read a body.
    pub fn answerable(
        &self,
        requested: usize,
    ) -> usize {
        let answerable = self.places.iter().rev();
        let last = answerable
            .clone()
            .find(|places| places.request_head_end <= requested);
        last.map_or(0, |places| places.answer_end)
    }

    /// What is in progress after this many bytes of requests and of answers.
    pub fn progress(
        &self,
        requested: usize,
        answered: usize,
    ) -> Progress {
        let is_open = |places: &&Places| places.ends_by_close || places.answer_end > answered;
        let Some(places) = self.places.iter().find(is_open) else {
            return Progress::Idle;
        };
        if places.ends_by_close && answered >= places.answer_head_end {
            return Progress::AnswerInPart(AnswerEnd::Close);
        }
        let has_begun = answered > places.answer_starts[0];
        if has_begun && !places.answer_starts.contains(&answered) {
            return Progress::AnswerInPart(AnswerEnd::Framed);
        }
        match requested {
            requested if requested <= places.request_start => Progress::Idle,
            requested if requested < places.request_end => Progress::RequestInPart,
            _ => Progress::AnswerAwaited,
        }
    }
}
