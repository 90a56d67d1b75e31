use {
    super::{
        answer_reader::{AnswerReader, outcome},
        event_buffer::EventBuffer,
        router::OpenRequest,
    },
    crate::{
        codes::{ErrorAnswer, Ran, ResultCode},
        policy::RouterExchange,
    },
    bytes::Bytes,
    futures::{Stream, stream},
    std::{io, vec},
};

/// How a truncated answer is made visible to a caller that already has its head.
///
/// Callers of streams know an error as an event; a connection that breaks off tells them less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TruncationSignal {
    ChatEvent,     // a data event with an error object, as in the chat-completions API
    NamedEvent,    // a server-sent event named `error`
    ContentLength, // fewer bytes than the declared `Content-Length`
}

/// The largest event that is held back until it is complete.
const MAX_EVENT_BYTES: usize = 64 << 20;

/// The most comments and blank lines between two events of a stream, in bytes: upstreams send some
/// to keep a connection open, a faulty one sends them without an end.
const MAX_BYTES_BETWEEN_EVENTS: usize = 1 << 20;

/// The body of an answer whose head has been sent, partly still unread.
pub struct PartialAnswer {
    buffered: vec::IntoIter<Bytes>, // chunks read before the head was sent
    reader: AnswerReader,
    events: Option<EventBuffer>, // if the body is a stream of events
    signal: TruncationSignal,
    open_request: OpenRequest,
    is_ended: bool,
}

impl PartialAnswer {
    /// An answer that is forwarded as it arrives.
    pub fn new(
        buffered: Vec<Bytes>,
        reader: AnswerReader,
        signal: TruncationSignal,
        open_request: OpenRequest,
    ) -> Self {
        Self {
            buffered: buffered.into_iter(),
            reader,
            events: None,
            signal,
            open_request,
            is_ended: false,
        }
    }

    /// Forwards complete events only, so that a truncated stream ends before the partial event
    /// and its error is an event of its own.
    pub fn split_events(mut self) -> Self {
        self.events = Some(EventBuffer::default());
        self
    }

    /// Streams the body; a truncated one ends with its [`TruncationSignal`].
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut answer| async move {
            let item = answer.next().await?;
            Some((item, answer))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(chunk) = self.buffered.next() {
            return Some(Ok(chunk));
        }
        while !self.is_ended {
            match self.reader.read_chunk().await {
                Ok(Some(chunk)) => match self.forwardable(chunk) {
                    Ok(Some(bytes)) => return Some(Ok(bytes)),
                    Ok(None) => {}
                    Err(state) => return Some(self.truncate(state)),
                },
                Ok(None) => return self.end(),
                Err(state) => return Some(self.truncate(state)),
            }
        }
        None
    }

    /// The bytes that can be forwarded once this chunk was read: the chunk itself, or the events
    /// that are complete now.
    fn forwardable(
        &mut self,
        chunk: Vec<u8>,
    ) -> Result<Option<Bytes>, RouterExchange> {
        let Some(events) = &mut self.events else {
            return Ok(Some(chunk.into()));
        };
        let complete = events.push(&chunk);
        let is_endless = events.bytes_between_events() > MAX_BYTES_BETWEEN_EVENTS;
        if is_endless || events.held_bytes() > MAX_EVENT_BYTES {
            return Err(self.reader.abort(ResultCode::AnswerTooLarge));
        }
        Ok(complete)
    }

    /// Ends an answer whose framing is complete or has no end of its own. A stream that ended
    /// inside an event is truncated all the same: the upstream broke it off.
    fn end(&mut self) -> Option<io::Result<Bytes>> {
        self.is_ended = true;
        let is_truncated = self.events.as_ref()?.is_inside_event();
        let cut = RouterExchange::Ended(Ran::Unknown, ResultCode::AnswerCut);
        is_truncated.then(|| self.truncate(cut))
    }

    fn truncate(
        &mut self,
        state: RouterExchange,
    ) -> io::Result<Bytes> {
        self.is_ended = true;
        let (ran, code) = outcome(state);
        log::warn!(
            code = code.number(),
            ran = ran.to_string().as_str(),
            request_id = self.open_request.request_id();
            "answer truncated"
        );
        let error = ErrorAnswer {
            ran,
            ..ErrorAnswer::new(code)
        };
        truncation_item(self.signal, &error, self.open_request.request_id())
    }
}

fn truncation_item(
    signal: TruncationSignal,
    error: &ErrorAnswer,
    request_id: &str,
) -> io::Result<Bytes> {
    let json = error.to_json(request_id);
    match signal {
        TruncationSignal::ChatEvent => Ok(format!("data: {json}\n\n").into()),
        TruncationSignal::NamedEvent => Ok(format!("event: error\ndata: {json}\n\n").into()),
        TruncationSignal::ContentLength => {
            Err(io::Error::new(io::ErrorKind::ConnectionAborted, error.code))
        }
    }
}
