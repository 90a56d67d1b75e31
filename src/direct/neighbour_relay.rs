//! Forwards callers' connections to a neighbour, a less busy router of the same zone, while
//! this router is short of processor time.
//!
//! The load balancer spreads callers by a hash, so a caller that sends more than a small host
//! can serve reaches the same host again and again, also after refusals.

use {
    super::{
        caller_port::count_error,
        gateway::Gateway,
        neighbour_probe::probe_neighbour,
        probe_outcome::ProbeOutcome,
        relay::{CallerWriter, CloseCause, Progress, RelayBuffer, Step},
        sockets::unread_bytes,
    },
    crate::{
        callers::CallerSlot,
        codes::{ErrorAnswer, ResultCode},
        policy::{callers::Phase, memory::MAX_UNREAD_TIME},
    },
    futures::future::BoxFuture,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// While the router stops, how long a connection must have been idle before it is closed: a caller
/// may send its next request right after an answer.
const STOPPING_IDLE_TIME: Duration = Duration::from_millis(500);

/// A neighbour that owes an answer and sent nothing for this long must show that it is still
/// running. With the probes that follow, a suspended one is given up about as soon as the kernel
/// notices a host that has vanished.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Number of probes in a row without any answer after which a neighbour counts as suspended: a
/// process that is short of processor time may miss one.
const MAX_FAILED_PROBES: u32 = 3;

/// How often a connection is checked for a silent neighbour, and for the end of this router.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What relaying takes: its buffers and those of the second connection.
const RELAY_BYTES: u64 = 24 << 10;

/// The descriptors of the caller's connection and of the one to the neighbour.
const RELAY_DESCRIPTORS: usize = 2;

/// A caller's connection that is relayed to a neighbour.
pub struct NeighbourRelay<'g> {
    gateway: &'g Gateway,
    slot: &'g CallerSlot,
    neighbour: SocketAddr, // where it accepts callers
    silent_since: Instant, // the neighbour's last sign of life, or a later request
    last_traffic: Instant, // in either direction
    failed_probes: u32,    // in a row
}

impl<'g> NeighbourRelay<'g> {
    /// A relay that begins with a request of the caller.
    pub fn new(
        gateway: &'g Gateway,
        slot: &'g CallerSlot,
        neighbour: SocketAddr,
    ) -> Self {
        let now = Instant::now();
        slot.set_request(RELAY_BYTES);
        slot.set_descriptors(RELAY_DESCRIPTORS);
        Self {
            gateway,
            slot,
            neighbour,
            silent_since: now,
            last_traffic: now,
            failed_probes: 0,
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
        let address = caller.peer_addr()?;
        let (mut caller_read, caller_write) = caller.split();
        let (mut neighbour_read, mut neighbour_write) = connection.split();
        let mut requests = RelayBuffer::default();
        let mut answers = CallerWriter::new(caller_write);
        let mut takes_requests = true;
        let mut probe: Option<BoxFuture<'static, ProbeOutcome>> = None;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let cause = loop {
            let is_closing = *closing.borrow();
            self.slot.set_phase(phase(answers.progress()));
            tokio::select! {
                step = requests.advance(&mut caller_read, &mut neighbour_write),
                    if takes_requests && answers.has_room() =>
                {
                    self.last_traffic = Instant::now();
                    match step {
                        Step::Received => {
                            if !answers.progress().awaits_answer() {
                                self.silent_since = self.last_traffic;
                            }
                            answers.follow_request(requests.unsent());
                        }
                        Step::Sent => {}
                        Step::SourceClosed | Step::SourceFailed => break CloseCause::CallerClosed,
                        // It may have answered before it closed.
                        Step::TargetClosed => takes_requests = false,
                    }
                }
                step = answers.advance(&mut neighbour_read) => match step {
                    Step::Received => {
                        self.last_traffic = Instant::now();
                        self.record_sign_of_life();
                        probe = None;
                        if answers.has_unasked_bytes() && answers.is_flushed() {
                            break CloseCause::UnaskedBytes;
                        }
                    }
                    Step::Sent => {
                        self.last_traffic = Instant::now();
                        if answers.has_unasked_bytes() && answers.is_flushed() {
                            break CloseCause::UnaskedBytes;
                        }
                    }
                    Step::SourceClosed => break CloseCause::NeighbourClosed,
                    Step::SourceFailed => break CloseCause::NeighbourFailed,
                    Step::TargetClosed => break CloseCause::CallerClosed,
                },
                changed = closing.changed(), if !is_closing => {
                    if changed.is_err() {
                        break CloseCause::Stopping;
                    }
                }
                outcome = async { probe.as_mut().expect("a probe").await }, if probe.is_some() => {
                    probe = None;
                    self.record_probe(outcome);
                    if self.failed_probes >= MAX_FAILED_PROBES {
                        break CloseCause::NeighbourSilent;
                    }
                }
                _ = checks.tick(), if is_closing || answers.progress() != Progress::Idle => {
                    if answers.progress() != Progress::RequestInPart
                        && unread_bytes(caller_read.as_ref()) > 0
                    {
                        self.slot.set_sent_more();
                    }
                    self.slot.set_answer_unread(
                        !answers.is_flushed() && self.last_traffic.elapsed() >= MAX_UNREAD_TIME,
                    );
                    let is_at_rest = requests.unsent().is_empty() && answers.is_flushed();
                    let is_idle = is_at_rest
                        && answers.progress() == Progress::Idle
                        && self.last_traffic.elapsed() >= STOPPING_IDLE_TIME;
                    // A request may have arrived that was not read yet.
                    if is_closing && is_idle && unread_bytes(caller_read.as_ref()) == 0 {
                        break CloseCause::Stopping;
                    }
                    // An answer that has begun is delivered whenever the neighbour resumes.
                    let awaits_answer = answers.is_flushed() && answers.progress().awaits_answer();
                    if awaits_answer && probe.is_none() && self.is_neighbour_silent() {
                        let own_address = self.gateway.settings().caller_listen;
                        probe = Some(Box::pin(probe_neighbour(own_address, self.neighbour)));
                    }
                }
            }
        };
        let unread = unread_bytes(caller_read.as_ref()) + requests.unsent().len() as u64;
        self.log_end(address, cause, answers.progress(), unread);
        self.end(cause, answers).await
    }

    /// Ends what the neighbour left unfinished. An answer in part is left as it is.
    async fn end(
        &self,
        cause: CloseCause,
        answers: CallerWriter<'_>,
    ) -> io::Result<()> {
        match cause {
            CloseCause::CallerClosed | CloseCause::UnaskedBytes | CloseCause::Stopping => {}
            _ if answers.progress().awaits_answer() => {
                let error = ErrorAnswer::new(ResultCode::OutcomeUnknown);
                if let Some(answer) = answers.into_own_answer() {
                    count_error(&error);
                    answer.send(&error).await?;
                }
            }
            CloseCause::NeighbourClosed
                if answers.progress().may_end_by_close() && self.has_closed_in_order().await =>
            {
                answers.end_in_order();
            }
            _ => {}
        }
        Ok(())
    }

    /// Whether the neighbour closed its connection by its own decision: the kernel closes those of
    /// a killed process in the same way, but its listener too. A router that stops closes its
    /// listener as well, and resets what it does not finish.
    async fn has_closed_in_order(&self) -> bool {
        if self.gateway.peers.is_leaving(self.neighbour.ip()) {
            return true;
        }
        let own_address = self.gateway.settings().caller_listen;
        probe_neighbour(own_address, self.neighbour).await == ProbeOutcome::Answered
    }

    fn record_sign_of_life(&mut self) {
        self.silent_since = Instant::now();
        self.failed_probes = 0;
    }

    /// Whether nothing shows that the neighbour's process runs: neither bytes on this connection,
    /// which the kernel would keep open for it, nor a report.
    fn is_neighbour_silent(&mut self) -> bool {
        if self.silent_since.elapsed() < SILENCE_LIMIT {
            return false;
        }
        let settings = self.gateway.settings();
        let now = self.gateway.now();
        let peers = &self.gateway.peers;
        let has_reported = peers.has_recent_report(now, settings.peer_age, self.neighbour);
        if has_reported {
            self.failed_probes = 0;
        }
        !has_reported
    }

    fn record_probe(
        &mut self,
        outcome: ProbeOutcome,
    ) {
        match outcome {
            // Its listener is closed, as it is stopping: the kernel has not closed its connections.
            ProbeOutcome::Answered | ProbeOutcome::Refused => self.record_sign_of_life(),
            ProbeOutcome::Silent => self.failed_probes += 1,
        }
    }

    fn log_end(
        &self,
        caller: SocketAddr,
        cause: CloseCause,
        progress: Progress,
        unread_bytes: u64,
    ) {
        if cause == CloseCause::CallerClosed && progress == Progress::Idle {
            return;
        }
        let is_lost = !matches!(
            cause,
            CloseCause::CallerClosed | CloseCause::UnaskedBytes | CloseCause::Stopping
        );
        let code = (is_lost && progress.awaits_answer()).then_some(ResultCode::OutcomeUnknown);
        log::info!(
            caller = caller.to_string().as_str(),
            neighbour = self.neighbour.to_string().as_str(),
            cause = cause.name(),
            in_progress = progress.name(),
            idle_ms = self.last_traffic.elapsed().as_millis() as u64,
            silent_ms = self.silent_since.elapsed().as_millis() as u64,
            unread_bytes = unread_bytes,
            code = code.map(ResultCode::number);
            "connection that was handed on ended"
        );
    }
}

/// What a caller's connection is in the middle of.
fn phase(progress: Progress) -> Phase {
    match progress {
        Progress::Idle => Phase::Idle,
        Progress::RequestInPart => Phase::Receiving,
        Progress::AnswerAwaited | Progress::AnswerInPart(_) | Progress::Unknown => Phase::Answering,
    }
}
