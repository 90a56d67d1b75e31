use {
    super::{AnswerFraming, ConnectionEnd, FramedAnswer, RunLog},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
};

/// Time between the last byte of an answer and the reset of its connection, in which the
/// bytes are received: a reset may overtake bytes that are not.
const RESET_DELAY: Duration = Duration::from_millis(200);

/// An upstream that answers every request with the same bytes, framed as a test says.
pub struct FramedService {
    pub address: SocketAddr,
    pub log: Arc<RunLog>,
    answer: Arc<Mutex<FramedAnswer>>,
    last_head: Arc<Mutex<String>>, // of a request, in lower case
    task: JoinHandle<()>,
}

impl Drop for FramedService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FramedService {
    /// Starts a service on a port that the system chooses. Its answers are empty at first.
    pub async fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let log = Arc::new(RunLog::default());
        let empty = FramedAnswer::new("text/plain", "", AnswerFraming::DeclaredLength(0));
        let answer = Arc::new(Mutex::new(empty));
        let last_head: Arc<Mutex<String>> = Arc::default();
        let (runs, answers, heads) = (log.clone(), answer.clone(), last_head.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let answer = answers.lock().expect("answer lock").clone();
                let (runs, heads) = (runs.clone(), heads.clone());
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, &runs, &heads, &answer).await {
                        log::debug!("connection of a framed service: {error}");
                    }
                });
            }
        });
        Self {
            address,
            log,
            answer,
            last_head,
            task,
        }
    }

    /// Request line and headers of the last request, in lower case.
    pub fn last_head(&self) -> String {
        self.last_head.lock().expect("head lock").clone()
    }

    /// Sets the answer to all further requests.
    pub fn set_answer(
        &self,
        answer: FramedAnswer,
    ) {
        *self.answer.lock().expect("answer lock") = answer;
    }
}

/// Answers one request.
async fn serve(
    stream: TcpStream,
    log: &RunLog,
    last_head: &Mutex<String>,
    answer: &FramedAnswer,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let (mut is_head_request, mut length) = (false, 0);
    let (mut request_id, mut nonce) = (String::new(), String::new());
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        head.push_str(&line.to_ascii_lowercase());
        head.push('\n');
        is_head_request |= line.starts_with("HEAD ");
        if let Some((name, value)) = line.split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.parse().unwrap_or(0),
                "x-request-id" => value.clone_into(&mut request_id),
                "x-nonce" => value.clone_into(&mut nonce),
                _ => {}
            }
        }
    }
    *last_head.lock().expect("head lock") = head;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let number = log.start(&request_id, &nonce, "");
    stream.write_all(&answer.bytes(is_head_request)).await?;
    log.update(number, |run| run.is_complete = true);
    let mut stream = stream.into_inner();
    match answer.end {
        ConnectionEnd::Close => stream.shutdown().await,
        ConnectionEnd::Reset => {
            tokio::time::sleep(RESET_DELAY).await;
            // With a linger time of zero, dropping the connection resets it.
            stream.set_zero_linger()
        }
        ConnectionEnd::Repeats => loop {
            stream.write_all(&answer.body).await?;
        },
        ConnectionEnd::StaysOpen => {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.map(|_| ())
        }
    }
}
