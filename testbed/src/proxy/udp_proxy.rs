use {
    super::Faults,
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::UdpSocket, task::JoinHandle},
};

/// The largest UDP packet, in bytes.
const MAX_PACKET_BYTES: usize = 65_536;

/// The further delay of a packet that is to be reordered.
const REORDER_DELAY: Duration = Duration::from_millis(10);

/// A fault-injecting UDP proxy in front of one server.
pub struct UdpProxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    target: SocketAddr,
    front: Arc<UdpSocket>,
    faults: Mutex<Faults>,
    clients: Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>, // the socket towards the server, by client
    returns: Mutex<Vec<JoinHandle<()>>>, // tasks that forward the server's packets to clients
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.task.abort();
        let returns = self.shared.returns.lock().expect("task lock");
        returns.iter().for_each(JoinHandle::abort);
    }
}

impl UdpProxy {
    /// Starts a proxy to `target` on a port that the system chooses.
    pub async fn start(
        ip: IpAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let front = Arc::new(UdpSocket::bind(SocketAddr::new(ip, 0)).await?);
        let address = front.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            front,
            faults: Mutex::default(),
            clients: Mutex::default(),
            returns: Mutex::default(),
        });
        let task = tokio::spawn(forward_requests(shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Changes the injected faults.
    pub fn update_faults(
        &self,
        change: impl FnOnce(&mut Faults),
    ) {
        change(&mut self.shared.faults.lock().expect("fault lock"));
    }
}

async fn forward_requests(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_PACKET_BYTES];
    loop {
        let Ok((length, client)) = shared.front.recv_from(&mut buffer).await else {
            continue; // the error belongs to an earlier packet that could not be delivered
        };
        let Ok(back) = back_socket(&shared, client).await else {
            continue;
        };
        let packet = buffer[..length].to_vec();
        forward_packet(&shared, client, packet, back, shared.target);
    }
}

async fn back_socket(
    shared: &Arc<Shared>,
    client: SocketAddr,
) -> io::Result<Arc<UdpSocket>> {
    let known = {
        let clients = shared.clients.lock().expect("client lock");
        clients.get(&client).cloned()
    };
    if let Some(back) = known {
        return Ok(back);
    }
    let back =
        Arc::new(UdpSocket::bind(SocketAddr::new(shared.front.local_addr()?.ip(), 0)).await?);
    let mut clients = shared.clients.lock().expect("client lock");
    clients.insert(client, back.clone());
    let task = tokio::spawn(forward_answers(shared.clone(), client, back.clone()));
    shared.returns.lock().expect("task lock").push(task);
    Ok(back)
}

async fn forward_answers(
    shared: Arc<Shared>,
    client: SocketAddr,
    back: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_PACKET_BYTES];
    loop {
        if let Ok((length, _)) = back.recv_from(&mut buffer).await {
            let packet = buffer[..length].to_vec();
            forward_packet(&shared, client, packet, shared.front.clone(), client);
        }
    }
}

/// Forwards a packet of a client's flow, subject to the faults.
fn forward_packet(
    shared: &Shared,
    client: SocketAddr,
    packet: Vec<u8>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
) {
    let faults = shared.faults.lock().expect("fault lock").clone();
    let chance = |share: f64| rand::random::<f64>() < share;
    if faults.blocked || faults.blocked_sources.contains(&client) || chance(faults.drop) {
        return;
    }
    let copies = if chance(faults.duplicate) { 2 } else { 1 };
    let mut delay = faults.delay;
    if chance(faults.reorder) {
        delay += REORDER_DELAY;
    }
    if delay.is_zero() && copies == 1 && socket.try_send_to(&packet, to).is_ok() {
        return;
    }
    tokio::spawn(async move {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        for _ in 0..copies {
            if socket.send_to(&packet, to).await.is_err() {
                return; // the target is down, so that the packet is lost
            }
        }
    });
}
