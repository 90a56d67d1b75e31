//! A faulty replica sends more than one answer to a request. A surplus answer may arrive where the
//! answer to the next request on the connection is due, and says nothing about that request.

use {
    archmast_testbed::{
        direct::{Client, ClientAnswer, ClientRequest, DirectFleet, RouteText},
        fleet::{wait_until, wait_until_async},
    },
    std::{
        collections::HashMap,
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

/// A refusal as replicas send it, but without the id of the request that it refuses.
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nArchmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The same from a replica that asks for a rest longer than the test.
const REFUSAL_WITH_REST: &str =
    "HTTP/1.1 503 Busy\r\nArchmast-Not-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";

/// A failure without the id of the request that failed.
const FAILURE: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nwrong";

/// Time from an answer to the surplus that follows it on an idle connection.
const SURPLUS_DELAY: Duration = Duration::from_millis(50);

/// What a replica sends besides its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Surplus {
    Nothing,
    /// Refuses the query for its cached parts, and sends this refusal again when the next request
    /// arrives on the connection.
    AfterQuery,
    /// This answer when the second request arrives on a connection.
    AtSecondRequest(&'static str),
    /// This answer a moment after each of its own.
    WhileIdle(&'static str),
    /// Only this answer to each request, which it does not run.
    Instead(&'static str),
}

/// A replica's record of what it did.
#[derive(Default)]
struct Record {
    runs: Mutex<Vec<String>>, // ids of the requests that it ran
    was_queried: AtomicBool,  // for its cached parts
    surplus_sent: AtomicBool,
}

impl Record {
    fn runs_of(
        &self,
        id: &str,
    ) -> usize {
        let runs = self.runs.lock().expect("lock");
        runs.iter().filter(|run| *run == id).count()
    }
}

/// A request's target and headers.
async fn read_request(
    stream: &mut BufReader<TcpStream>
) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut target = None;
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if target.is_none() {
            target = line.split(' ').nth(1).map(str::to_owned);
        } else if let Some((name, value)) = line.split_once(": ") {
            fields.insert(name.to_ascii_lowercase(), value.to_owned());
        }
    }
    let length = fields
        .get("content-length")
        .and_then(|text| text.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await?;
    Ok(Some((target.unwrap_or_default(), fields)))
}

async fn serve(
    stream: TcpStream,
    surplus: Surplus,
    record: Arc<Record>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut requests = 0;
    let mut is_due = false;
    while let Some((target, fields)) = read_request(&mut stream).await? {
        if target == "/v1/kv-list" {
            record.was_queried.store(true, Ordering::SeqCst);
            stream.write_all(REFUSAL.as_bytes()).await?;
            is_due = surplus == Surplus::AfterQuery;
            continue;
        }
        if target.starts_with("/v1/kv-events") {
            return Ok(());
        }
        requests += 1;
        let early = match surplus {
            Surplus::AfterQuery if std::mem::take(&mut is_due) => Some(REFUSAL),
            Surplus::AtSecondRequest(text) if requests == 2 => Some(text),
            Surplus::Instead(text) => {
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            _ => None,
        };
        if let Some(text) = early {
            record.surplus_sent.store(true, Ordering::SeqCst);
            stream.write_all(text.as_bytes()).await?;
        }
        let id = fields.get("archmast-attempt-id").cloned();
        let id = id.unwrap_or_default();
        record.runs.lock().expect("lock").push(id.clone());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone"
        );
        stream.write_all(answer.as_bytes()).await?;
        if let Surplus::WhileIdle(text) = surplus {
            tokio::time::sleep(SURPLUS_DELAY).await;
            stream.write_all(text.as_bytes()).await?;
            record.surplus_sent.store(true, Ordering::SeqCst);
        }
    }
    Ok(())
}

/// Starts a replica that sends this surplus.
async fn start_replica(
    fleet: &DirectFleet,
    replica: &str,
    surplus: Surplus,
) -> Arc<Record> {
    let listener = TcpListener::bind((fleet.standins(), 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let record = Arc::new(Record::default());
    let kept = record.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let record = record.clone();
            tokio::spawn(async move {
                if let Err(error) = serve(stream, surplus, record).await {
                    log::debug!("connection of a router: {error}");
                }
            });
        }
    });
    fleet.store.list_replica(replica, "s", address, "ready");
    kept
}

/// A router and one replica that sends this surplus.
async fn start(surplus: Surplus) -> (DirectFleet, Arc<Record>) {
    let fleet = DirectFleet::start(1, "").await;
    let record = start_replica(&fleet, "i-a", surplus).await;
    let routes = [
        RouteText::new("/charge/", "s", "non_idempotent"),
        RouteText::new("/read/", "s", "idempotent"),
    ];
    match surplus {
        Surplus::AfterQuery => fleet.store.publish_engines(1, &routes),
        _ => fleet.store.publish(1, &routes),
    }
    fleet.wait_until_ready().await;
    wait_until_known(&fleet, 1).await;
    (fleet, record)
}

async fn wait_until_known(
    fleet: &DirectFleet,
    replicas: usize,
) {
    wait_until("the replicas are known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= replicas
    })
    .await;
}

async fn call(
    fleet: &DirectFleet,
    path: &str,
    id: &str,
) -> ClientAnswer {
    let request = ClientRequest::post(path, id, "body");
    Client::call_once(fleet.caller_addresses[0], &request).await
}

/// The status would tell the caller that its request did not run.
fn promises_not_run(answer: &ClientAnswer) -> bool {
    matches!(answer.status, 408 | 421 | 429 | 503)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_to_a_cache_query_reaches_no_request() {
    let (fleet, record) = start(Surplus::AfterQuery).await;
    wait_until_async("the replica was queried", async || {
        record.was_queried.load(Ordering::SeqCst)
            && fleet.routers[0]
                .log_text()
                .contains("replica did not say what it keeps")
    })
    .await;
    for number in 0..3 {
        let id = format!("id-{number}");
        let answer = call(&fleet, "/charge/", &id).await;
        assert_eq!(answer.status, 200, "{id}: {answer:?}");
        assert_eq!(record.runs_of(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_id_on_a_kept_connection_is_no_promise() {
    let (fleet, record) = start(Surplus::AtSecondRequest(REFUSAL)).await;
    assert_eq!(call(&fleet, "/charge/", "id-1").await.status, 200);
    let answer = call(&fleet, "/charge/", "id-2").await;
    wait_until("the request ran", || record.runs_of("id-2") == 1).await;
    assert!(record.surplus_sent.load(Ordering::SeqCst));
    assert!(!promises_not_run(&answer), "it ran: {answer:?}");
    assert_eq!(
        (answer.status, answer.code()),
        (502, Some(69)),
        "{answer:?}"
    );
    assert_eq!(answer.retry_after(), None);
    assert_eq!(call(&fleet, "/charge/", "id-3").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_without_an_id_on_a_kept_connection_is_not_relayed() {
    let (fleet, record) = start(Surplus::AtSecondRequest(FAILURE)).await;
    assert_eq!(call(&fleet, "/charge/", "id-1").await.status, 200);
    let answer = call(&fleet, "/charge/", "id-2").await;
    assert!(record.surplus_sent.load(Ordering::SeqCst));
    assert_eq!(
        (answer.status, answer.code()),
        (502, Some(69)),
        "{answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_is_served_after_a_surplus() {
    let (fleet, record) = start(Surplus::AtSecondRequest(REFUSAL)).await;
    start_replica(&fleet, "i-b", Surplus::Nothing).await;
    wait_until_known(&fleet, 2).await;
    let mut count = 0;
    while !record.surplus_sent.load(Ordering::SeqCst) {
        count += 1;
        let answer = call(&fleet, "/read/", &format!("id-{count}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(count < 100, "no request on a kept connection");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_refusal_holds_no_later_request_back() {
    let (fleet, record) = start(Surplus::AtSecondRequest(REFUSAL_WITH_REST)).await;
    assert_eq!(call(&fleet, "/charge/", "id-1").await.status, 200);
    assert_eq!(call(&fleet, "/charge/", "id-2").await.status, 502);
    assert!(record.surplus_sent.load(Ordering::SeqCst));
    assert_eq!(call(&fleet, "/charge/", "id-3").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_on_which_a_surplus_arrives_is_not_used_again() {
    let (fleet, record) = start(Surplus::WhileIdle(REFUSAL)).await;
    for number in 0..3 {
        let id = format!("id-{number}");
        record.surplus_sent.store(false, Ordering::SeqCst);
        let answer = call(&fleet, "/charge/", &id).await;
        assert_eq!(answer.status, 200, "{id}: {answer:?}");
        wait_until("the surplus was sent", || {
            record.surplus_sent.load(Ordering::SeqCst)
        })
        .await;
    }
}

/// Nothing but this request was sent on a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_id_on_a_new_connection_is_a_promise() {
    let (fleet, record) = start(Surplus::Instead(REFUSAL)).await;
    let answer = call(&fleet, "/charge/", "id-1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(record.runs_of("id-1"), 0);
}

/// Without an id, nothing shows which of two answers is the one to a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_id_gets_no_surplus_answer() {
    let (fleet, record) = start(Surplus::AtSecondRequest(FAILURE)).await;
    for number in 0..3 {
        let text = "POST /charge/ HTTP/1.1\r\nHost: app.example\r\nArchmast-Credential: key-1\r\nContent-Length: 0\r\n\r\n";
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connects");
        client.send(text.as_bytes()).await.expect("sent");
        let answer = client.answer().await;
        assert_eq!(answer.status, 200, "{number}: {answer:?}");
    }
    assert!(!record.surplus_sent.load(Ordering::SeqCst));
}
