use std::{fs, time::Instant};

/// Processor time and memory of a process, as the kernel reports them.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    taken: Instant,
    cpu_seconds: f64,
    pub resident_mb: f64, // MiB
}

impl ProcessUsage {
    /// Reads the usage of a process, 0 if it has exited.
    pub fn of(id: u32) -> Self {
        Self {
            taken: Instant::now(),
            cpu_seconds: cpu_seconds(id).unwrap_or(0.0),
            resident_mb: resident_mb(id).unwrap_or(0.0),
        }
    }

    /// Processor time used since an earlier reading, in seconds.
    pub fn cpu_since(
        &self,
        earlier: &Self,
    ) -> f64 {
        self.cpu_seconds - earlier.cpu_seconds
    }

    /// Mean number of processor cores used since an earlier reading.
    pub fn core_share_since(
        &self,
        earlier: &Self,
    ) -> f64 {
        self.cpu_since(earlier) / (self.taken - earlier.taken).as_secs_f64()
    }
}

/// Processor time in seconds, summed over the threads that still run.
fn cpu_seconds(id: u32) -> Option<f64> {
    let mut nanoseconds = 0.0;
    for thread in fs::read_dir(format!("/proc/{id}/task")).ok()? {
        let path = thread.ok()?.path().join("schedstat");
        let text = fs::read_to_string(path).ok()?;
        let run: f64 = text.split_whitespace().next()?.parse().ok()?;
        nanoseconds += run;
    }
    Some(nanoseconds / 1e9)
}

fn resident_mb(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024.0)
}
