//! The router under test, started as `deploy/system.toml` does, with the filled-in template.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

pub struct Router {
    pub callers: SocketAddr,
    ready: SocketAddr,
    command: Command,
    child: Child,
}

/// What the template is filled with, besides addresses: as on the smallest sheet.
pub struct Fleet<'f> {
    pub root: &'f Path,   // of the repository
    pub folder: &'f Path, // for settings and logs
    pub store: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        // Ended by its id. It may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Router {
    /// Starts a router at this address and waits until it is ready.
    pub fn start(
        fleet: &Fleet<'_>,
        name: &str,
        ip: &str,
    ) -> Self {
        let router = Self::spawn(fleet, name, ip);
        router.wait_until_ready();
        router
    }

    fn spawn(
        fleet: &Fleet<'_>,
        name: &str,
        ip: &str,
    ) -> Self {
        let ports: Vec<SocketAddr> = free_ports(ip, 5);
        let [callers, ready, operator, peers, news] = ports[..] else {
            unreachable!("five ports");
        };
        let settings = fill(fleet, name, &[callers, ready, operator, peers, news]);
        let path: PathBuf = fleet.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("settings file");
        let log = fs::File::create(fleet.folder.join(format!("{name}.log"))).expect("log file");
        let mut command = Command::new(fleet.root.join("target/release/archmast-router"));
        command
            .arg("--direct")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log);
        let child = command.spawn().expect("the router starts");
        Self {
            callers,
            ready,
            command,
            child,
        }
    }

    /// Kills the process, and starts it again after a short delay, as the platform does.
    pub fn kill_and_restart(
        &mut self,
        delay: Duration,
    ) {
        self.child.kill().expect("the router is killed");
        self.child.wait().expect("the router has ended");
        sleep(delay);
        self.child = self.command.spawn().expect("the router starts");
    }

    /// The resident memory of the process; 0 if it has ended.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if is_ready(self.ready).unwrap_or(false) {
                return;
            }
            sleep(Duration::from_millis(50));
        }
        panic!("the router did not become ready");
    }
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.starts_with("HTTP/1.1 200"))
}

fn free_ports(
    ip: &str,
    count: usize,
) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr());
    addresses
        .map(|address| address.expect("an address"))
        .collect()
}

/// Fills in `deploy/router.ini` as the users' machines do. Sections that concern bounds which the
/// smallest sheet does not set are left out.
fn fill(
    fleet: &Fleet<'_>,
    name: &str,
    addresses: &[SocketAddr],
) -> String {
    let [callers, ready, operator, peers, news] = addresses else {
        unreachable!("five addresses");
    };
    let template = fs::read_to_string(fleet.root.join("deploy/router.ini")).expect("template");
    let values = [
        ("{{node_name}}", name.to_owned()),
        ("{{zone}}", "richmond-a".to_owned()),
        ("{{limits.cpu_share}}", "0.19".to_owned()),
        ("{{listeners_addr.frontend}}", callers.to_string()),
        (
            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
            "richmond-a:yvr-mainland".to_owned(),
        ),
        ("{{#limits.memory_mb}}", String::new()),
        ("{{/limits.memory_mb}}", String::new()),
        ("{{limits.memory_mb}}", "110".to_owned()),
        ("{{listeners_addr.ready}}", ready.to_string()),
        ("{{ip}}:{{internal_port_range.0}}", operator.to_string()),
        ("{{listeners_addr.control_plane}}", peers.to_string()),
        ("{{ip}}:{{internal_port_range.1}}", news.to_string()),
        ("{{seeds}}", peers.to_string()),
        ("{{platform.address}}", fleet.store.to_string()),
        ("{{bounds.config_apply_ms}}", "2000".to_owned()),
        ("{{bounds.budget_window_s}}", "10".to_owned()),
        ("{{bounds.grace_s}}", "8".to_owned()),
    ];
    let mut lines: Vec<String> = Vec::new();
    for line in template.lines() {
        let is_unset = ["evacuate_ms", "cold_overage", "cold_tolerance"]
            .iter()
            .any(|bound| line.contains(bound));
        let mut line = if is_unset {
            String::new()
        } else {
            line.to_owned()
        };
        for (gap, value) in &values {
            line = line.replace(gap, value);
        }
        assert!(
            line.starts_with('#') || !line.contains("{{"),
            "a gap of the template is not known: {line}"
        );
        lines.push(line);
    }
    lines.join("\n") + "\n"
}
