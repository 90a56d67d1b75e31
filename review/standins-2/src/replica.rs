//! A stand-in replica of a plain service: runs each request that names it, and records the runs.

use {
    crate::{http::Message, record::Record},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Option<Record>, // none if its runs are too many for it
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    /// Starts a replica that works on each request for this long.
    pub fn start(
        id: &str,
        ip: &str,
        work: Duration,
        record: &Record,
    ) -> Self {
        Self::start_with(id, ip, work, Some(record.clone()))
    }

    /// The same, whose runs are not written to the record one by one.
    pub fn start_quiet(
        id: &str,
        ip: &str,
        work: Duration,
    ) -> Self {
        Self::start_with(id, ip, work, None)
    }

    fn start_with(
        id: &str,
        ip: &str,
        work: Duration,
        record: Option<Record>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            record,
            runs: Arc::default(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Its entry in the store.
    pub fn entry(
        &self,
        service: &str,
    ) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"richmond-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.address
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }

    fn serve(
        &self,
        mut stream: TcpStream,
    ) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let id = request.header("archmast-attempt-id").to_owned();
            let answer = if request.second_word() == "/health" {
                format!(
                    "HTTP/1.1 200 OK\r\nArchmast-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else if request.header("archmast-expected-replica") != self.id {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nArchmast-Replica-Id: {}\r\nArchmast-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else if id.is_empty() {
                "HTTP/1.1 400 Bad Request\r\nArchmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_owned()
            } else {
                let target = request.second_word().to_owned();
                if let Some(record) = &self.record {
                    record.line(format!("replica {} runs {id} ({target})", self.id));
                }
                let run = Run {
                    id: id.clone(),
                    target,
                };
                self.runs.lock().expect("runs lock").push(run);
                thread::sleep(self.work);
                let body = format!("done {id}");
                format!(
                    "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s.{}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
