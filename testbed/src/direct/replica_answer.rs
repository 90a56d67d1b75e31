use std::time::Duration;

/// What a stand-in replica does with one request.
#[derive(Debug, Clone)]
pub enum ReplicaAnswer {
    /// A complete answer with the replica's signature.
    Complete { status: u16, body: String },
    /// A complete answer of status 200, after a delay.
    Slow { body: String, after: Duration },
    /// An answer that states that the request was not run.
    NotExecuted { status: u16 },
    /// Closes the connection without answering.
    Close,
    /// Never answers.
    Silent,
    /// Declares more bytes than it sends, then closes the connection.
    Truncated,
    /// An answer with the attempt id of another request.
    WrongId,
    /// An answer of status 200 without a signature.
    Unsigned,
    /// Bytes that are not HTTP.
    Garbage,
    /// A complete answer, followed by a second one to no request.
    ExtraAnswer { body: String },
    /// A stream of events up to number `last`, with `pause` before each. It starts
    /// after the event in `Last-Event-ID`.
    Events { last: u32, pause: Duration },
    /// A stream of events up to number `last` that pauses once, after number `after`.
    EventsPausing {
        after: u32,
        pause: Duration,
        last: u32,
    },
    /// A stream that breaks off in the event after number `after`, with the connection
    /// closed. A resumed stream (with `Last-Event-ID`) is complete up to `last`.
    EventsCut { after: u32, last: u32 },
    /// A stream of events up to number `last` in this framing, complete.
    EventsFramed { framing: Framing, last: u32 },
    /// The same with `pause` before each event.
    EventsPaced {
        framing: Framing,
        last: u32,
        pause: Duration,
    },
    /// A stream that ends after `part` bytes of the event after number `after`, although its
    /// framing calls it complete. A resumed stream is complete up to `last`.
    EventsBroken {
        framing: Framing,
        after: u32,
        part: usize,
        last: u32,
    },
    /// The beginning of an answer without length or chunks, whose connection is reset.
    Reset { body: String },
    /// A stream that stops after event `after` with the connection left open. A resumed
    /// stream is complete up to `last`.
    EventsStall { after: u32, last: u32 },
}

/// How an answer says where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`.
    Length,
    /// Chunks, of which the last is empty.
    Chunks,
    /// Neither: the connection is closed after the body.
    Close,
}

impl Framing {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Close];
}

impl ReplicaAnswer {
    /// A complete answer of status 200 with this body.
    pub fn ok(body: &str) -> Self {
        Self::Complete {
            status: 200,
            body: body.to_owned(),
        }
    }

    /// A stream of events without pauses.
    pub fn events(last: u32) -> Self {
        Self::Events {
            last,
            pause: Duration::ZERO,
        }
    }
}
