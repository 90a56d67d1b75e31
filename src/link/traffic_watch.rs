use {
    quinn::Connection,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// How often the traffic of a connection is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Samples when a connection last received and sent datagrams, and how late this process was
/// itself. Both are logged when a connection ends: a peer that was silent, a peer that was not
/// reached and a process that did not run look alike otherwise.
pub struct TrafficWatch {
    connection: Connection,
    received: Sample,
    sent: Sample,
    pub max_lateness: Duration, // of the sampling, since the connection began
}

/// A counter, and when it was last seen to change.
struct Sample {
    count: u64,
    changed: Instant,
}

impl Sample {
    fn update(
        &mut self,
        count: u64,
    ) {
        if count != self.count {
            *self = Self {
                count,
                changed: Instant::now(),
            };
        }
    }
}

impl TrafficWatch {
    /// Watches a connection that was just opened.
    pub fn new(connection: Connection) -> Self {
        let sample = || Sample {
            count: 0,
            changed: Instant::now(),
        };
        Self {
            connection,
            received: sample(),
            sent: sample(),
            max_lateness: Duration::ZERO,
        }
    }

    /// Samples until the future is dropped.
    pub async fn run(&mut self) -> ! {
        loop {
            let before = Instant::now();
            sleep(SAMPLE_INTERVAL).await;
            let late = before.elapsed().saturating_sub(SAMPLE_INTERVAL);
            self.max_lateness = self.max_lateness.max(late);
            self.sample();
        }
    }

    /// Time since datagrams of the peer were last seen, to `SAMPLE_INTERVAL`.
    pub fn silent_for(&self) -> Duration {
        self.received.changed.elapsed()
    }

    /// Time since datagrams were last sent to the peer, to `SAMPLE_INTERVAL`.
    pub fn unsent_for(&self) -> Duration {
        self.sent.changed.elapsed()
    }

    fn sample(&mut self) {
        let stats = self.connection.stats();
        self.received.update(stats.udp_rx.datagrams);
        self.sent.update(stats.udp_tx.datagrams);
    }
}
