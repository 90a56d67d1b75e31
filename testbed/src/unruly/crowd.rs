use {
    super::{Shape, host_meter::bytes_on_the_way},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
    },
};

/// How long a crowd may take to arrive. A process that reads no more holds clients up.
const ARRIVAL_TIME: Duration = Duration::from_secs(30);

/// What a crowd has sent has been read, as far as it will be, once this long passes without a change.
const REST: Duration = Duration::from_secs(2);

/// Clients that connect at the same time.
const CONNECTING: usize = 64;

/// Clients of one shape. They keep their connections open until this is dropped, or the process
/// closes them.
pub struct Crowd {
    _clients: JoinSet<()>,
    open: Arc<AtomicUsize>,
}

/// The counts of a crowd's clients.
#[derive(Default)]
struct Arrivals {
    connecting: AtomicUsize,
    arrived: AtomicUsize, // have sent all, or were cut off
}

impl Crowd {
    /// Starts `size` clients, and waits until each has sent all of its shape or was cut off, and the
    /// process has read it, or reads no more. Clients `read` answers or leave them unread.
    pub async fn gather(
        address: SocketAddr,
        size: usize,
        shape: Shape,
        reads: bool,
    ) -> Self {
        let shape = Arc::new(shape);
        let open = Arc::new(AtomicUsize::new(0));
        let arrivals = Arc::new(Arrivals::default());
        let begun = Instant::now();
        let mut clients = JoinSet::new();
        for _ in 0..size {
            while arrivals.connecting.load(Ordering::SeqCst) >= CONNECTING
                && begun.elapsed() < ARRIVAL_TIME
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            arrivals.connecting.fetch_add(1, Ordering::SeqCst);
            let (shape, open, arrivals) = (shape.clone(), open.clone(), arrivals.clone());
            clients.spawn(async move {
                let connected = TcpStream::connect(address).await;
                arrivals.connecting.fetch_sub(1, Ordering::SeqCst);
                let Ok(stream) = connected else {
                    arrivals.arrived.fetch_add(1, Ordering::SeqCst);
                    return;
                };
                open.fetch_add(1, Ordering::SeqCst);
                if let Err(error) = misbehave(stream, &shape, reads, &arrivals).await {
                    log::debug!("an unruly client: {error}");
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
        while arrivals.arrived.load(Ordering::SeqCst) < size && begun.elapsed() < ARRIVAL_TIME {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let arrived = begun.elapsed();
        wait_for_rest(address, begun).await;
        println!(
            "a crowd of {size} arrived in {arrived:?}, and was read in {:?}",
            begun.elapsed()
        );
        Self {
            _clients: clients,
            open,
        }
    }

    /// Clients whose connections are still open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Waits until no bytes are on the way, or the process reads no more of them.
async fn wait_for_rest(
    address: SocketAddr,
    begun: Instant,
) {
    let mut bytes = bytes_on_the_way(address);
    let mut since = Instant::now();
    while bytes > 0 && since.elapsed() < REST && begun.elapsed() < ARRIVAL_TIME {
        tokio::time::sleep(REST / 10).await;
        let now = bytes_on_the_way(address);
        if now != bytes {
            bytes = now;
            since = Instant::now();
        }
    }
}

/// Sends the shape and keeps the connection until it is closed.
async fn misbehave(
    mut stream: TcpStream,
    shape: &Shape,
    reads: bool,
    arrivals: &Arrivals,
) -> io::Result<()> {
    let (mut read, mut write) = stream.split();
    let sending = async {
        let sent = send(&mut write, shape).await;
        arrivals.arrived.fetch_add(1, Ordering::SeqCst);
        match sent {
            Ok(()) => std::future::pending().await,
            Err(error) => Err(error),
        }
    };
    let reading = async {
        if !reads {
            return std::future::pending().await;
        }
        let mut buffer = vec![0; 1024];
        while read.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        ended = sending => ended,
        ended = reading => {
            arrivals.arrived.fetch_add(1, Ordering::SeqCst);
            ended
        }
    }
}

async fn send(
    write: &mut (impl AsyncWriteExt + Unpin),
    shape: &Shape,
) -> io::Result<()> {
    write.write_all(&shape.start).await?;
    let at_once = (shape.writes / shape.piece.len().max(1)).max(1);
    let full = shape.piece.repeat(at_once.min(shape.pieces));
    let mut left = shape.pieces;
    while left > 0 {
        let count = left.min(at_once);
        write.write_all(&full[..count * shape.piece.len()]).await?;
        left -= count;
    }
    write.write_all(&shape.end).await
}
