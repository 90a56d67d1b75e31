use std::time::Duration;

/// What a stand-in replica does with one request.
#[derive(Debug, Clone)]
pub enum ReplicaAnswer {
    /// A whole answer with a signature.
    Whole { status: u16, body: String },
    /// The same, after a time.
    Slow { body: String, after: Duration },
    /// Says that it does not run the request.
    NotExecuted { status: u16 },
    /// Closes the connection without a word.
    Close,
    /// Never answers.
    Silent,
    /// Declares more bytes than it sends, then closes.
    Cut,
    /// Answers another request.
    WrongId,
    /// A success without a signature.
    Unsigned,
    /// Bytes that are no answer.
    Garbage,
    /// A whole answer, and a second one that nobody asked for.
    Surplus { body: String },
    /// Events from the one asked for up to `last`, at this pace.
    Events { last: u32, pause: Duration },
    /// Events up to `after`, a part of one more, and the end of the connection.
    /// A stream that is taken up again is whole up to `last`.
    EventsCut { after: u32, last: u32 },
    /// The same with silence in place of the end.
    EventsStall { after: u32, last: u32 },
}

impl ReplicaAnswer {
    /// A success with this body.
    pub fn ok(body: &str) -> Self {
        Self::Whole {
            status: 200,
            body: body.to_owned(),
        }
    }

    /// All events at once.
    pub fn events(last: u32) -> Self {
        Self::Events {
            last,
            pause: Duration::ZERO,
        }
    }
}
