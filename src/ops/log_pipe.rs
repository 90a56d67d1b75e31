use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines that may wait for their writer.
const WAITING_LINES: usize = 1024;

/// Hands log lines to a thread that writes them, so that a reader that stands
/// still costs lines and never holds a request up.
pub struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>, // lines that found no room
}

impl LogPipe {
    /// Starts the thread that writes to `out`.
    pub fn start(mut out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting): (_, Receiver<Vec<u8>>) = sync_channel(WAITING_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                for line in waiting {
                    if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self {
            lines,
            lost: Arc::default(),
        })
    }

    /// The count of lines that found no room.
    pub fn lost(&self) -> Arc<AtomicU64> {
        self.lost.clone()
    }
}

impl Write for LogPipe {
    fn write(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<usize> {
        if !bytes.is_empty() && self.lines.try_send(bytes.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
