//! The record of a run: what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Arc::new(Mutex::new(
            File::create(path).expect("the record cannot be written"),
        ));
        Self {
            file,
            started: Instant::now(),
        }
    }

    pub fn line(
        &self,
        text: impl AsRef<str>,
    ) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
