use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes of lines that may wait for their writer.
const WAITING_BYTES: usize = 256 << 10;

/// Lines are gathered this long, so that many cost one call.
const GATHER: Duration = Duration::from_millis(50);

/// How long a process that ends waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// The lines of this process's logger, once it is started.
static STARTED: OnceLock<Arc<Waiting>> = OnceLock::new();

/// Hands log lines to a thread that writes them, so that a reader that stands
/// still costs lines and never holds a request up.
pub struct LogPipe {
    waiting: Arc<Waiting>,
    lost: Arc<AtomicU64>, // lines that found no room
}

#[derive(Default)]
struct Waiting {
    lines: Mutex<Lines>,
    changed: Condvar,
}

#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    writing: bool, // some are on their way out
}

impl LogPipe {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let waiting = Arc::new(Waiting::default());
        let gathered = waiting.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_gathered(&gathered, out))?;
        Ok(Self {
            waiting,
            lost: Arc::default(),
        })
    }

    /// The count of lines that found no room.
    pub fn lost(&self) -> Arc<AtomicU64> {
        self.lost.clone()
    }

    /// Lets [`flush_logs`] wait for this pipe's lines.
    pub fn is_the_process_log(&self) {
        if STARTED.set(self.waiting.clone()).is_err() {
            log::debug!("logging was started before");
        }
    }
}

/// Waits, within a bound, until the lines logged so far are written.
pub fn flush_logs() {
    let Some(waiting) = STARTED.get() else { return };
    let lines = waiting.lines.lock().expect("log lock");
    let outcome = waiting
        .changed
        .wait_timeout_while(lines, LAST_LINES, |lines| {
            lines.writing || !lines.bytes.is_empty()
        });
    drop(outcome.expect("log lock"));
}

fn write_gathered(
    waiting: &Waiting,
    mut out: impl Write,
) {
    loop {
        let lines = waiting.lines.lock().expect("log lock");
        let none_yet = |lines: &mut Lines| lines.bytes.is_empty();
        drop(
            waiting
                .changed
                .wait_while(lines, none_yet)
                .expect("log lock"),
        );
        thread::sleep(GATHER);
        let bytes = {
            let mut lines = waiting.lines.lock().expect("log lock");
            lines.writing = true;
            std::mem::take(&mut lines.bytes)
        };
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
        waiting.lines.lock().expect("log lock").writing = false;
        waiting.changed.notify_all();
    }
}

impl Write for LogPipe {
    fn write(
        &mut self,
        line: &[u8],
    ) -> io::Result<usize> {
        let mut lines = self.waiting.lines.lock().expect("log lock");
        if lines.bytes.len() + line.len() > WAITING_BYTES {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let is_first = lines.bytes.is_empty();
        lines.bytes.extend_from_slice(line);
        drop(lines);
        if is_first && !line.is_empty() {
            self.waiting.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
