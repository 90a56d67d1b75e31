use {
    super::{
        answer_reader::{AnswerReader, outcome},
        router::HeldRequest,
    },
    crate::codes::ErrorAnswer,
    bytes::Bytes,
    futures::{Stream, stream},
    std::io,
};

/// How a caller is shown that an answer was cut after it had begun.
///
/// The HTTP library ends a chunked body cleanly when its source fails, so the
/// transfer alone would pass a cut answer off as a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMark {
    ChatEvent,  // an event with an error, as the chat-completions interface has it
    NamedEvent, // an event named `error`
    Length,     // the length was declared, so the transfer is visibly short
}

/// What is left of an answer when its head has been sent.
pub struct AnswerRest {
    pub first: Vec<Bytes>, // taken already
    pub reader: AnswerReader,
    pub mark: CutMark,
    pub held: HeldRequest,
}

/// The rest of an answer, with a visible end where it is cut.
pub fn answer_stream(rest: AnswerRest) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let begin = Some((rest.first.into_iter(), rest.reader, rest.mark, rest.held));
    stream::unfold(begin, |state| async move {
        let (mut first, mut reader, mark, held) = state?;
        if let Some(chunk) = first.next() {
            return Some((Ok(chunk), Some((first, reader, mark, held))));
        }
        match reader.chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk.into()), Some((first, reader, mark, held)))),
            Ok(None) => None,
            Err(state) => {
                let (ran, code) = outcome(state);
                log::warn!(
                    code = code.number(),
                    ran = ran.to_string().as_str(),
                    request_id = held.request_id();
                    "answer cut"
                );
                let error = ErrorAnswer {
                    ran,
                    ..ErrorAnswer::new(code)
                };
                Some((cut(mark, &error, held.request_id()), None))
            }
        }
    })
}

fn cut(
    mark: CutMark,
    error: &ErrorAnswer,
    request_id: &str,
) -> io::Result<Bytes> {
    let json = error.to_json(request_id);
    match mark {
        CutMark::ChatEvent => Ok(format!("data: {json}\n\n").into()),
        CutMark::NamedEvent => Ok(format!("event: error\ndata: {json}\n\n").into()),
        CutMark::Length => Err(io::Error::new(io::ErrorKind::ConnectionAborted, error.code)),
    }
}
