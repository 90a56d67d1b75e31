use {
    super::{attempt_end::AttemptEnd, upstream_connection::UpstreamConnection},
    crate::catalog::UpstreamEntry,
    std::{
        collections::HashMap,
        io::ErrorKind,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Kept connections to replicas, by the replica's id: a replica that starts
/// anew, or another at the same address, never gets an old one's connection.
#[derive(Default)]
pub struct UpstreamPool {
    replicas: Mutex<HashMap<Arc<str>, ReplicaConnections>>, // a leaf lock
}

#[derive(Default)]
struct ReplicaConnections {
    idle: Vec<UpstreamConnection>, // the last used one last
    open: Arc<AtomicUsize>,        // all of them
}

impl UpstreamPool {
    /// A connection at rest, or a new one while fewer than `most` are open.
    pub async fn take(
        &self,
        entry: &UpstreamEntry,
        most: usize,
    ) -> Result<UpstreamConnection, AttemptEnd> {
        let open = {
            let mut replicas = self.replicas.lock().expect("pool lock");
            let connections = replicas.entry(entry.id.clone()).or_default();
            while let Some(connection) = connections.idle.pop() {
                if connection.is_usable() {
                    return Ok(connection);
                }
            }
            connections.open.clone()
        };
        if open.load(Ordering::Relaxed) >= most.max(1) {
            let detail = format!("{most} connections are open");
            return Err(AttemptEnd::NotSent { detail });
        }
        let opened = UpstreamConnection::open(entry.address, open).await;
        opened.map_err(|error| AttemptEnd::NotSent {
            detail: error.to_string(),
        })
    }

    /// Whether a new connection to a replica is refused: nothing listens there. One that
    /// comes to be is kept.
    pub async fn is_refused(
        &self,
        entry: &UpstreamEntry,
    ) -> bool {
        let open = {
            let mut replicas = self.replicas.lock().expect("pool lock");
            replicas.entry(entry.id.clone()).or_default().open.clone()
        };
        match UpstreamConnection::open(entry.address, open).await {
            Ok(connection) => {
                self.give_back(&entry.id, connection);
                false
            }
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        }
    }

    /// Whether a connection at rest to a replica is still open.
    pub fn has_open(
        &self,
        replica: &str,
    ) -> bool {
        let replicas = self.replicas.lock().expect("pool lock");
        let known = replicas.get(replica);
        known.is_some_and(|known| known.idle.iter().any(UpstreamConnection::is_usable))
    }

    /// Keeps a connection whose last answer was read whole.
    pub fn give_back(
        &self,
        replica: &Arc<str>,
        mut connection: UpstreamConnection,
    ) {
        if !connection.may_be_kept() {
            return;
        }
        connection.rest();
        let mut replicas = self.replicas.lock().expect("pool lock");
        if let Some(connections) = replicas.get_mut(replica) {
            connections.idle.push(connection);
        }
    }

    /// Drops the connections at rest to a replica that left a request without an answer:
    /// what made the one silent may have silenced all, and each would cost a request.
    pub fn forget_resting(
        &self,
        replica: &str,
    ) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        if let Some(connections) = replicas.get_mut(replica) {
            connections.idle.clear();
        }
    }

    /// Drops all connections at rest: while the process stood still their replicas may have
    /// closed them, or ended.
    pub fn forget_all_resting(&self) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        for connections in replicas.values_mut() {
            connections.idle.clear();
        }
    }

    /// Drops connections of replicas that are not listed any more.
    pub fn keep_only(
        &self,
        listed: impl Fn(&str) -> bool,
    ) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        replicas.retain(|id, _| listed(id));
    }

    /// Drops connections that cannot be used any more.
    pub fn tidy(&self) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        for connections in replicas.values_mut() {
            connections.idle.retain(UpstreamConnection::is_usable);
        }
    }
}
