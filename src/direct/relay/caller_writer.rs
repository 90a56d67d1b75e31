use {
    super::{
        exchange_follower::ExchangeFollower, own_answer::OwnAnswer, progress::Progress,
        relay_buffer::RelayBuffer, step::Step,
    },
    socket2::SockRef,
    std::time::Duration,
    tokio::{io::AsyncRead, net::tcp::WriteHalf},
};

/// The only writer of a caller's connection whose answers come from a neighbour.
///
/// While a close would read as the end of an answer, the connection is set to be reset when it is
/// closed, also by the kernel when this process is killed.
pub struct CallerWriter<'c> {
    caller: WriteHalf<'c>,
    answers: RelayBuffer,
    exchanges: ExchangeFollower,
    has_unasked: bool, // bytes arrived that answer no request
    is_reset_on_close: bool,
}

impl<'c> CallerWriter<'c> {
    /// A connection on which nothing is in progress.
    pub fn new(caller: WriteHalf<'c>) -> Self {
        Self {
            caller,
            answers: RelayBuffer::default(),
            exchanges: ExchangeFollower::default(),
            has_unasked: false,
            is_reset_on_close: false,
        }
    }

    /// What is in progress.
    pub fn progress(&self) -> Progress {
        self.exchanges.progress()
    }

    /// Whether more requests may be read.
    pub fn has_room(&self) -> bool {
        self.exchanges.has_room()
    }

    /// Whether all received bytes were written.
    pub fn is_flushed(&self) -> bool {
        self.answers.unsent().is_empty()
    }

    /// Whether the neighbour sent bytes that answer no request. They are not written.
    pub fn has_unasked_bytes(&self) -> bool {
        self.has_unasked
    }

    /// Takes bytes that the caller sent.
    pub fn follow_request(
        &mut self,
        bytes: &[u8],
    ) {
        self.exchanges.follow_request(bytes);
        self.set_close();
    }

    /// Writes what is left of the neighbour's last bytes, or receives the next ones. Nothing is
    /// lost if the future is dropped.
    pub async fn advance(
        &mut self,
        neighbour: &mut (impl AsyncRead + Unpin),
    ) -> Step {
        let step = self.answers.advance(neighbour, &mut self.caller).await;
        if let Step::Received = step {
            let received = self.answers.unsent();
            let count = self.exchanges.follow_answer(received);
            self.has_unasked = count < received.len();
            self.answers.truncate(count);
            self.set_close();
        }
        step
    }

    /// Gives the connection up for an answer of this router, if one is awaited and nothing of it
    /// was received.
    pub fn into_own_answer(self) -> Option<OwnAnswer<'c>> {
        let is_possible = self.progress().awaits_answer() && self.is_flushed();
        is_possible.then(|| OwnAnswer::new(self.caller))
    }

    /// Lets a close show the end of an answer that has neither a length nor chunks.
    pub fn end_in_order(mut self) {
        self.set_linger(false);
    }

    fn set_close(&mut self) {
        let is_reset = self.progress().may_end_by_close();
        if is_reset != self.is_reset_on_close {
            self.set_linger(is_reset);
        }
    }

    fn set_linger(
        &mut self,
        is_reset_on_close: bool,
    ) {
        self.is_reset_on_close = is_reset_on_close;
        let linger = is_reset_on_close.then_some(Duration::ZERO);
        let socket = SockRef::from(self.caller.as_ref());
        if let Err(error) = socket.set_linger(linger) {
            log::warn!("a cut answer may not be reset: {error}");
        }
    }
}
