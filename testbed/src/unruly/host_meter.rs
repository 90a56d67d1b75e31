use {
    crate::fleet::resident_bytes,
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Samples what a process takes of its host's memory: its resident bytes, and what has arrived on
/// its TCP connections of callers and was not read.
pub struct HostMeter {
    process: u32,
    peak: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    sampling: Option<JoinHandle<()>>,
}

impl Drop for HostMeter {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(sampling) = self.sampling.take()
            && sampling.join().is_err()
        {
            log::debug!("the meter ended with its process");
        }
    }
}

impl HostMeter {
    /// Starts sampling a process that listens for callers at `address`.
    pub fn start(
        process: u32,
        address: SocketAddr,
    ) -> Self {
        let peak = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let (seen, stop) = (peak.clone(), ended.clone());
        let sampling = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && is_running(process) {
                let taken = resident_bytes(process) + unread_bytes(address);
                seen.fetch_max(taken, Ordering::SeqCst);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            process,
            peak,
            ended,
            sampling: Some(sampling),
        }
    }

    /// The most that the process took of its host's memory so far, in bytes.
    pub fn peak_bytes(&self) -> usize {
        self.peak
            .load(Ordering::SeqCst)
            .max(peak_resident_bytes(self.process).unwrap_or(0))
    }

    /// The process's open file descriptors.
    pub fn descriptors(&self) -> usize {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.process));
        folder.map_or(0, Iterator::count)
    }
}

fn is_running(process: u32) -> bool {
    peak_resident_bytes(process).is_some()
}

/// The most memory that was ever resident, in bytes. `None` for a process that has ended.
fn peak_resident_bytes(process: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Bytes that have arrived at this local address and were not read.
fn unread_bytes(address: SocketAddr) -> usize {
    queues(address).iter().map(|queue| queue.unread).sum()
}

/// Bytes on the way to this address: sent by clients, and not read.
pub(super) fn bytes_on_the_way(address: SocketAddr) -> usize {
    let queues = queues(address);
    let bytes = queues.iter().map(|queue| queue.unread + queue.unsent);
    bytes.sum()
}

/// The bytes that the kernel holds for one end of a connection.
struct Queue {
    unread: usize, // received at the address
    unsent: usize, // by a client, to the address
}

/// The queues of all connections to an address, of both ends.
fn queues(address: SocketAddr) -> Vec<Queue> {
    let IpAddr::V4(ip) = address.ip() else {
        return Vec::new();
    };
    let own = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(ip.octets()),
        address.port()
    );
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, bytes, ..] = fields[..] else {
            return None;
        };
        let (unsent, unread) = bytes.split_once(':')?;
        let bytes = |text| usize::from_str_radix(text, 16).unwrap_or(0);
        // The queue of a listener counts connections.
        let is_own = local == own && state != "0A";
        (is_own || remote == own).then(|| Queue {
            unread: if is_own { bytes(unread) } else { 0 },
            unsent: if is_own { 0 } else { bytes(unsent) },
        })
    });
    queues.collect()
}
