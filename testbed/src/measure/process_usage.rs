use std::{fs, time::Instant};

/// What a process has used, as the kernel counts it.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    taken: Instant,
    cpu_seconds: f64,
    pub resident_mb: f64,
}

impl ProcessUsage {
    /// Reads a process's usage, 0 where it is gone.
    pub fn of(id: u32) -> Self {
        Self {
            taken: Instant::now(),
            cpu_seconds: cpu_seconds(id).unwrap_or(0.0),
            resident_mb: resident_mb(id).unwrap_or(0.0),
        }
    }

    /// Processor seconds used since an earlier reading.
    pub fn cpu_since(
        &self,
        earlier: &Self,
    ) -> f64 {
        self.cpu_seconds - earlier.cpu_seconds
    }

    /// The share of a core used since an earlier reading.
    pub fn core_share_since(
        &self,
        earlier: &Self,
    ) -> f64 {
        self.cpu_since(earlier) / (self.taken - earlier.taken).as_secs_f64()
    }
}

/// Time on a processor, summed over the threads that live.
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
