use {
    super::{
        answer_reader::{AnswerReader, outcome},
        router::OpenRequest,
    },
    crate::codes::ErrorAnswer,
    bytes::Bytes,
    futures::{Stream, stream},
    std::io,
};

/// How a truncated answer is made visible to a caller that already has its head.
///
/// The HTTP library ends a chunked body cleanly even when its source fails, so the
/// transfer encoding alone does not show that the answer is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TruncationSignal {
    ChatEvent,     // a data event with an error object, as in the chat-completions API
    NamedEvent,    // a server-sent event named `error`
    ContentLength, // fewer bytes than the declared `Content-Length`
}

/// The body of an answer whose head has been sent, partly still unread.
pub struct PartialAnswer {
    pub buffered: Vec<Bytes>, // chunks read before the head was sent
    pub reader: AnswerReader,
    pub signal: TruncationSignal,
    pub open_request: OpenRequest,
}

/// Streams the body of an answer; a truncated one ends with its [`TruncationSignal`].
pub fn answer_stream(answer: PartialAnswer) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let begin = Some((
        answer.buffered.into_iter(),
        answer.reader,
        answer.signal,
        answer.open_request,
    ));
    stream::unfold(begin, |state| async move {
        let (mut buffered, mut reader, signal, open_request) = state?;
        if let Some(chunk) = buffered.next() {
            return Some((Ok(chunk), Some((buffered, reader, signal, open_request))));
        }
        match reader.read_chunk().await {
            Ok(Some(chunk)) => Some((
                Ok(chunk.into()),
                Some((buffered, reader, signal, open_request)),
            )),
            Ok(None) => None,
            Err(state) => {
                let (ran, code) = outcome(state);
                log::warn!(
                    code = code.number(),
                    ran = ran.to_string().as_str(),
                    request_id = open_request.request_id();
                    "answer truncated"
                );
                let error = ErrorAnswer {
                    ran,
                    ..ErrorAnswer::new(code)
                };
                Some((
                    truncation_item(signal, &error, open_request.request_id()),
                    None,
                ))
            }
        }
    })
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
