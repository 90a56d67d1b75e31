//! A stand-in replica's connections: each request is read and answered as it was told.

use {
    super::{
        ReplicaAnswer, SeenRequest,
        replica_answering::{Answering, act, end, events, list},
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

/// Takes connections until it ends.
pub(super) async fn accept(
    state: Arc<ReplicaState>,
    listener: TcpListener,
) {
    let mut ended = state.ended.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection delays small pieces: {error}");
        }
        tokio::spawn(serve(state.clone(), stream));
    }
}

async fn serve(
    state: Arc<ReplicaState>,
    mut stream: TcpStream,
) {
    state.open.fetch_add(1, Ordering::SeqCst);
    state.opened.fetch_add(1, Ordering::SeqCst);
    let mut ended = state.ended.subscribe();
    let outcome = tokio::select! {
        outcome = serve_requests(&state, &mut stream) => outcome,
        _ = ended.wait_for(|ended| *ended) => Ok(()),
    };
    state.open.fetch_sub(1, Ordering::SeqCst);
    if let Err(error) = outcome {
        log::debug!("connection of a router: {error}");
    }
}

async fn serve_requests(
    state: &ReplicaState,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = read_request(stream, &mut rest).await? {
        let mut out = Answering {
            stream,
            said: state.said.lock().expect("lock").clone(),
        };
        if request.target == "/v1/kv-list" {
            let wait = *state.list_after.lock().expect("lock");
            tokio::time::sleep(wait).await;
            out.write(&list(state)).await?;
            continue;
        }
        if request.target.starts_with("/v1/kv-events") {
            let answer = events(state, &request).await;
            out.write(&answer).await?;
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
        let rest = *state.rest_seconds.lock().expect("lock");
        let mut seen = request.clone();
        seen.ran = rest.is_none();
        state.seen.lock().expect("lock").push(seen);
        if let Some(seconds) = rest {
            out.said += &format!("Retry-After: {seconds}\r\n");
            act(
                &mut out,
                &request,
                ReplicaAnswer::NotExecuted { status: 503 },
            )
            .await?;
            continue;
        }
        let fatal = state.fatal.lock().expect("lock").clone();
        let fatal = fatal.filter(|(text, _)| request.text().contains(text));
        if let Some((_, manner)) = fatal {
            end(state, &mut out, &request, manner).await;
            return Ok(());
        }
        let run = state.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let cuts_one_in = state.cuts_one_in.load(Ordering::SeqCst);
        if cuts_one_in > 0 && run.is_multiple_of(cuts_one_in) {
            return Ok(());
        }
        let told = state.script.lock().expect("lock").pop_front();
        let answer = told.unwrap_or_else(|| state.usual.lock().expect("lock").clone());
        if !act(&mut out, &request, answer).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads one request; none at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> io::Result<Option<SeenRequest>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(rest).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
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
    while rest.len() < length {
        if stream.read_buf(rest).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(SeenRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: rest.drain(..length).collect(),
        arrived: Instant::now(),
        ran: true,
    }))
}
