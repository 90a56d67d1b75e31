//! A caller whose connection is relayed to a neighbour reads the bytes of the neighbour's answers,
//! and an answer of the router itself only where none of the neighbour's has begun.

mod relayed;

use {
    archmast::{
        catalog::Catalog,
        conf::{DirectSettings, IniDocument},
        direct::{AnswerEnd, Gateway, NeighbourRelay, Progress},
        platform::{dialect, parse_config, parse_replica},
    },
    proptest::prelude::*,
    relayed::{Conversation, any_conversation},
    std::{io, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

const SETTINGS: &str = "\
[process]
host = r1
zone = z
[callers]
listen = 127.0.0.1:1
[ready]
listen = 127.0.0.1:2
[operator]
listen = 127.0.0.1:3
[peers]
listen = 127.0.0.1:4
news = 127.0.0.1:5
[catalog]
address = 127.0.0.1:6
";

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The answer to a probe of a router that runs and refuses callers.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// The beginning and the end of an answer of the router itself.
const OWN_ANSWER: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n";
const JSON_END: &[u8] = b"}";

/// More than a router waits before it asks a silent neighbour for a sign of life, and before it
/// takes a neighbour that gives none for suspended.
const LONG_SILENCE: Duration = Duration::from_secs(7);

/// How long a test waits for what does not come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Both ends of a relayed connection.
struct Relayed {
    caller: TcpStream,
    neighbour: TcpStream,
    listener: TcpListener, // the neighbour's, to which probes come
    closing: watch::Sender<bool>,
    relay: JoinHandle<io::Result<()>>,
}

/// A connection, as seen by the process that opened it and the one that accepted it.
async fn connected(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let address = listener.local_addr().expect("an address");
    let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (opened, accepted) = (opened.expect("connects"), accepted.expect("accepts").0);
    for stream in [&opened, &accepted] {
        stream.set_nodelay(true).expect("a socket option");
    }
    (opened, accepted)
}

async fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.expect("a free port")
}

impl Relayed {
    async fn start() -> Self {
        let document = IniDocument::parse("direct.ini", SETTINGS).expect("settings");
        let settings = DirectSettings::from_document(document).expect("settings");
        let catalog = Arc::new(Catalog::new(parse_config, parse_replica));
        let gateway = Gateway::new(settings, dialect(), catalog);
        let (caller, accepted) = connected(&listener().await).await;
        let listener = listener().await;
        let (opened, neighbour) = connected(&listener).await;
        let address = listener.local_addr().expect("an address");
        let (closing, is_closing) = watch::channel(false);
        let relay = tokio::spawn(async move {
            let slot = gateway.callers.open().await.expect("room");
            let relay = NeighbourRelay::new(&gateway, &slot, address);
            relay.run(accepted, opened, is_closing).await
        });
        Self {
            caller,
            neighbour,
            listener,
            closing,
            relay,
        }
    }

    /// Passes a request on, up to the neighbour.
    async fn request(
        &mut self,
        bytes: &[u8],
    ) {
        self.caller.write_all(bytes).await.expect("sent");
        let mut received = vec![0; bytes.len()];
        let reading = self.neighbour.read_exact(&mut received);
        let read = timeout(PATIENCE, reading).await.expect("relayed");
        read.expect("received");
        assert_eq!(received, bytes);
    }

    /// Passes an answer on, up to the caller.
    async fn answer(
        &mut self,
        bytes: &[u8],
    ) {
        self.neighbour.write_all(bytes).await.expect("sent");
        let mut received = vec![0; bytes.len()];
        let reading = self.caller.read_exact(&mut received);
        let read = timeout(PATIENCE, reading).await.expect("relayed");
        read.expect("received");
        assert_eq!(received, bytes);
    }

    /// Answers the neighbour's probes from now on as a router that refuses callers, after a delay.
    async fn refuse_probes(
        &mut self,
        delay: Duration,
    ) -> JoinHandle<()> {
        let probed = std::mem::replace(&mut self.listener, listener().await);
        tokio::spawn(refuse_probes(probed, delay))
    }

    /// What the caller reads until its connection ends, and whether that is reset.
    async fn read_to_end(mut self) -> (Vec<u8>, bool) {
        let mut received = Vec::new();
        let reading = self.caller.read_to_end(&mut received);
        let ended = timeout(PATIENCE, reading).await.expect("an end");
        (received, ended.is_err())
    }

    /// Ends the neighbour's process: the kernel closes its listener, and then its connections.
    async fn kill_neighbour(self) -> (Vec<u8>, bool) {
        let Self {
            mut caller,
            neighbour,
            listener,
            closing: _closing,
            relay: _relay,
        } = self;
        drop(listener);
        drop(neighbour);
        let mut received = Vec::new();
        let reading = caller.read_to_end(&mut received);
        let ended = timeout(PATIENCE, reading).await.expect("an end");
        (received, ended.is_err())
    }
}

/// Answers probes as a router that refuses callers, after a delay.
async fn refuse_probes(
    listener: TcpListener,
    delay: Duration,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut request = [0; 1024];
            if stream.read(&mut request).await.is_ok() {
                sleep(delay).await;
                let sent = stream.write_all(REFUSAL).await;
                log::debug!("answer to a probe: {sent:?}");
            }
        });
    }
}

// A silent neighbour

/// Guards against a sound neighbour that counts as suspended, as it refuses callers or is slow.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_awaited_while_the_neighbour_answers_probes_in_any_way() {
    for delay in [0, 300] {
        let mut relayed = Relayed::start().await;
        relayed.request(GET).await;
        let probes = relayed.refuse_probes(Duration::from_millis(delay)).await;
        sleep(LONG_SILENCE).await;
        relayed.answer(ANSWER).await;
        probes.abort();
    }
}

/// Guards against a neighbour that counts as suspended, as it stops and accepts nothing any more.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_awaited_while_a_neighbour_that_accepts_nothing_keeps_the_connection() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    drop(std::mem::replace(&mut relayed.listener, listener().await));
    sleep(LONG_SILENCE).await;
    relayed.answer(ANSWER).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_part_is_awaited_however_long_the_neighbour_is_silent() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    relayed.answer(&ANSWER[..10]).await;
    sleep(LONG_SILENCE).await;
    relayed.answer(&ANSWER[10..]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_neighbour_that_answers_no_probe_is_given_up() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    let (received, _) = relayed.read_to_end().await;
    assert!(received.starts_with(OWN_ANSWER));
}

// A neighbour that ends

/// Guards against the beginning of an answer that reads as the whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_the_connection_is_reset_when_its_neighbour_is_killed() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    relayed
        .answer(b"HTTP/1.1 200 OK\r\n\r\nthe first half")
        .await;
    assert_eq!(relayed.kill_neighbour().await, (Vec::new(), true));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_the_connection_is_whole_when_its_neighbour_ends_it() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    relayed.answer(b"HTTP/1.1 200 OK\r\n\r\nall of it").await;
    let probes = relayed.refuse_probes(Duration::ZERO).await;
    relayed.neighbour.shutdown().await.expect("closed");
    assert_eq!(relayed.read_to_end().await, (Vec::new(), false));
    probes.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_answer_no_request_are_not_passed_on() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    let surplus = [ANSWER, ANSWER].concat();
    relayed.neighbour.write_all(&surplus).await.expect("sent");
    assert_eq!(relayed.read_to_end().await, (ANSWER.to_vec(), false));
}

// A stop

/// Whether a connection ends some time after the router began to stop.
async fn has_ended_after_stop(relayed: &Relayed) -> bool {
    relayed.closing.send_replace(true);
    sleep(Duration::from_millis(3500)).await;
    relayed.relay.is_finished()
}

/// Guards against requests and answers in progress that count as idle, as they pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_closes_no_connection_on_which_a_request_or_an_answer_is_in_part() {
    let post: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nab";
    let cases: [(&[u8], &[u8]); 5] = [
        (b"GET / HT", b""),
        (post, b""),
        (GET, b""),
        (GET, &ANSWER[..10]),
        (GET, b"HTTP/1.1 200 OK\r\n\r\nthe first half"),
    ];
    let mut plays = tokio::task::JoinSet::new();
    for (request, answer) in cases {
        plays.spawn(async move {
            let mut relayed = Relayed::start().await;
            let probes = relayed.refuse_probes(Duration::ZERO).await;
            relayed.request(request).await;
            relayed.answer(answer).await;
            let text = String::from_utf8_lossy(&[request, answer].concat()).into_owned();
            assert!(!has_ended_after_stop(&relayed).await, "{text}");
            probes.abort();
        });
    }
    while let Some(played) = plays.join_next().await {
        played.expect("a play");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_closes_idle_connections_soon() {
    for answers in [0, 1, 3] {
        let mut relayed = Relayed::start().await;
        for _ in 0..answers {
            relayed.request(GET).await;
            relayed.answer(ANSWER).await;
        }
        assert!(has_ended_after_stop(&relayed).await);
        assert_eq!(relayed.read_to_end().await, (Vec::new(), false));
    }
}

/// The router is stopped at once, with the answer not read by its caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_until_a_whole_answer_was_written() {
    let mut relayed = Relayed::start().await;
    relayed.request(GET).await;
    const LENGTH: usize = 16 << 20;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n");
    let answer = [head.as_bytes(), &vec![b'b'; LENGTH]].concat();
    let (mut neighbour, expected) = (relayed.neighbour, answer.len());
    let writing = tokio::spawn(async move {
        neighbour.write_all(&answer).await.expect("sent");
        neighbour
    });
    relayed.closing.send_replace(true);
    sleep(Duration::from_secs(2)).await;
    let mut received = Vec::new();
    let reading = relayed.caller.read_to_end(&mut received);
    timeout(PATIENCE, reading)
        .await
        .expect("an end")
        .expect("no reset");
    assert_eq!(received.len(), expected);
    drop(writing.await);
}

/// Guards against a request that arrived and is not read before its connection is closed. The
/// whole process stands still while the connection becomes idle and the request arrives.
#[tokio::test]
async fn a_stop_passes_a_request_on_that_arrives_right_before_the_close() {
    for _ in 0..6 {
        let mut relayed = Relayed::start().await;
        relayed.request(GET).await;
        relayed.answer(ANSWER).await;
        relayed.closing.send_replace(true);
        sleep(Duration::from_millis(100)).await;
        std::thread::sleep(Duration::from_secs(1));
        relayed.caller.try_write(GET).expect("sent");
        let mut received = vec![0; GET.len()];
        let reading = relayed.neighbour.read_exact(&mut received);
        let read = timeout(PATIENCE, reading).await.expect("relayed");
        read.expect("received");
        relayed.answer(ANSWER).await;
        assert_eq!(relayed.read_to_end().await, (Vec::new(), false));
    }
}

/// The end of a drawn play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    NeighbourKilled,
    NeighbourClosed,
    Stop,
}

/// One play: bytes of requests and answers in turns, then the end.
async fn play(
    conversation: Conversation,
    steps: Vec<(bool, usize)>,
    end: End,
) -> Result<(), TestCaseError> {
    let mut relayed = Relayed::start().await;
    let (mut requested, mut answered) = (0, 0);
    for (is_request, count) in steps {
        if is_request {
            let stop = conversation.requests.len().min(requested + count);
            let bytes = &conversation.requests[requested..stop];
            relayed.request(bytes).await;
            requested = stop;
        } else {
            let stop = conversation.answerable(requested).min(answered + count);
            relayed.answer(&conversation.answers[answered..stop]).await;
            answered = stop;
        }
    }
    let progress = conversation.progress(requested, answered);
    let may_stop = progress == Progress::Idle;
    let (received, is_reset) = match end {
        End::NeighbourKilled => relayed.kill_neighbour().await,
        End::NeighbourClosed => {
            let probes = relayed.refuse_probes(Duration::ZERO).await;
            relayed.neighbour.shutdown().await.expect("closed");
            let ended = relayed.read_to_end().await;
            probes.abort();
            ended
        }
        End::Stop if may_stop => {
            relayed.closing.send_replace(true);
            relayed.read_to_end().await
        }
        End::Stop => return Ok(()),
    };
    // A reset is never taken for an end, and its answer may have any framing.
    let must_reset = progress == Progress::AnswerInPart(AnswerEnd::Close);
    prop_assert_eq!(is_reset, must_reset && end == End::NeighbourKilled);
    match progress.awaits_answer() {
        true => prop_assert!(received.starts_with(OWN_ANSWER) && received.ends_with(JSON_END)),
        false => prop_assert_eq!(received, Vec::<u8>::new(), "{:?}", progress),
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn each_byte_that_a_caller_reads_belongs_to_the_answer_whose_turn_it_is(
        exchanges in any_conversation(),
        steps in prop::collection::vec((any::<bool>(), 1usize..90), 1..40),
        end in prop_oneof![
            6 => Just(End::NeighbourKilled), 6 => Just(End::NeighbourClosed), 1 => Just(End::Stop)
        ],
    ) {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let conversation = Conversation::new(&exchanges);
        runtime.expect("a runtime").block_on(play(conversation, steps, end))?;
    }
}
