use {
    super::gateway::Gateway,
    crate::{
        callers::{HeldBytes, ReplyBody},
        policy::{
            Moment,
            memory::{MAX_UNREAD_TIME, must_abort_answer},
        },
    },
    bytes::{Bytes, BytesMut},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        collections::VecDeque,
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, Waker},
    },
};

type Piece = Result<Frame<Bytes>, io::Error>;

/// Shorter pieces that are read ahead are joined: each would take far more than its bytes.
const MIN_PIECE_BYTES: usize = 1 << 10;

/// The size of the blocks into which they are joined.
const JOINED_BYTES: usize = 4 << 10;

/// The part of the current answer on a caller's connection that was read from the replica and
/// not yet written to the caller.
///
/// The connection takes pieces as it can send them. While it cannot, the answer is read ahead
/// within the memory budget, as replicas close connections on which nothing is read for some
/// seconds.
pub struct AnswerBuffer {
    gateway: Arc<Gateway>,
    held: HeldBytes, // read and not sent yet, including the connection's write buffer
    last_progress_ms: AtomicU64, // uptime when the caller last read or a backlog began
    is_unframed: AtomicBool, // the caller's protocol knows no chunks
    was_cut: AtomicBool,
    state: Mutex<ReadState>, // locked before all other locks: reading ahead takes them
}

#[derive(Default)]
struct ReadState {
    body: Option<ReplyBody>,   // `None` once it was read to its end
    pieces: VecDeque<Piece>,   // read ahead
    joined: BytesMut,          // short pieces behind them
    is_awaited: bool,          // the connection can send and waits for a piece
    cut_waiter: Option<Waker>, // of the connection, while a cut waits until all was written
    is_flushed: bool,          // all before the waiting cut was written
}

impl AnswerBuffer {
    /// The buffer of a connection without an answer.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        let held = HeldBytes::new(gateway.answer_bytes.clone());
        Arc::new(Self {
            gateway,
            held,
            last_progress_ms: AtomicU64::new(0),
            is_unframed: AtomicBool::new(false),
            was_cut: AtomicBool::new(false),
            state: Mutex::default(),
        })
    }

    /// Records that the caller's protocol knows no chunks: where an answer has no length, the end
    /// of the connection is its end.
    pub fn set_unframed(&self) {
        self.is_unframed.store(true, Ordering::Relaxed);
    }

    /// Whether only a reset of the connection shows the caller that the answer is not whole.
    pub fn must_reset(&self) -> bool {
        let is_partial = self.was_cut.load(Ordering::Relaxed) || !self.is_finished();
        self.is_unframed.load(Ordering::Relaxed) && is_partial
    }

    /// Starts the next answer on the connection.
    pub fn start(
        &self,
        body: ReplyBody,
    ) {
        *self.state() = ReadState {
            body: Some(body),
            ..ReadState::default()
        };
    }

    /// Discards what is left of the answer, at its end or when it is aborted.
    pub fn clear(&self) {
        let discarded = std::mem::take(&mut *self.state());
        let unsent = discarded.held_bytes();
        self.held.subtract(unsent);
    }

    /// The next piece for the connection to send.
    pub fn poll_piece(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Piece>> {
        let mut state = self.state();
        if let Some(piece) = state.pop() {
            return self.deliver(&mut state, context, piece);
        }
        let polled = state.poll(context);
        state.is_awaited = polled.is_pending();
        match polled {
            Poll::Ready(Some(piece)) => {
                self.add_held(length(&piece));
                self.deliver(&mut state, context, piece)
            }
            other => other,
        }
    }

    /// Passes a piece on. The cut of an answer waits until all before it was written, since the
    /// connection discards what it has not written when its answer is cut.
    fn deliver(
        &self,
        state: &mut ReadState,
        context: &Context<'_>,
        piece: Piece,
    ) -> Poll<Option<Piece>> {
        if piece.is_ok() || state.is_flushed {
            self.was_cut.fetch_or(piece.is_err(), Ordering::Relaxed);
            return Poll::Ready(Some(piece));
        }
        state.pieces.push_front(piece);
        state.cut_waiter = Some(context.waker().clone());
        Poll::Pending
    }

    /// Reads the answer ahead while the connection cannot send and the memory budget permits.
    pub fn read_ahead(
        &self,
        context: &mut Context<'_>,
    ) {
        let mut state = self.state();
        if state.body.is_none() || state.is_awaited {
            return;
        }
        let budget = self.gateway.settings().answer_memory;
        while budget.permits(self.held.own(), self.held.others()) {
            let Poll::Ready(Some(piece)) = state.poll(context) else {
                return;
            };
            self.add_held(length(&piece));
            state.push(piece);
        }
    }

    /// Records bytes written to the caller's connection.
    pub fn record_written(
        &self,
        bytes: usize,
    ) {
        self.held.subtract(bytes as u64);
        self.record_progress();
    }

    /// Records that the connection wrote all that it took.
    pub fn record_flushed(&self) {
        let mut state = self.state();
        let waiter = state.cut_waiter.take();
        state.is_flushed |= waiter.is_some();
        drop(state);
        if let Some(waiter) = waiter {
            waiter.wake();
        }
    }

    /// The bytes held if the answer is to be aborted, as its caller reads nothing; `None` if
    /// it is not.
    pub fn aborted_bytes(&self) -> Option<u64> {
        let own = self.held.own();
        if own == 0 {
            return None;
        }
        let last_progress = Moment::from_millis(self.last_progress_ms.load(Ordering::Relaxed));
        let stalled = self.gateway.now().saturating_sub(last_progress);
        let budget = self.gateway.settings().answer_memory;
        must_abort_answer(budget, own, self.held.others(), stalled).then_some(own)
    }

    /// Whether the caller has taken nothing of its answer for so long that it may lose it.
    pub fn is_unread(&self) -> bool {
        let last_progress = Moment::from_millis(self.last_progress_ms.load(Ordering::Relaxed));
        let stalled = self.gateway.now().saturating_sub(last_progress);
        self.held.own() > 0 && stalled >= MAX_UNREAD_TIME
    }

    /// Whether the connection took all pieces of the answer.
    pub fn is_finished(&self) -> bool {
        let state = self.state();
        let is_over = state.body.as_ref().is_none_or(Body::is_end_stream);
        is_over && state.pieces.is_empty() && state.joined.is_empty()
    }

    /// The size of the remaining answer, if known.
    pub fn size(&self) -> SizeHint {
        let state = self.state();
        let read_ahead = state.held_bytes();
        let body = state.body.as_ref();
        let rest = body.map_or(Some(0), |body| body.size_hint().exact());
        rest.map_or_else(SizeHint::default, |rest| {
            SizeHint::with_exact(read_ahead + rest)
        })
    }

    fn add_held(
        &self,
        bytes: u64,
    ) {
        if self.held.add(bytes) {
            self.record_progress();
        }
    }

    fn record_progress(&self) {
        let now = self.gateway.now().as_millis() as u64;
        self.last_progress_ms.store(now, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().expect("answer lock")
    }
}

impl ReadState {
    /// Appends a piece that is read ahead.
    fn push(
        &mut self,
        piece: Piece,
    ) {
        let data = piece.as_ref().ok().and_then(Frame::data_ref);
        let short = data.filter(|data| data.len() < MIN_PIECE_BYTES);
        let room = self.joined.capacity() - self.joined.len();
        if short.is_none_or(|data| data.len() > room) {
            let joined = std::mem::take(&mut self.joined);
            if !joined.is_empty() {
                self.pieces.push_back(Ok(Frame::data(joined.freeze())));
            }
        }
        match short {
            Some(data) => {
                if self.joined.capacity() == 0 {
                    self.joined.reserve(JOINED_BYTES);
                }
                self.joined.extend_from_slice(data);
            }
            None => self.pieces.push_back(piece),
        }
    }

    /// Takes the first piece that was read ahead.
    fn pop(&mut self) -> Option<Piece> {
        self.pieces.pop_front().or_else(|| {
            let joined = std::mem::take(&mut self.joined);
            (!joined.is_empty()).then(|| Ok(Frame::data(joined.freeze())))
        })
    }

    /// The bytes that were read ahead.
    fn held_bytes(&self) -> u64 {
        self.pieces.iter().map(length).sum::<u64>() + self.joined.len() as u64
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Piece>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(body).poll_frame(context);
        if let Poll::Ready(None | Some(Err(_))) = &polled {
            // Releases the replica's connection and load, although pieces may still be unsent.
            self.body = None;
        }
        polled
    }
}

fn length(piece: &Piece) -> u64 {
    let data = piece.as_ref().ok().and_then(Frame::data_ref);
    data.map_or(0, |data| data.len() as u64)
}
