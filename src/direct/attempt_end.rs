use {crate::codes::ResultCode, std::time::Duration};

/// How an attempt ended that gave no answer to relay to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent { detail: String },
    /// No byte was sent: the replica is at its slow start limit, or announced since it was
    /// chosen that it takes no requests. Not counted as a failure of the replica.
    Withheld,
    /// The replica answered that it did not run the request.
    Refused {
        status: u16,
        retry_after: Option<Duration>,
    },
    /// The replica answered with an error status, and the request may have run.
    Failed { status: u16 },
    /// The request was sent, no valid answer came, and it may have run.
    Unknown { code: ResultCode, detail: String },
}

impl AttemptEnd {
    /// The end of an attempt whose replica did not send `awaited` in time.
    pub fn timed_out(
        awaited: &str,
        waited: Duration,
    ) -> Self {
        Self::Unknown {
            code: ResultCode::UpstreamTimeout,
            detail: format!("no {awaited} in {} ms", waited.as_millis()),
        }
    }

    /// The result code that the caller gets.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NotSent { .. } => ResultCode::UpstreamUnreachable,
            Self::Withheld => ResultCode::NoRoom,
            Self::Refused { .. } => ResultCode::ReplicaRefused,
            Self::Failed { .. } => ResultCode::OutcomeUnknown,
            Self::Unknown { code, .. } => *code,
        }
    }

    /// Whether the connection was lost while the request was in progress.
    pub fn is_connection_lost(&self) -> bool {
        matches!(
            self,
            Self::Unknown {
                code: ResultCode::OutcomeUnknown | ResultCode::AnswerCut,
                ..
            }
        )
    }

    /// Whether the replica, if it is alive, has stopped working on the request.
    pub fn has_stopped_at_replica(&self) -> bool {
        !matches!(self, Self::Unknown { .. }) || self.is_connection_lost()
    }

    /// Whether it is certain that the request did not run.
    pub fn did_not_run(&self) -> bool {
        !matches!(self, Self::Unknown { .. } | Self::Failed { .. })
    }
}
