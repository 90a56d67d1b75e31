use {
    super::Faults,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
    },
};

/// Bytes read at once.
const CHUNK: usize = 16 << 10;

/// A TCP proxy in front of one server.
pub struct TcpProxy {
    pub address: SocketAddr,
    connections: Connections,
    task: JoinHandle<()>,
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.cut_connections();
    }
}

impl TcpProxy {
    /// Starts a proxy to `target` on a port that the system chooses.
    pub async fn start(
        ip: IpAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let address = listener.local_addr()?;
        let connections = Connections {
            target,
            faults: Arc::default(),
            cuts: watch::Sender::new(0),
            silences: watch::Sender::new(0),
        };
        let task = tokio::spawn(connections.clone().accept(listener));
        Ok(Self {
            address,
            connections,
            task,
        })
    }

    /// Ends every connection, and refuses new ones: what is behind it has ended.
    pub async fn stop(&mut self) {
        self.task.abort();
        if let Err(error) = (&mut self.task).await {
            log::debug!("no longer listens: {error}");
        }
        self.cut_connections();
    }

    /// Listens again at its address after a stop.
    pub async fn restart(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.task = tokio::spawn(self.connections.clone().accept(listener));
        Ok(())
    }

    /// Changes what the proxy breaks.
    pub fn set(
        &self,
        change: impl FnOnce(&mut Faults),
    ) {
        change(&mut self.connections.faults.lock().expect("fault lock"));
    }

    /// Nothing passes any more on the connections that are open now, which stay open;
    /// new ones work.
    pub fn silence_connections(&self) {
        self.connections.silences.send_modify(|count| *count += 1);
    }

    /// Ends every connection now.
    pub fn cut_connections(&self) {
        self.connections.cuts.send_modify(|count| *count += 1);
    }
}

/// What every connection of a proxy shares.
#[derive(Clone)]
struct Connections {
    target: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    cuts: watch::Sender<u64>,     // counts cuts; each ends all connections
    silences: watch::Sender<u64>, // counts silences; each silences all connections
}

impl Connections {
    async fn accept(
        self,
        listener: TcpListener,
    ) {
        while let Ok((client, _)) = listener.accept().await {
            if self.faults.lock().expect("fault lock").cut {
                continue; // dropped: the client sees its connection close
            }
            let (faults, target) = (self.faults.clone(), self.target);
            let (mut cut, mut silenced) = (self.cuts.subscribe(), self.silences.subscribe());
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else {
                    return;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let passing = async {
                    tokio::join!(
                        copy(client_read, server_write, &faults),
                        copy(server_read, client_write, &faults),
                    );
                };
                tokio::pin!(passing);
                tokio::select! {
                    _ = cut.changed() => return,
                    () = &mut passing => return,
                    _ = silenced.changed() => {}
                }
                // Both ends stay open, and hear nothing of each other.
                if cut.changed().await.is_err() {
                    log::debug!("the proxy is gone");
                }
            });
        }
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: &Mutex<Faults>,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let delay = faults.lock().expect("fault lock").delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
