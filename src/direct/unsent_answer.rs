use {
    super::{gateway::Gateway, held_bytes::HeldBytes, reply::ReplyBody},
    crate::policy::{Moment, memory::must_abort_answer},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        collections::VecDeque,
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
};

type Piece = Result<Frame<Bytes>, io::Error>;

/// The answer under way on a caller's connection: what of it was read from the replica and
/// not taken by the caller.
///
/// The connection takes pieces as it can send them. While it cannot, the answer is read on
/// within the budget, as replicas cut off what is left unread for some seconds.
pub struct UnsentAnswer {
    gateway: Arc<Gateway>,
    held: HeldBytes,         // read and not sent, by the connection's own buffer too
    taken_at_ms: AtomicU64,  // when the caller last took some, or began to be owed some
    state: Mutex<ReadState>, // locked before all others: reading on takes them
}

#[derive(Default)]
struct ReadState {
    body: Option<ReplyBody>, // none once it is read to its end
    read: VecDeque<Piece>,   // in advance
    awaits_more: bool,       // the connection would send, and nothing has come
}

impl UnsentAnswer {
    /// A connection on which nothing is answered yet.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        let held = HeldBytes::new(gateway.answer_bytes.clone());
        Arc::new(Self {
            gateway,
            held,
            taken_at_ms: AtomicU64::new(0),
            state: Mutex::default(),
        })
    }

    /// The next answer on the connection.
    pub fn begin(
        &self,
        body: ReplyBody,
    ) {
        *self.state() = ReadState {
            body: Some(body),
            ..ReadState::default()
        };
    }

    /// The answer is over, whole or not.
    pub fn end(&self) {
        let ended = std::mem::take(&mut *self.state());
        let unsent: u64 = ended.read.iter().map(length).sum();
        self.held.take(unsent);
    }

    /// The next piece for the connection to send.
    pub fn poll_piece(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Piece>> {
        let mut state = self.state();
        if let Some(piece) = state.read.pop_front() {
            return Poll::Ready(Some(piece));
        }
        let polled = state.poll(context);
        state.awaits_more = polled.is_pending();
        if let Poll::Ready(Some(piece)) = &polled {
            self.hold(length(piece));
        }
        polled
    }

    /// Reads the answer on while the connection cannot send and the budget lasts.
    pub fn read_on(
        &self,
        context: &mut Context<'_>,
    ) {
        let mut state = self.state();
        if state.body.is_none() || state.awaits_more {
            return;
        }
        let budget = self.gateway.settings().answer_memory;
        while budget.permits(self.held.own(), self.held.others()) {
            let Poll::Ready(Some(piece)) = state.poll(context) else {
                return;
            };
            self.hold(length(&piece));
            state.read.push_back(piece);
        }
    }

    /// The caller's connection took so many bytes.
    pub fn note_taken(
        &self,
        bytes: usize,
    ) {
        self.held.take(bytes as u64);
        self.touch();
    }

    /// What is held of an answer that is given up, in bytes; none if it is not.
    pub fn given_up(&self) -> Option<u64> {
        let own = self.held.own();
        if own == 0 {
            return None;
        }
        let taken_at = Moment::from_millis(self.taken_at_ms.load(Ordering::Relaxed));
        let untaken = self.gateway.now().saturating_sub(taken_at);
        let budget = self.gateway.settings().answer_memory;
        must_abort_answer(budget, own, self.held.others(), untaken).then_some(own)
    }

    /// Whether all of it was read.
    pub fn is_read(&self) -> bool {
        let state = self.state();
        let is_over = state.body.as_ref().is_none_or(Body::is_end_stream);
        is_over && state.read.is_empty()
    }

    /// How long it is, as far as that is known.
    pub fn size(&self) -> SizeHint {
        let state = self.state();
        let read: u64 = state.read.iter().map(length).sum();
        let body = state.body.as_ref();
        let rest = body.map_or(Some(0), |body| body.size_hint().exact());
        rest.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(read + rest))
    }

    fn hold(
        &self,
        bytes: u64,
    ) {
        if self.held.add(bytes) {
            self.touch();
        }
    }

    fn touch(&self) {
        let now = self.gateway.now().as_millis() as u64;
        self.taken_at_ms.store(now, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().expect("answer lock")
    }
}

impl ReadState {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Piece>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(body).poll_frame(context);
        if let Poll::Ready(None | Some(Err(_))) = &polled {
            // What was taken for it is free from here on, sent or not.
            self.body = None;
        }
        polled
    }
}

fn length(piece: &Piece) -> u64 {
    let data = piece.as_ref().ok().and_then(Frame::data_ref);
    data.map_or(0, |data| data.len() as u64)
}
