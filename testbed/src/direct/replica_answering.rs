//! What a stand-in replica writes.

use {
    super::{ReplicaAnswer, SeenRequest, replica_state::ReplicaState},
    serde_json::json,
    std::{io, sync::atomic::Ordering, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// The answer where it does not say what it keeps.
const REFUSAL: &str = "HTTP/1.1 503 Not Now\r\nContent-Length: 0\r\n\r\n";

/// What it keeps, as an answer.
pub(super) fn list(state: &ReplicaState) -> String {
    if state.list_refused.load(Ordering::SeqCst) {
        return REFUSAL.to_owned();
    }
    let kept = state.kept.lock().expect("lock").clone();
    let body = json!({"epoch": 1, "next_token": 1, "held": kept}).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// What it took in and gave up, as soon as there is something that the asker does not know.
pub(super) async fn events(
    state: &ReplicaState,
    request: &SeenRequest,
) -> String {
    state.events_asked.fetch_add(1, Ordering::SeqCst);
    if state.list_refused.load(Ordering::SeqCst) {
        return REFUSAL.to_owned();
    }
    let since = request.target.rsplit_once('=');
    let since: usize = since.map_or(0, |(_, number)| number.parse().expect("a number"));
    let wait = request.header("wait-ms").parse().expect("milliseconds");
    let mut told = state.events.subscribe();
    let news = told.wait_for(|events| events.len() > since);
    let is_quiet = timeout(Duration::from_millis(wait), news).await.is_err();
    if is_quiet {
        log::debug!("nothing to tell within {wait} ms");
    }
    let all = state.events.borrow().clone();
    let (last, events) = (all.len(), &all[since.min(all.len())..]);
    let body = json!({"epoch": 1, "next_token": last, "lost": false, "events": events});
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A connection, and the header lines that stand in each answer on it.
pub(super) struct Answering<'s> {
    pub stream: &'s mut TcpStream,
    pub said: String,
}

impl Answering<'_> {
    /// Writes an answer, or a part of one.
    pub(super) async fn write(
        &mut self,
        text: &str,
    ) -> io::Result<()> {
        if let Some((status, rest)) = text.split_once("\r\n")
            && status.starts_with("HTTP/1.1 ")
        {
            let text = format!("{status}\r\n{}{rest}", self.said);
            return self.stream.write_all(text.as_bytes()).await;
        }
        self.stream.write_all(text.as_bytes()).await
    }
}

/// Answers one request. False if the connection ends with it.
pub(super) async fn act(
    out: &mut Answering<'_>,
    request: &SeenRequest,
    answer: ReplicaAnswer,
) -> io::Result<bool> {
    let id = request.id();
    match answer {
        ReplicaAnswer::Whole { status, body } => out.write(&whole(id, status, &body)).await?,
        ReplicaAnswer::Slow { body, after } => {
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(after) => out.write(&whole(id, 200, &body)).await?,
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
        ReplicaAnswer::Cut => {
            let text = whole(id, 200, "a whole body of some length");
            out.write(&text[..text.len() - 9]).await?;
            return Ok(false);
        }
        ReplicaAnswer::WrongId => out.write(&whole("another", 200, "not yours")).await?,
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
        ReplicaAnswer::Surplus { body } => {
            let text = whole(id, 200, &body) + &whole(id, 200, "surplus");
            out.write(&text).await?;
        }
        ReplicaAnswer::Events { last, pause } => {
            write_events(out, request, last, pause).await?;
            out.write("0\r\n\r\n").await?;
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

/// How long a replica lives on under a request that ends it later.
const LIVES_ON: Duration = Duration::from_millis(100);

/// How a replica ends under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndManner {
    /// As it begins to run it.
    AtOnce,
    /// Some time later, after a head without proof.
    AfterHead,
    /// Some time later, without a word.
    Later,
}

/// Ends under a request, whoever still waits for it.
pub(super) async fn end(
    state: &ReplicaState,
    out: &mut Answering<'_>,
    request: &SeenRequest,
    manner: EndManner,
) {
    if manner == EndManner::AfterHead {
        let text = format!(
            "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nContent-Length: 9\r\n\r\n",
            request.id()
        );
        if let Err(error) = out.write(&text).await {
            log::debug!("head not written: {error}");
        }
    }
    if manner != EndManner::AtOnce {
        tokio::time::sleep(LIVES_ON).await;
    }
    state.ended.send_replace(true);
}

async fn write_events(
    out: &mut Answering<'_>,
    request: &SeenRequest,
    last: u32,
    pause: Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nArchmast-Replica-Signature: s.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.id(),
        request.header("archmast-expected-replica")
    );
    out.write(&head).await?;
    let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
    for number in first..=last {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        out.write(&chunk(&event(number))).await?;
    }
    Ok(())
}

/// One event as the stand-ins write it.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(
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
