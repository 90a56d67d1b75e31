//! Forwards callers' connections to a neighbour, a less busy router of the same zone, while
//! this router is short of processor time.
//!
//! The load balancer spreads callers by a hash, so a caller that sends more than a small host
//! can serve reaches the same host again and again, also after refusals.

use {
    super::{
        caller_port::count_error, gateway::Gateway, neighbour_connection::connect_to_neighbour,
    },
    crate::codes::{ErrorAnswer, ResultCode},
    std::{io, net::SocketAddr, ops::Range, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Size of the relay buffer for each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// While the router stops, a connection without traffic for this long counts as idle: longer
/// than the pauses within streams.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A neighbour from which nothing came for this long must show that it is still running, or it
/// counts as suspended: as long as the kernel takes to notice a host that has vanished.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// How often a connection is checked for a silent neighbour, and for the end of this router.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A caller's connection that is relayed to a neighbour.
pub struct NeighbourRelay<'g> {
    gateway: &'g Gateway,
    neighbour: SocketAddr, // where it accepts callers
    awaits_answer: bool,   // no byte of the answer to the caller's last bytes arrived
    silent_since: Instant, // the neighbour's last bytes, or a later request
    last_traffic: Instant, // in either direction
}

impl<'g> NeighbourRelay<'g> {
    /// A relay that begins with a request of the caller.
    pub fn new(
        gateway: &'g Gateway,
        neighbour: SocketAddr,
    ) -> Self {
        let now = Instant::now();
        Self {
            gateway,
            neighbour,
            awaits_answer: false,
            silent_since: now,
            last_traffic: now,
        }
    }

    /// Relays bytes in both directions until one end closes. A caller that awaits an answer gets
    /// an error answer if the neighbour closes the connection or stops running.
    pub async fn run(
        mut self,
        mut caller: TcpStream,
        mut connection: TcpStream,
        mut closing: watch::Receiver<bool>,
    ) -> io::Result<()> {
        let (mut caller_read, mut caller_write) = caller.split();
        let (mut neighbour_read, mut neighbour_write) = connection.split();
        let (mut requests, mut answers) = (Buffer::default(), Buffer::default());
        let mut takes_requests = true;
        loop {
            let is_closing = *closing.borrow();
            tokio::select! {
                step = requests.advance(&mut caller_read, &mut neighbour_write), if takes_requests => {
                    match step {
                        Step::Received => self.record_request(),
                        Step::Sent => self.last_traffic = Instant::now(),
                        Step::SourceClosed => return Ok(()),
                        // It may have answered before it closed.
                        Step::TargetClosed => takes_requests = false,
                    }
                }
                step = answers.advance(&mut neighbour_read, &mut caller_write) => match step {
                    Step::Received => self.record_answer(),
                    Step::Sent => self.last_traffic = Instant::now(),
                    Step::SourceClosed => break,
                    Step::TargetClosed => return Ok(()),
                },
                changed = closing.changed(), if !is_closing => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                () = sleep(CHECK_INTERVAL) => {
                    let is_idle = !self.awaits_answer
                        && self.last_traffic.elapsed() >= STOPPING_IDLE_TIMEOUT;
                    if is_closing && is_idle {
                        return Ok(());
                    }
                    // An answer that has begun is delivered whenever the neighbour resumes.
                    if self.awaits_answer && !self.is_neighbour_running().await {
                        break;
                    }
                }
            }
        }
        self.log_lost_neighbour();
        if self.awaits_answer {
            let error = ErrorAnswer::new(ResultCode::OutcomeUnknown);
            count_error(&error);
            caller_write
                .write_all(error_response(&error).as_bytes())
                .await?;
        }
        Ok(())
    }

    fn record_request(&mut self) {
        self.last_traffic = Instant::now();
        if !self.awaits_answer {
            self.awaits_answer = true;
            self.silent_since = self.last_traffic;
        }
    }

    fn record_answer(&mut self) {
        self.last_traffic = Instant::now();
        self.awaits_answer = false;
        self.silent_since = self.last_traffic;
    }

    /// Whether the neighbour's process is running: anything came from it lately, or it answers
    /// on a new connection. The connection itself shows nothing, since the kernel keeps it open.
    async fn is_neighbour_running(&mut self) -> bool {
        if self.silent_since.elapsed() < SILENCE_LIMIT {
            return true;
        }
        let settings = self.gateway.settings();
        let now = self.gateway.now();
        let has_reported =
            self.gateway
                .peers
                .has_recent_report(now, settings.peer_age, self.neighbour);
        if has_reported {
            return true;
        }
        match connect_to_neighbour(settings.caller_listen, self.neighbour).await {
            Ok(_) => {
                self.silent_since = Instant::now();
                true
            }
            Err(error) => {
                log::info!(neighbour = self.neighbour.to_string().as_str(); "neighbour does not answer: {error}");
                false
            }
        }
    }

    fn log_lost_neighbour(&self) {
        log::info!(
            neighbour = self.neighbour.to_string().as_str(),
            silent_ms = self.silent_since.elapsed().as_millis() as u64,
            code = self.awaits_answer.then(|| ResultCode::OutcomeUnknown.number());
            "connection that was handed on ended at the neighbour"
        );
    }
}

/// What happened next in one direction of a relay.
enum Step {
    Received,
    Sent,
    SourceClosed,
    TargetClosed,
}

/// Bytes that were received on one connection and not sent on the other yet.
struct Buffer {
    bytes: Vec<u8>,
    unsent: Range<usize>,
}

impl Default for Buffer {
    fn default() -> Self {
        Self {
            bytes: vec![0; BUFFER_BYTES],
            unsent: 0..0,
        }
    }
}

impl Buffer {
    /// Sends what is left of the last bytes, or receives the next ones. Nothing is lost if the
    /// future is dropped.
    async fn advance(
        &mut self,
        source: &mut (impl AsyncRead + Unpin),
        target: &mut (impl AsyncWrite + Unpin),
    ) -> Step {
        if self.unsent.is_empty() {
            return match source.read(&mut self.bytes).await {
                Ok(0) => Step::SourceClosed,
                Ok(count) => {
                    self.unsent = 0..count;
                    Step::Received
                }
                Err(error) => {
                    log::debug!("connection that was handed on: {error}");
                    Step::SourceClosed
                }
            };
        }
        match target.write(&self.bytes[self.unsent.clone()]).await {
            Ok(0) => Step::TargetClosed,
            Ok(count) => {
                self.unsent.start += count;
                Step::Sent
            }
            Err(error) => {
                log::debug!("connection that was handed on: {error}");
                Step::TargetClosed
            }
        }
    }
}

/// The text of an error answer, after which the connection is closed.
fn error_response(error: &ErrorAnswer) -> String {
    let body = error.to_json("");
    format!(
        "HTTP/1.1 {} Bad Gateway\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        error.status(),
        body.len(),
    )
}
