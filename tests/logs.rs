//! Logs stay within their rate and never block their writers.

use {
    archmast::ops::{LogPipe, LogRate},
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex, atomic::Ordering},
        time::Duration,
    },
};

const START: Duration = Duration::from_secs(1);

#[test]
fn failures_are_written_before_successes() {
    let mut rate = LogRate::new(100.0, START);
    let successes = (0..500).filter(|_| rate.admit(START, false).is_some());
    assert_eq!(successes.count(), 50);
    let failures = (0..500).filter(|_| rate.admit(START, true).is_some());
    assert_eq!(failures.count(), 50);
}

#[test]
fn dropped_lines_are_counted() {
    let mut rate = LogRate::new(10.0, START);
    let written = (0..25)
        .filter(|_| rate.admit(START, false).is_some())
        .count();
    assert_eq!(written, 5);
    let later = START + Duration::from_secs(1);
    assert_eq!(rate.admit(later, false), Some(20));
    assert_eq!(rate.admit(later, true), Some(0));
}

#[test]
fn a_long_idle_time_allows_no_more_than_one_second_of_lines() {
    let mut rate = LogRate::new(10.0, START);
    let later = START + Duration::from_secs(3600);
    let written = (0..100)
        .filter(|_| rate.admit(later, true).is_some())
        .count();
    assert_eq!(written, 10);
}

/// A reader that blocks until it is released.
struct StuckReader(Arc<(Mutex<bool>, Condvar)>);

impl Write for StuckReader {
    fn write(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<usize> {
        let (is_released, changed) = &*self.0;
        let is_released = is_released.lock().expect("lock");
        drop(
            changed
                .wait_while(is_released, |is_released| !*is_released)
                .expect("lock"),
        );
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_reader_loses_lines_and_blocks_no_writer() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let mut pipe = LogPipe::start(StuckReader(gate.clone())).expect("a thread");
    let dropped = pipe.dropped_lines();
    // Every write returns although nothing is read; if one blocked, this test would not end.
    for number in 0..20_000 {
        writeln!(pipe, "line {number} of many that nobody reads").expect("writing never fails");
    }
    assert!(dropped.load(Ordering::Relaxed) > 5000);
    *gate.0.lock().expect("lock") = true;
    gate.1.notify_all();
}
