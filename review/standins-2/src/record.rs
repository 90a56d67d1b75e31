//! What was sent, answered and run, with times, for `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(
        &self,
        text: impl AsRef<str>,
    ) {
        let mut file = self.file.lock().expect("record lock");
        writeln!(file, "{:6} ms  {}", self.now_ms(), text.as_ref()).expect("record.txt");
    }
}
