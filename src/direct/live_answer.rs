use {
    super::{
        attempt_end::AttemptEnd, gateway::Gateway, held_work::HeldWork,
        upstream_connection::UpstreamConnection,
    },
    crate::codes::ResultCode,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{body::Incoming, http::response::Parts},
    std::sync::Arc,
};

/// An answer whose head has come, with the connection it comes on. Dropping it
/// before its end closes the connection, so that the replica stops its work.
pub struct LiveAnswer {
    pub head: Parts,
    pub work: HeldWork,
    gateway: Arc<Gateway>,
    body: Incoming,
    connection: Option<UpstreamConnection>, // none once it is given back
}

impl LiveAnswer {
    /// An answer that has begun.
    pub fn new(
        gateway: Arc<Gateway>,
        head: Parts,
        body: Incoming,
        connection: UpstreamConnection,
        work: HeldWork,
    ) -> Self {
        Self {
            head,
            work,
            gateway,
            body,
            connection: Some(connection),
        }
    }

    /// The next bytes of the body; none at its whole end. Code 51 if it is cut.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.gateway
                            .board()
                            .record_answer(self.gateway.now(), self.work.replica());
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    return Err(AttemptEnd::Unknown {
                        code: ResultCode::AnswerCut,
                        detail: error.to_string(),
                    });
                }
                None => {
                    self.end();
                    return Ok(None);
                }
            }
        }
    }

    /// Closes the connection, so that the replica stops.
    pub fn abandon(&mut self) {
        self.connection = None;
    }

    /// The answer was read whole: its connection may serve another request.
    fn end(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.gateway.pool.give_back(self.work.replica(), connection);
        }
    }
}
