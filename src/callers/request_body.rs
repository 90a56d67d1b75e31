use {
    bytes::{Bytes, BytesMut},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        hash::{Hash, Hasher},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// The smallest and the largest block of memory that a body is read into.
const MIN_BLOCK_BYTES: usize = 2 << 10;
const MAX_BLOCK_BYTES: usize = 8 << 10;

/// A block is at most this part of what has come before.
const GROWTH_DIVISOR: usize = 8;

/// What a block takes besides its bytes.
const BLOCK_OVERHEAD: usize = 64;

/// The body of a request, read to its end.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    blocks: Arc<[Bytes]>,
    length: usize,
}

/// Collects the pieces of a body that is being read. They are copied: a piece would keep all that
/// was read with it from the connection, whatever its own size.
#[derive(Debug, Default)]
pub struct BodyCollector {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
}

impl BodyCollector {
    /// Appends a piece. `still_due` bytes may follow. Returns how much more memory the
    /// body takes.
    pub fn push(
        &mut self,
        mut piece: &[u8],
        still_due: usize,
    ) -> usize {
        self.length += piece.len();
        let mut taken = 0;
        while !piece.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                // At most what is due, and not much more than has come: an announced length costs
                // its caller nothing.
                let due = piece.len().saturating_add(still_due);
                let wanted = due.min((self.length / GROWTH_DIVISOR).max(MIN_BLOCK_BYTES));
                taken += self
                    .start_block(wanted.clamp(piece.len().min(MAX_BLOCK_BYTES), MAX_BLOCK_BYTES));
                continue;
            }
            let (fitting, rest) = piece.split_at(room.min(piece.len()));
            self.last.extend_from_slice(fitting);
            piece = rest;
        }
        taken
    }

    fn start_block(
        &mut self,
        bytes: usize,
    ) -> usize {
        let block = BytesMut::with_capacity(bytes);
        let full = std::mem::replace(&mut self.last, block);
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        self.last.capacity() + BLOCK_OVERHEAD
    }

    /// The whole body.
    pub fn finish(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        RequestBody {
            blocks: self.full.into(),
            length: self.length,
        }
    }
}

impl RequestBody {
    /// The bytes in one piece.
    pub fn into_bytes(self) -> Bytes {
        match &*self.blocks {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }

    /// A reader of it for one attempt.
    pub fn reader(&self) -> RequestBodyReader {
        RequestBodyReader {
            body: self.clone(),
            next: 0,
            left: self.length,
        }
    }
}

/// Hashes as a slice of the same bytes does, however they are spread over blocks.
impl Hash for RequestBody {
    fn hash<H: Hasher>(
        &self,
        state: &mut H,
    ) {
        state.write_usize(self.length);
        for block in &*self.blocks {
            state.write(block);
        }
    }
}

/// Sends a request's body to a replica; nothing by default.
#[derive(Debug, Default)]
pub struct RequestBodyReader {
    body: RequestBody,
    next: usize, // index of a block
    left: usize, // bytes
}

impl Body for RequestBodyReader {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.body.blocks.get(self.next).cloned();
        let Some(block) = block else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
