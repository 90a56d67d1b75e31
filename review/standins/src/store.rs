//! A stand-in of the platform's store, of which the system only reads.

use {
    crate::http::{Connection, answer},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct State {
    items: BTreeMap<String, (u64, Option<String>)>, // revision and text, by key; `None` once gone
    revision: u64,
}

/// The items, and the port where they are read.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn put(
        &self,
        key: &str,
        text: Option<String>,
    ) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, text));
        changed.notify_all();
        revision
    }

    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        address
    }

    fn serve(
        &self,
        mut connection: Connection,
    ) {
        loop {
            let until = Instant::now() + Duration::from_secs(30);
            let Ok(head) = connection.head(until) else {
                return;
            };
            let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(known, _)| *known == name)
                    .map_or("", |(_, value)| value)
            };
            let prefix = value("path_prefix").replace("%2F", "/");
            let (status, body) = match path {
                "/v1/kv-range" => ("200 OK", self.range(&prefix)),
                "/v1/kv-watch" => {
                    let after = value("after_revision").parse().unwrap_or(0);
                    let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                    ("200 OK", self.watch(&prefix, after, wait))
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let bytes = answer(
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn range(
        &self,
        prefix: &str,
    ) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let present = items.filter(|(_, (_, text))| text.is_some());
        let items: Vec<String> = present.map(item).collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let items = state.items.iter();
            let news = items.filter(|(key, (at, _))| key.starts_with(prefix) && *at > after);
            let mut news: Vec<_> = news.collect();
            news.sort_by_key(|(_, (at, _))| *at);
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let events: Vec<String> = news.into_iter().map(item).collect();
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item((key, (revision, text)): (&String, &(u64, Option<String>))) -> String {
    match text {
        Some(text) => format!(
            "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\
             \"made\":{revision},\"lease\":0}}",
            base64(text.as_bytes())
        ),
        None => format!("{{\"private_key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for index in 0..3 {
            value = value << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = value >> (18 - 6 * index) & 63;
            let is_padding = index > group.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[digit as usize])
            });
        }
    }
    text
}
