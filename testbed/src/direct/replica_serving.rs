//! The connections of a stand-in replica: reads requests and answers them as scripted.

use {
    super::{
        ReceivedRequest, ReplicaAnswer,
        replica_answering::{
            AnswerWriter, cache_events, cache_list, crash, health_answer, write_answer,
        },
        replica_state::ReplicaState,
    },
    std::{
        collections::HashMap,
        io,
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
    },
};

/// Accepts connections until the replica crashes. Its connections are closed after its listener,
/// as the kernel does for a process that exits.
pub(super) async fn accept(
    state: Arc<ReplicaState>,
    listener: TcpListener,
) {
    let mut exited = state.exited.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = exited.wait_for(|exited| *exited) => break,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("TCP_NODELAY not set: {error}");
        }
        tokio::spawn(serve(state.clone(), stream));
    }
    drop(listener);
    state.listener_closed.send_replace(true);
}

async fn serve(
    state: Arc<ReplicaState>,
    mut stream: TcpStream,
) {
    state.open_connections.fetch_add(1, Ordering::SeqCst);
    state.total_connections.fetch_add(1, Ordering::SeqCst);
    let mut listener_closed = state.listener_closed.subscribe();
    let outcome = tokio::select! {
        outcome = serve_requests(&state, &mut stream) => outcome,
        _ = listener_closed.wait_for(|closed| *closed) => Ok(()),
    };
    state.open_connections.fetch_sub(1, Ordering::SeqCst);
    if let Err(error) = outcome {
        log::debug!("connection of a router failed: {error}");
    }
}

async fn serve_requests(
    state: &ReplicaState,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(stream, &mut buffer).await? {
        state.wait_while_paused().await;
        let mut out = AnswerWriter {
            state,
            stream,
            extra_headers: state.extra_headers.lock().expect("lock").clone(),
            version: state.version.lock().expect("lock").clone(),
        };
        if request.target == "/v1/kv-list" {
            let delay = *state.list_delay.lock().expect("lock");
            tokio::time::sleep(delay).await;
            out.write(&cache_list(state)).await?;
            continue;
        }
        if request.target.starts_with("/v1/kv-events") {
            let answer = cache_events(state, &request).await;
            out.write(&answer).await?;
            continue;
        }
        if request.target == "/health" {
            out.write(&health_answer(state)).await?;
            continue;
        }
        let id = state.id.lock().expect("lock").clone();
        if request.header("archmast-expected-replica") != id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nArchmast-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            out.write(&text).await?;
            continue;
        }
        let backoff = *state.backoff_seconds.lock().expect("lock");
        let mut received = request.clone();
        received.was_run = backoff.is_none();
        state.received.lock().expect("lock").push(received);
        if let Some(seconds) = backoff {
            out.extra_headers += &format!("Retry-After: {seconds}\r\n");
            write_answer(
                &mut out,
                &request,
                ReplicaAnswer::NotExecuted { status: 503 },
            )
            .await?;
            continue;
        }
        let _run = state.begin_run(&request);
        let trigger = state.crash_trigger.lock().expect("lock").clone();
        let trigger = trigger.filter(|(text, _)| {
            request.text().contains(text) || request.header("archmast-prefix-hash").contains(text)
        });
        if let Some((_, timing)) = trigger {
            crash(state, &mut out, &request, timing).await;
            return std::future::pending().await;
        }
        let run = state.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let close_one_in = state.close_one_in.load(Ordering::SeqCst);
        if close_one_in > 0 && run.is_multiple_of(close_one_in) {
            return Ok(());
        }
        let scripted = state.script.lock().expect("lock").pop_front();
        let answer = scripted.unwrap_or_else(|| state.default_answer.lock().expect("lock").clone());
        if !write_answer(&mut out, &request, answer).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads one request, none at the end of the connection. `buffer` holds bytes that were
/// received but not consumed.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.lines();
    let mut words = lines.next().unwrap_or("").split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(ReceivedRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: buffer.drain(..length).collect(),
        arrived: Instant::now(),
        was_run: true,
    }))
}
