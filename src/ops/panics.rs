//! Panics are logged and counted like other failures, and end no more than the request that
//! panicked.

use {
    super::PANICS,
    futures::FutureExt,
    std::panic::{AssertUnwindSafe, set_hook, take_hook},
};

/// Logs and counts each panic, besides the text on standard error.
pub fn log_panics() {
    let write_text = take_hook();
    set_hook(Box::new(move |panic| {
        write_text(panic);
        metrics::counter!(PANICS).increment(1);
        let place = panic.location().map(ToString::to_string);
        log::error!(
            place = place.as_deref().unwrap_or("");
            "panicked: {}", panic.payload_as_str().unwrap_or("no message")
        );
    }));
}

/// Runs a future to its end; `None` if it panics.
pub async fn catch_panic<F: Future>(future: F) -> Option<F::Output> {
    AssertUnwindSafe(future).catch_unwind().await.ok()
}
