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
    faults: Arc<Mutex<Faults>>,
    cuts: watch::Sender<u64>, // counts cuts; each ends all connections
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
        let faults = Arc::new(Mutex::new(Faults::default()));
        let cuts = watch::Sender::new(0);
        let task = tokio::spawn(accept(listener, target, faults.clone(), cuts.clone()));
        Ok(Self {
            address,
            faults,
            cuts,
            task,
        })
    }

    /// Changes what the proxy breaks.
    pub fn set(
        &self,
        change: impl FnOnce(&mut Faults),
    ) {
        change(&mut self.faults.lock().expect("fault lock"));
    }

    /// Ends every connection now.
    pub fn cut_connections(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    cuts: watch::Sender<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if faults.lock().expect("fault lock").cut {
            continue; // dropped: the client sees its connection close
        }
        let (faults, mut cut) = (faults.clone(), cuts.subscribe());
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                _ = cut.changed() => {}
                () = async {
                    tokio::join!(
                        copy(client_read, server_write, &faults),
                        copy(server_read, client_write, &faults),
                    );
                } => {}
            }
        });
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
