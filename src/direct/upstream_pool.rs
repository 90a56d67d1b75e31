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
        time::Duration,
    },
};

/// Connections to replicas, by the replica's id: a restarted replica, or another one at the
/// same address, never gets a connection of the old one.
#[derive(Default)]
pub struct UpstreamPool {
    replicas: Mutex<HashMap<Arc<str>, ReplicaConnections>>, // a leaf lock
}

#[derive(Default)]
struct ReplicaConnections {
    idle: Vec<UpstreamConnection>, // the last used at the end
    open: Arc<AtomicUsize>,        // number of connections, idle or busy
    is_unverified: bool, // reached again after none was open, and not known to be the same process
}

impl ReplicaConnections {
    /// The counter for a connection that is opened now. The process at a replica's address may
    /// have been replaced while no connection to it was open.
    fn prepare_opening(&mut self) -> Arc<AtomicUsize> {
        self.is_unverified |= self.open.load(Ordering::Relaxed) == 0;
        self.open.clone()
    }
}

impl UpstreamPool {
    /// A connection that was idle for at most `max_idle`, or a new one while fewer than `max_open`
    /// are open. The new one replaces one that was idle for longer.
    pub async fn take(
        &self,
        entry: &UpstreamEntry,
        max_open: usize,
        max_idle: Duration,
    ) -> Result<UpstreamConnection, AttemptEnd> {
        let open = {
            let mut replicas = self.replicas.lock().expect("pool lock");
            let connections = replicas.entry(entry.id.clone()).or_default();
            while let Some(connection) = connections.idle.pop() {
                if !connection.is_usable() {
                    continue;
                }
                if connection.idle_time() > max_idle {
                    break; // the others were idle for even longer
                }
                if connection.is_quiet() {
                    return Ok(connection);
                }
                log::debug!(
                    replica = &*entry.id;
                    "kept connection closed, as bytes or its end arrived on it"
                );
            }
            connections.prepare_opening()
        };
        if open.load(Ordering::Relaxed) >= max_open.max(1) {
            let detail = format!("connection limit reached: {max_open} open");
            return Err(AttemptEnd::NotSent { detail });
        }
        let opened = UpstreamConnection::open(entry.address, open).await;
        opened.map_err(|error| AttemptEnd::NotSent {
            detail: error.to_string(),
        })
    }

    /// Whether a new connection to a replica is refused, as nothing listens there. A connection
    /// that succeeds is added to the pool.
    pub async fn is_connection_refused(
        &self,
        entry: &UpstreamEntry,
    ) -> bool {
        let open = {
            let mut replicas = self.replicas.lock().expect("pool lock");
            let connections = replicas.entry(entry.id.clone()).or_default();
            connections.prepare_opening()
        };
        match UpstreamConnection::open(entry.address, open).await {
            Ok(connection) => {
                self.give_back(&entry.id, connection);
                false
            }
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        }
    }

    /// Whether an idle connection to a replica is still open.
    pub fn has_idle(
        &self,
        replica: &str,
    ) -> bool {
        let replicas = self.replicas.lock().expect("pool lock");
        let entry = replicas.get(replica);
        entry.is_some_and(|entry| entry.idle.iter().any(UpstreamConnection::is_usable))
    }

    /// Whether a replica may have restarted since it was last known to be running: no connection
    /// to it was open for a while, and it was not verified since.
    pub fn is_unverified(
        &self,
        replica: &str,
    ) -> bool {
        let replicas = self.replicas.lock().expect("pool lock");
        replicas
            .get(replica)
            .is_some_and(|connections| connections.is_unverified)
    }

    /// Records that what is known of a replica applies to the process that is connected now.
    pub fn set_verified(
        &self,
        replica: &str,
    ) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        if let Some(connections) = replicas.get_mut(replica) {
            connections.is_unverified = false;
        }
    }

    /// Adds a connection whose last answer was read completely, if it can be reused.
    pub fn give_back(
        &self,
        replica: &Arc<str>,
        mut connection: UpstreamConnection,
    ) {
        if !connection.is_reusable() {
            return;
        }
        connection.mark_idle();
        let mut replicas = self.replicas.lock().expect("pool lock");
        if let Some(connections) = replicas.get_mut(replica) {
            connections.idle.push(connection);
        }
    }

    /// Closes the idle connections to a replica that did not answer a request: whatever made
    /// that connection silent may affect all of them, and each would cost a request.
    pub fn close_idle(
        &self,
        replica: &str,
    ) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        if let Some(connections) = replicas.get_mut(replica) {
            connections.idle.clear();
        }
    }

    /// Closes all idle connections, as their replicas may have closed them or exited while this
    /// process was suspended.
    pub fn close_all_idle(&self) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        for connections in replicas.values_mut() {
            connections.idle.clear();
        }
    }

    /// Drops the entries of replicas for which `is_listed` returns false.
    pub fn retain_listed(
        &self,
        is_listed: impl Fn(&str) -> bool,
    ) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        replicas.retain(|id, _| is_listed(id));
    }

    /// Closes idle connections that cannot be used any more.
    pub fn close_unusable(&self) {
        let mut replicas = self.replicas.lock().expect("pool lock");
        for connections in replicas.values_mut() {
            connections.idle.retain(UpstreamConnection::is_usable);
        }
    }
}
