use {crate::codes::ResultCode, std::time::Duration};

/// How an attempt at a replica ended that brought no answer to pass on.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent { detail: String },
    /// No byte was sent, since the replica has just started and bears no more, or said
    /// meanwhile that it wants none; nothing speaks against it.
    Withheld,
    /// The replica said that it did not run the request.
    Refused {
        status: u16,
        retry_after: Option<Duration>,
    },
    /// The request may have run, and its replica answered with a failure.
    Failed { status: u16 },
    /// The request was sent and may have run.
    Unknown { code: ResultCode, detail: String },
}

impl AttemptEnd {
    /// The code for the caller.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NotSent { .. } => ResultCode::UpstreamUnreachable,
            Self::Withheld => ResultCode::NoRoom,
            Self::Refused { .. } => ResultCode::ReplicaRefused,
            Self::Failed { .. } => ResultCode::OutcomeUnknown,
            Self::Unknown { code, .. } => *code,
        }
    }

    /// Whether the connection ended while the request was under way.
    pub fn is_cut(&self) -> bool {
        matches!(
            self,
            Self::Unknown {
                code: ResultCode::OutcomeUnknown | ResultCode::AnswerCut,
                ..
            }
        )
    }

    /// Whether nothing of the attempt goes on at its replica, as far as that lives.
    pub fn is_over_there(&self) -> bool {
        !matches!(self, Self::Unknown { .. }) || self.is_cut()
    }

    /// Whether it is proved that the request did not run.
    pub fn did_not_run(&self) -> bool {
        !matches!(self, Self::Unknown { .. } | Self::Failed { .. })
    }
}
