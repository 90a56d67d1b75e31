use {
    super::{
        attempt_end::AttemptEnd, gateway::Gateway, in_flight_guard::InFlightGuard,
        upstream_connection::UpstreamConnection,
    },
    crate::{catalog::UpstreamEntry, codes::ResultCode},
    bytes::Bytes,
    hyper::{
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
        http::response::Parts,
    },
    std::{
        future::poll_fn,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
};

/// The media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// An answer whose head was received, with its connection. Dropping it before the end of
/// the body closes the connection, so that the replica stops working on the request.
pub struct LiveAnswer {
    pub head: Parts,
    pub in_flight: InFlightGuard,
    pub ends_with_connection: bool, // the body has neither length nor chunks
    gateway: Arc<Gateway>,
    replica: Arc<UpstreamEntry>,
    body: Incoming,
    connection: Option<UpstreamConnection>, // `None` once it is returned to the pool or closed
}

impl LiveAnswer {
    /// An answer of which only the head was read.
    pub fn new(
        gateway: Arc<Gateway>,
        replica: Arc<UpstreamEntry>,
        mut head: Parts,
        body: Incoming,
        connection: UpstreamConnection,
        in_flight: InFlightGuard,
    ) -> Self {
        // A transfer coding overrides a length, which may be wrong then.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            head.headers.remove(CONTENT_LENGTH);
        }
        let size = body.size_hint().exact();
        let ends_with_connection = size.is_none() && !is_chunked(&head);
        Self {
            head,
            in_flight,
            ends_with_connection,
            gateway,
            replica,
            body,
            connection: Some(connection),
        }
    }

    /// Whether its head says that it is a stream of events; `None` if it names no type.
    pub fn is_event_stream(&self) -> Option<bool> {
        let content_type = self.head.headers.get(CONTENT_TYPE)?;
        let media_type = content_type.as_bytes().split(|byte| *byte == b';').next()?;
        Some(media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
    }

    /// The next bytes of the body; `None` at its end. Fails with
    /// `ResultCode::AnswerCut` if the connection is lost before.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        poll_fn(|context| self.poll_chunk(context)).await
    }

    /// The same as [`Self::next_chunk`], polled.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, AttemptEnd>> {
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.gateway
                            .replica_table()
                            .record_answer(self.gateway.now(), self.in_flight.replica());
                        return Poll::Ready(Ok(Some(data)));
                    }
                }
                Some(Err(error)) => {
                    return Poll::Ready(Err(AttemptEnd::Unknown {
                        code: ResultCode::AnswerCut,
                        detail: error.to_string(),
                    }));
                }
                None => {
                    self.return_connection();
                    return Poll::Ready(Ok(None));
                }
            }
        }
    }

    /// Whether the process of its replica has exited.
    pub async fn has_replica_exited(&self) -> bool {
        let gateway = &self.gateway;
        gateway
            .exit_checks
            .has_exited(&gateway.pool, &self.replica)
            .await
    }

    /// Bytes of it that have arrived and may not have been read yet.
    pub fn arrived_bytes(&self) -> usize {
        let connection = self.connection.as_ref();
        connection.map_or(0, UpstreamConnection::arrived_bytes)
    }

    /// Closes the connection, so that the replica stops working on the request.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Returns the connection to the pool once the body was read to its end.
    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.gateway
                .pool
                .give_back(self.in_flight.replica(), connection);
        }
    }
}

fn is_chunked(head: &Parts) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let last = codings.filter_map(|value| value.to_str().ok()).next_back();
    last.is_some_and(|codings| codings.to_ascii_lowercase().trim().ends_with("chunked"))
}
