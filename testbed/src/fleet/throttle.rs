use {
    super::Process,
    std::{
        marker::PhantomData,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
};

/// The part of each period in which a throttled process is suspended, and the rest.
const SUSPENDED: Duration = Duration::from_millis(91);
const RUNNING: Duration = Duration::from_millis(9);

/// Lets a process run for a small part of the time only, as a scheduler does with a group of
/// processes that has used up its share of each period, until this is dropped.
pub struct Throttle<'p> {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    process: PhantomData<&'p Process>, // alive until the thread has ended
}

impl<'p> Throttle<'p> {
    /// Throttles a process.
    pub fn start(process: &'p Process) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        let signals = process.signals();
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                signals.freeze();
                std::thread::sleep(SUSPENDED);
                signals.thaw();
                std::thread::sleep(RUNNING);
            }
        });
        Self {
            is_stopped,
            thread: Some(thread),
            process: PhantomData,
        }
    }
}

impl Drop for Throttle<'_> {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the throttling thread ends");
        }
    }
}
