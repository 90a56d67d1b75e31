use {
    super::{
        answer_reader::{AnswerReader, outcome},
        router::HeldRequest,
    },
    bytes::Bytes,
    futures::{Stream, stream},
    std::io,
};

/// The body of an answer as a stream that ends in an error, never early, when
/// the answer is cut. The caller then sees a broken transfer, not a short one.
pub fn answer_stream(
    first: Vec<Bytes>,
    reader: AnswerReader,
    held: HeldRequest,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let begin = (first.into_iter(), reader, held);
    stream::unfold(begin, |(mut first, mut reader, held)| async move {
        if let Some(chunk) = first.next() {
            return Some((Ok(chunk), (first, reader, held)));
        }
        let item = match reader.chunk().await {
            Ok(Some(chunk)) => Ok(chunk.into()),
            Ok(None) => return None,
            Err(state) => {
                let (ran, code) = outcome(state);
                log::warn!(
                    code = code.number(),
                    ran = ran.to_string().as_str(),
                    request_id = held.request_id();
                    "answer cut"
                );
                Err(io::Error::new(io::ErrorKind::ConnectionAborted, code))
            }
        };
        Some((item, (first, reader, held)))
    })
}
