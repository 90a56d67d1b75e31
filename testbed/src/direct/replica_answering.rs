//! The answers that a stand-in replica writes.

use {
    super::{Framing, ReceivedRequest, ReplicaAnswer, replica_state::ReplicaState},
    serde_json::json,
    std::{
        io,
        ops::RangeInclusive,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The answer to cache requests while they are refused.
const CACHE_REFUSAL: &str = "HTTP/1.1 503 Not Now\r\nContent-Length: 0\r\n\r\n";

/// The answer to a request for the list of cached parts.
pub(super) fn cache_list(state: &ReplicaState) -> String {
    if state.refuses_cache_requests.load(Ordering::SeqCst) {
        return CACHE_REFUSAL.to_owned();
    }
    let parts = state.cached_parts.lock().expect("lock").clone();
    let body = json!({"epoch": 1, "next_token": 1, "held": parts}).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The answer to a long poll for cache events: the events after the number at the end of
/// the request's target, as soon as there are any or the request's waiting time is over.
pub(super) async fn cache_events(
    state: &ReplicaState,
    request: &ReceivedRequest,
) -> String {
    state.event_requests.fetch_add(1, Ordering::SeqCst);
    if state.refuses_cache_requests.load(Ordering::SeqCst) {
        return CACHE_REFUSAL.to_owned();
    }
    let since = request.target.rsplit_once('=');
    let since: usize = since.map_or(0, |(_, number)| number.parse().expect("a number"));
    let wait = request.header("wait-ms").parse().expect("milliseconds");
    let mut changes = state.cache_events.subscribe();
    let new_event = changes.wait_for(|events| events.len() > since);
    let is_timeout = timeout(Duration::from_millis(wait), new_event)
        .await
        .is_err();
    if is_timeout {
        log::debug!("no new cache event within {wait} ms");
    }
    let all = state.cache_events.borrow().clone();
    let (last, events) = (all.len(), &all[since.min(all.len())..]);
    let body = json!({"epoch": 1, "next_token": last, "lost": false, "events": events});
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The answer to a health check: its id, and how long it is still slow, if it is.
pub(super) fn health_answer(state: &ReplicaState) -> String {
    let id = state.id.lock().expect("lock").clone();
    let slow_until = *state.slow_until.lock().expect("lock");
    let remaining = slow_until.map(|until| until.saturating_duration_since(Instant::now()));
    let slow = remaining.filter(|remaining| !remaining.is_zero());
    let slow = slow.map_or_else(String::new, |slow| {
        format!("Archmast-Cold-Ms: {}\r\n", slow.as_millis())
    });
    format!("HTTP/1.1 200 OK\r\nArchmast-Replica-Id: {id}\r\n{slow}Content-Length: 0\r\n\r\n")
}

/// Writes answers on a connection, adding header lines to each of them.
pub(super) struct AnswerWriter<'s> {
    pub state: &'s ReplicaState,
    pub stream: &'s mut TcpStream,
    pub extra_headers: String,
    pub version: Option<String>, // of the replica's software, told in its events if set
}

impl AnswerWriter<'_> {
    /// Writes an answer or a part of one, after the replica's pause if there is one. Text that
    /// begins with a status line gets the extra headers.
    pub(super) async fn write(
        &mut self,
        text: &str,
    ) -> io::Result<()> {
        let state = self.state;
        self.wait_unless_closed(state.wait_while_paused()).await?;
        if let Some((status, rest)) = text.split_once("\r\n")
            && status.starts_with("HTTP/1.1 ")
        {
            let text = format!("{status}\r\n{}{rest}", self.extra_headers);
            return self.stream.write_all(text.as_bytes()).await;
        }
        self.stream.write_all(text.as_bytes()).await
    }

    /// Works for this long on the next part of an answer.
    async fn work_for(
        &self,
        time: Duration,
    ) -> io::Result<()> {
        self.wait_unless_closed(sleep(time)).await
    }

    /// Waits for `awaited`. Fails as soon as the router closes the connection.
    async fn wait_unless_closed(
        &self,
        awaited: impl Future<Output = ()>,
    ) -> io::Result<()> {
        tokio::select! {
            biased;
            () = awaited => Ok(()),
            () = wait_until_closed(self.stream) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Returns when the router has closed the connection.
async fn wait_until_closed(stream: &TcpStream) {
    if matches!(stream.peek(&mut [0]).await, Ok(count) if count > 0) {
        // The end of the connection cannot be seen before these bytes are read.
        std::future::pending().await
    }
}

/// Answers one request. Returns false if the connection is to be closed afterwards.
pub(super) async fn write_answer(
    out: &mut AnswerWriter<'_>,
    request: &ReceivedRequest,
    answer: ReplicaAnswer,
) -> io::Result<bool> {
    let id = request.attempt_id();
    match answer {
        ReplicaAnswer::Complete { status, body } => {
            out.write(&signed_answer(id, status, &body)).await?
        }
        ReplicaAnswer::Slow { body, after } => {
            let mut byte = [0];
            tokio::select! {
                () = sleep(after) => out.write(&signed_answer(id, 200, &body)).await?,
                _ = out.stream.read(&mut byte) => return Ok(false),
            }
        }
        ReplicaAnswer::NotExecuted { status } => {
            let text = format!(
                "HTTP/1.1 {status} Not Now\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            out.write(&text).await?;
        }
        ReplicaAnswer::Close => return Ok(false),
        ReplicaAnswer::Silent => {
            wait_for_close(out.stream).await;
            return Ok(false);
        }
        ReplicaAnswer::Truncated => {
            let text = signed_answer(id, 200, "a whole body of some length");
            out.write(&text[..text.len() - 9]).await?;
            return Ok(false);
        }
        ReplicaAnswer::WrongId => {
            out.write(&signed_answer("another", 200, "not yours"))
                .await?
        }
        ReplicaAnswer::Unsigned => {
            let text = format!(
                "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
            );
            out.write(&text).await?;
        }
        ReplicaAnswer::Garbage => {
            out.write("\0\0 this is no answer \r\n\r\n").await?;
            return Ok(false);
        }
        ReplicaAnswer::ExtraAnswer { body } => {
            let text = signed_answer(id, 200, &body) + &signed_answer(id, 200, "surplus");
            out.write(&text).await?;
        }
        ReplicaAnswer::Events { last, pause } => {
            write_events(out, request, last, pause).await?;
            out.write("0\r\n\r\n").await?;
        }
        ReplicaAnswer::EventsFramed { framing, last } => {
            let body = event_texts(first_event(request)..=last);
            return write_framed_events(out, request, framing, &body).await;
        }
        ReplicaAnswer::EventsPaced {
            framing,
            last,
            pause,
        } => return write_paced_events(out, request, framing, last, pause).await,
        ReplicaAnswer::EventsBroken {
            framing,
            after,
            part,
            last,
        } => {
            let first = first_event(request);
            let body = if first > 1 {
                event_texts(first..=last)
            } else {
                event_texts(first..=after) + &event(after + 1)[..part]
            };
            return write_framed_events(out, request, framing, &body).await;
        }
        ReplicaAnswer::Reset { body } => {
            let text = format!(
                "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s.1\r\n\r\n{body}"
            );
            out.write(&text).await?;
            // With a linger time of zero, closing the connection resets it, and what is still
            // unsent is lost: the answer has arrived once this end has no bytes left to send.
            sleep(RESET_DELAY).await;
            out.stream.set_zero_linger()?;
            return Ok(false);
        }
        ReplicaAnswer::EventsCut { last, .. } | ReplicaAnswer::EventsStall { last, .. }
            if !request.header("last-event-id").is_empty() =>
        {
            write_events(out, request, last, Duration::ZERO).await?;
            out.write("0\r\n\r\n").await?;
        }
        ReplicaAnswer::EventsCut { after, .. } => {
            write_events(out, request, after, Duration::ZERO).await?;
            out.write(&chunk(&format!("id: {}\ndata: pa", after + 1)))
                .await?;
            return Ok(false);
        }
        ReplicaAnswer::EventsStall { after, .. } => {
            write_events(out, request, after, Duration::ZERO).await?;
            wait_for_close(out.stream).await;
            return Ok(false);
        }
    }
    Ok(true)
}

/// Time from the last byte of an answer to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(150);

/// Time from the start of the run to a delayed crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// Bytes of the first event that a replica sends which crashes in its answer, and the length that
/// the answer states, where it states one.
const CRASH_BYTES: usize = 4;
const LENGTH_OF_CRASHED: usize = 500;

/// When a replica crashes that runs a request which crashes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashTiming {
    /// When it starts to run the request.
    Immediate,
    /// After a delay, having sent an answer's head without a signature.
    AfterHead,
    /// After a delay, having sent nothing.
    Delayed,
    /// After a delay, having sent the head of a stream in this framing and the first bytes of its
    /// first event.
    InAnswer { framing: Framing },
}

/// Crashes while it runs this request, also if the router has closed the connection.
pub(super) async fn crash(
    state: &ReplicaState,
    out: &mut AnswerWriter<'_>,
    request: &ReceivedRequest,
    timing: CrashTiming,
) {
    if timing == CrashTiming::AfterHead {
        let text = format!(
            "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nContent-Length: 9\r\n\r\n",
            request.attempt_id()
        );
        if let Err(error) = out.write(&text).await {
            log::debug!("head of the answer not written: {error}");
        }
    }
    if let CrashTiming::InAnswer { framing } = timing {
        let body = &event(1)[..CRASH_BYTES];
        let head = events_head(request, framing, LENGTH_OF_CRASHED);
        let text = match framing {
            Framing::Chunks => head + &chunk(body),
            Framing::Length | Framing::Close => head + body,
        };
        if let Err(error) = out.write(&text).await {
            log::debug!("beginning of the answer not written: {error}");
        }
    }
    if timing != CrashTiming::Immediate {
        sleep(CRASH_DELAY).await;
    }
    state.exited.send_replace(true);
}

/// Writes the head of a stream and its events, from the one after `Last-Event-ID` up to
/// `last`.
async fn write_events(
    out: &mut AnswerWriter<'_>,
    request: &ReceivedRequest,
    last: u32,
    pause: Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nArchmast-Replica-Signature: s.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.attempt_id(),
        request.header("archmast-expected-replica")
    );
    out.write(&head).await?;
    for number in first_event(request)..=last {
        if !pause.is_zero() {
            out.work_for(pause).await?;
        }
        let event = event_of_version(number, out.version.as_deref());
        out.write(&chunk(&event)).await?;
    }
    Ok(())
}

/// Writes a stream of events in this framing. Returns false if the connection is to be closed
/// afterwards.
async fn write_framed_events(
    out: &mut AnswerWriter<'_>,
    request: &ReceivedRequest,
    framing: Framing,
    body: &str,
) -> io::Result<bool> {
    out.write(&events_head(request, framing, body.len()))
        .await?;
    match framing {
        Framing::Chunks if body.is_empty() => out.write("0\r\n\r\n").await?,
        Framing::Chunks => out.write(&(chunk(body) + "0\r\n\r\n")).await?,
        Framing::Length | Framing::Close => out.write(body).await?,
    }
    Ok(framing != Framing::Close)
}

/// The same with a pause before each event.
async fn write_paced_events(
    out: &mut AnswerWriter<'_>,
    request: &ReceivedRequest,
    framing: Framing,
    last: u32,
    pause: Duration,
) -> io::Result<bool> {
    let numbers = first_event(request)..=last;
    let length = event_texts(numbers.clone()).len();
    out.write(&events_head(request, framing, length)).await?;
    for number in numbers {
        out.work_for(pause).await?;
        match framing {
            Framing::Chunks => out.write(&chunk(&event(number))).await?,
            Framing::Length | Framing::Close => out.write(&event(number)).await?,
        }
    }
    if framing == Framing::Chunks {
        out.write("0\r\n\r\n").await?;
    }
    Ok(framing != Framing::Close)
}

/// The head of a stream of events in this framing, whose length is stated if the framing does so.
fn events_head(
    request: &ReceivedRequest,
    framing: Framing,
    length: usize,
) -> String {
    let framing_header = match framing {
        Framing::Length => format!("Content-Length: {length}\r\n"),
        Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Close => String::new(),
    };
    format!(
        "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nArchmast-Replica-Signature: s.{}\r\nContent-Type: text/event-stream\r\n{framing_header}\r\n",
        request.attempt_id(),
        request.header("archmast-expected-replica")
    )
}

/// The number of the first event that a request asks for.
fn first_event(request: &ReceivedRequest) -> u32 {
    request.header("last-event-id").parse().unwrap_or(0) + 1
}

fn event_texts(numbers: RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

/// The text of the event with this number, as stand-in replicas write it.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// The same as [`event`], where the event tells the version of its replica's software, if set.
pub fn event_of_version(
    number: u32,
    version: Option<&str>,
) -> String {
    match version {
        None => event(number),
        Some(version) => format!("id: {number}\ndata: piece {number} of {version}\n\n"),
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn signed_answer(
    id: &str,
    status: u16,
    body: &str,
) -> String {
    format!(
        "HTTP/1.1 {status} Answer\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn wait_for_close(stream: &mut TcpStream) {
    let mut bytes = [0; 64];
    while matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {}
}
