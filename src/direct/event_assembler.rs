use {
    super::{attempt_end::AttemptEnd, event_splitter::EventSplitter, gateway::Gateway},
    crate::{
        callers::HeldBytes, codes::ResultCode, ops::OVERSIZED_EVENTS,
        policy::memory::permits_partial_event,
    },
    bytes::Bytes,
    std::sync::Arc,
};

/// Assembles the whole events of one stream from the bytes of its replicas. The part of an event
/// that is held until it is whole is bounded, and counted in the memory budget of answers.
pub struct EventAssembler {
    gateway: Arc<Gateway>,
    splitter: EventSplitter,
    held: HeldBytes, // the bytes after the last whole event
}

impl EventAssembler {
    /// An assembler for a stream that begins.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        let held = HeldBytes::new(gateway.answer_bytes.clone());
        Self {
            gateway,
            splitter: EventSplitter::default(),
            held,
        }
    }

    /// Appends bytes and returns the events that are complete now, concatenated. Fails with
    /// `ResultCode::AnswerTooLarge` if no event is, and more is held than may be.
    pub fn push(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<Bytes>, AttemptEnd> {
        let events = self.splitter.push(bytes);
        self.count_partial();
        let budget = self.gateway.settings().answer_memory;
        let (own, others) = (self.held.own(), self.held.others());
        if events.is_some() || permits_partial_event(budget, own, others) {
            return Ok(events);
        }
        metrics::counter!(OVERSIZED_EVENTS).increment(1);
        self.discard_partial();
        Err(AttemptEnd::Unknown {
            code: ResultCode::AnswerTooLarge,
            detail: format!("no end of an event in {own} bytes, {others} held for others"),
        })
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.splitter.is_inside_event()
    }

    /// Takes the bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        let rest = self.splitter.take_partial();
        self.count_partial();
        rest
    }

    /// Discards the bytes after the last whole event, as another replica resumes the stream.
    pub fn discard_partial(&mut self) {
        self.splitter.discard_partial();
        self.count_partial();
    }

    /// Updates the count of the bytes after the last whole event.
    fn count_partial(&self) {
        let bytes = self.splitter.partial_bytes() as u64;
        let counted = self.held.own();
        if bytes > counted {
            self.held.add(bytes - counted);
        } else if bytes < counted {
            self.held.subtract(counted - bytes);
        }
    }
}
