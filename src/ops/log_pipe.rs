use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Limit of buffered bytes; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Delay before buffered lines are written, so that one call writes many.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Limit of the time for which an ending process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The buffer of the process's logger, once it is started.
static PROCESS_LOG: OnceLock<Arc<Buffer>> = OnceLock::new();

/// Buffers log lines for a thread that writes them. If the reader of the log stops reading, lines
/// are dropped and requests are not delayed.
pub struct LogPipe {
    buffer: Arc<Buffer>,
    dropped: Arc<AtomicU64>, // lines dropped because the buffer was full
}

#[derive(Default)]
struct Buffer {
    lines: Mutex<Lines>,
    changed: Condvar,
}

#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    writing: bool, // the thread is writing lines that it took from `bytes`
}

impl LogPipe {
    /// Starts a thread that writes the lines to `out`, until a write fails.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Arc::new(Buffer::default());
        let shared = buffer.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_batches(&shared, out))?;
        Ok(Self {
            buffer,
            dropped: Arc::default(),
        })
    }

    /// The counter of lines that were dropped because the buffer was full. Whoever reports the
    /// number resets it.
    pub fn dropped_lines(&self) -> Arc<AtomicU64> {
        self.dropped.clone()
    }

    /// Makes [`flush_logs`] wait for this pipe's lines. Only the first call has an effect.
    pub fn set_as_process_log(&self) {
        if PROCESS_LOG.set(self.buffer.clone()).is_err() {
            log::debug!("logging is already started");
        }
    }
}

/// Waits until the lines logged so far are written, but not longer than `FLUSH_TIMEOUT`.
pub fn flush_logs() {
    let Some(buffer) = PROCESS_LOG.get() else {
        return;
    };
    let lines = buffer.lines.lock().expect("log lock");
    let outcome = buffer
        .changed
        .wait_timeout_while(lines, FLUSH_TIMEOUT, |lines| {
            lines.writing || !lines.bytes.is_empty()
        });
    drop(outcome.expect("log lock"));
}

fn write_batches(
    buffer: &Buffer,
    mut out: impl Write,
) {
    loop {
        let lines = buffer.lines.lock().expect("log lock");
        let is_empty = |lines: &mut Lines| lines.bytes.is_empty();
        drop(
            buffer
                .changed
                .wait_while(lines, is_empty)
                .expect("log lock"),
        );
        thread::sleep(BATCH_DELAY);
        let bytes = {
            let mut lines = buffer.lines.lock().expect("log lock");
            lines.writing = true;
            std::mem::take(&mut lines.bytes)
        };
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
        buffer.lines.lock().expect("log lock").writing = false;
        buffer.changed.notify_all();
    }
}

impl Write for LogPipe {
    fn write(
        &mut self,
        line: &[u8],
    ) -> io::Result<usize> {
        let mut lines = self.buffer.lines.lock().expect("log lock");
        if lines.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let is_first = lines.bytes.is_empty();
        lines.bytes.extend_from_slice(line);
        drop(lines);
        if is_first && !line.is_empty() {
            self.buffer.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
