/// What a caller's connection is in the middle of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Nothing: each request that came has its answer.
    Idle = 0,
    /// The head of a request, or its body, has not come to its end.
    Receiving = 1,
    /// A request has come to its end, its answer has not.
    Answering = 2,
    /// A request was refused, and the rest of its body is still due.
    Refused = 3,
}

impl Phase {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Idle, Self::Receiving, Self::Answering, Self::Refused];

    /// The phase with this number; `Idle` for others.
    pub fn from_number(number: u8) -> Self {
        let found = Self::ALL.into_iter().find(|phase| *phase as u8 == number);
        found.unwrap_or(Self::Idle)
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Answering => "answering",
            Self::Refused => "refused",
        }
    }
}
