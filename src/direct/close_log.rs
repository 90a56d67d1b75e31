use {
    super::{close_reason::CloseReason, connection_activity::ConnectionActivity},
    crate::ops::CONNECTIONS_CLOSED,
    std::{net::SocketAddr, sync::Mutex},
};

/// Maximum number of lines a second about closed connections; more are only counted.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Logs the connections of callers that this router closed.
#[derive(Default)]
pub struct CloseLog(Mutex<Window>);

#[derive(Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64, // since the last line
}

impl CloseLog {
    /// Counts a closed connection, and logs it unless too many were logged in this second.
    pub fn record(
        &self,
        from: SocketAddr,
        reason: CloseReason,
        activity: &ConnectionActivity,
    ) {
        metrics::counter!(CONNECTIONS_CLOSED, "reason" => reason.name()).increment(1);
        // The caller expects this close, and may expect one for each request.
        if reason == CloseReason::Requested {
            return;
        }
        let Some(left_out) = self.take_line(activity.uptime_seconds()) else {
            return;
        };
        log::info!(
            caller = from.to_string().as_str(),
            reason = reason.name(),
            idle_ms = activity.idle_ms(),
            in_progress = activity.is_in_progress(),
            unread_bytes = activity.unread_bytes(),
            unparsed_bytes = activity.unparsed_bytes(),
            request_id = activity.last_request_id().as_str(),
            left_out = left_out;
            "connection closed"
        );
    }

    /// The number of lines left out since the last one, if another may be written.
    fn take_line(
        &self,
        second: u64,
    ) -> Option<u64> {
        let mut window = self.0.lock().expect("close log lock");
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}
