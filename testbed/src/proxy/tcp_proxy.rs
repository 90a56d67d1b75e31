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

const READ_BUFFER_BYTES: usize = 16 << 10;

/// A fault-injecting TCP proxy in front of one server.
pub struct TcpProxy {
    pub address: SocketAddr,
    connections: Connections,
    task: JoinHandle<()>,
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.close_connections();
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
            closings: watch::Sender::new(0),
            stalls: watch::Sender::new(0),
        };
        let task = tokio::spawn(connections.clone().accept(listener));
        Ok(Self {
            address,
            connections,
            task,
        })
    }

    /// Closes every connection and the listening socket, as if the server had exited.
    pub async fn stop(&mut self) {
        self.task.abort();
        if let Err(error) = (&mut self.task).await {
            log::debug!("proxy has stopped listening: {error}");
        }
        self.close_connections();
    }

    /// Listens again at the same address after a stop.
    pub async fn restart(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.task = tokio::spawn(self.connections.clone().accept(listener));
        Ok(())
    }

    /// Changes the injected faults.
    pub fn update_faults(
        &self,
        change: impl FnOnce(&mut Faults),
    ) {
        change(&mut self.connections.faults.lock().expect("fault lock"));
    }

    /// Stops forwarding on the connections that are open now, without closing them.
    /// New connections work.
    pub fn stall_connections(&self) {
        self.connections.stalls.send_modify(|count| *count += 1);
    }

    /// Closes every connection that is open now.
    pub fn close_connections(&self) {
        self.connections.closings.send_modify(|count| *count += 1);
    }
}

/// The state that all connections of a proxy share.
#[derive(Clone)]
struct Connections {
    target: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    closings: watch::Sender<u64>, // each change closes all open connections
    stalls: watch::Sender<u64>,   // each change stalls all open connections
}

impl Connections {
    async fn accept(
        self,
        listener: TcpListener,
    ) {
        while let Ok((client, _)) = listener.accept().await {
            if self.faults.lock().expect("fault lock").blocked {
                continue; // drops the stream, which closes the client's connection
            }
            let (faults, target) = (self.faults.clone(), self.target);
            let (mut closed, mut stalled) = (self.closings.subscribe(), self.stalls.subscribe());
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else {
                    return;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let copying = async {
                    tokio::join!(
                        copy(client_read, server_write, &faults),
                        copy(server_read, client_write, &faults),
                    );
                };
                tokio::pin!(copying);
                tokio::select! {
                    _ = closed.changed() => return,
                    () = &mut copying => return,
                    _ = stalled.changed() => {}
                }
                // Both sockets stay open, and nothing is forwarded between them.
                if closed.changed().await.is_err() {
                    log::debug!("proxy was dropped");
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
    let mut buffer = vec![0; READ_BUFFER_BYTES];
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
