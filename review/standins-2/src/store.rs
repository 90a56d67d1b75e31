//! A stand-in of the platform's store: kv-key, kv-range and kv-watch as the users' pages tell them.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How long an answer takes, by the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>, // value in base64, revision
    events: Vec<(u64, String)>,             // revision, JSON
}

/// The store. It is never down, slow or compacted.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store at this address, on a free port.
    pub fn start(
        &self,
        ip: &str,
    ) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Writes an item.
    pub fn put(
        &self,
        key: &str,
        value: &str,
    ) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("store lock");
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let event = item(key, &value, revision);
        state.events.push((revision, event));
        state.items.insert(key.to_owned(), (value, revision));
        changed.notify_all();
    }

    fn serve(
        &self,
        mut stream: TcpStream,
    ) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
                if line.trim_end().is_empty() {
                    break;
                }
            }
            let target = first.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body) = self.answer(&target);
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        target: &str,
    ) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameters: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        thread::sleep(ANSWER_TIME);
        match path {
            "/v1/kv-range" => (
                "200 OK",
                self.range(&text("path_prefix"), &text("after_revision")),
            ),
            "/v1/kv-watch" => {
                let after = text("after_revision").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                ("200 OK", self.watch(after, Duration::from_millis(wait)))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(
        &self,
        prefix: &str,
        after: &str,
    ) -> String {
        let state = self.0.0.lock().expect("store lock");
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> String {
        let (state, changed) = &*self.0;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("store lock");
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).expect("store lock").0;
        }
        let events: Vec<&str> = state
            .events
            .iter()
            .filter(|(revision, _)| *revision > after)
            .map(|(_, text)| text.as_str())
            .collect();
        format!(
            "{{\"events\":[{}],\"at\":{}}}",
            events.join(","),
            state.revision
        )
    }
}

fn item(
    key: &str,
    value: &str,
    revision: u64,
) -> String {
    format!(
        "{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(SIGNS[(number >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
