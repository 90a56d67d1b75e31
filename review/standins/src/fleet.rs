//! Starts routers and replicas as processes, with the command and the template of the deploy
//! file, and ends them.

use {
    crate::{record::Record, store::Store},
    std::{
        fs::{self, File},
        net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

pub const ROUTER: &str = "target/release/archmast-router";
const TEMPLATE: &str = "deploy/router.ini";

/// `memory_mb` of the routers' machines.
pub const MEMORY_MB: u64 = 110;

/// The addresses of one router.
#[derive(Debug, Clone, Copy)]
pub struct RouterAddresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub operator: SocketAddr,
    pub peers: SocketAddr,
    pub news: SocketAddr,
}

impl RouterAddresses {
    /// Free ports of one loopback address.
    pub fn free(ip: &str) -> Self {
        let ip: IpAddr = ip.parse().unwrap();
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)).expect("no free port"))
            .collect();
        let sockets: Vec<UdpSocket> = (0..2)
            .map(|_| UdpSocket::bind((ip, 0)).expect("no free port"))
            .collect();
        Self {
            callers: listeners[0].local_addr().unwrap(),
            ready: listeners[1].local_addr().unwrap(),
            operator: listeners[2].local_addr().unwrap(),
            peers: sockets[0].local_addr().unwrap(),
            news: sockets[1].local_addr().unwrap(),
        }
    }
}

/// A process that is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    fn start(
        name: &str,
        command: &mut Command,
        log: &Path,
    ) -> Self {
        let out = File::create(log).expect("a log cannot be written");
        let both = out.try_clone().unwrap();
        let started = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(both)
            .spawn();
        let child = started.unwrap_or_else(|error| cannot_run(&format!("{name}: {error}")));
        STARTED.lock().unwrap().push(child.id());
        Self {
            name: name.to_owned(),
            child,
        }
    }

    /// Sends a signal by the shell's `kill`.
    pub fn signal(
        &self,
        signal: &str,
    ) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run(&format!("no signal {signal} to {}", self.name));
        }
    }

    /// Its resident memory, in KB.
    pub fn memory_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// Ids of the processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run and its processes: the case cannot be shown here.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    std::process::exit(2);
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("archmast-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Values that the platform fills into the settings of one router: those of the site
/// cpf-archmast.
pub struct RouterSettings<'s> {
    pub name: &'s str,
    pub zone: &'s str,
    pub addresses: RouterAddresses,
    pub seeds: &'s [SocketAddr],
    pub store: SocketAddr,
}

impl RouterSettings<'_> {
    /// The template of the deploy file with its gaps filled in.
    fn text(&self) -> String {
        let template = fs::read_to_string(TEMPLATE).unwrap_or_else(|_| cannot_run(TEMPLATE));
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let zones =
            ["richmond-a", "burnaby-b", "surrey-c"].map(|zone| format!("{zone}:yvr-mainland"));
        let at = &self.addresses;
        let values = [
            ("node_name", self.name.to_owned()),
            ("zone", self.zone.to_owned()),
            ("limits.cpu_share", "0.19".to_owned()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("listeners_addr.frontend", at.callers.to_string()),
            ("listeners_addr.ready", at.ready.to_string()),
            ("listeners_addr.control_plane", at.peers.to_string()),
            ("ip}}:{{internal_port_range.0", at.operator.to_string()),
            ("ip}}:{{internal_port_range.1", at.news.to_string()),
            ("seeds", seeds.join(",")),
            ("platform.address", self.store.to_string()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
        ];
        let mut text = template;
        let each_zone = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";
        text = text.replace(each_zone, &zones.join(","));
        for name in [
            "bounds.evacuate_ms",
            "bounds.cold_overage",
            "bounds.cold_tolerance",
        ] {
            text = without_block(&text, name);
        }
        for mark in ["{{#limits.memory_mb}}", "{{/limits.memory_mb}}"] {
            text = text.replace(mark, "");
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            cannot_run("the template has a gap that is not known here");
        }
        text
    }

    /// Starts the router as the deploy file says.
    pub fn start(
        &self,
        folder: &Folder,
    ) -> Process {
        let settings = folder.0.join(format!("{}.ini", self.name));
        fs::write(&settings, self.text()).unwrap();
        let mut command = Command::new(ROUTER);
        command.args(["--direct", "--settings"]).arg(&settings);
        Process::start(
            self.name,
            &mut command,
            &folder.0.join(format!("{}.log", self.name)),
        )
    }
}

/// The text without what stands where a value is given, as this one is not.
fn without_block(
    text: &str,
    name: &str,
) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    match (text.find(&begin), text.find(&end)) {
        (Some(from), Some(to)) => format!("{}{}", &text[..from], &text[to + end.len()..]),
        _ => text.to_owned(),
    }
}

/// Starts a replica as a process, and writes its entry into the store.
pub fn start_replica(
    folder: &Folder,
    store: &Store,
    id: &str,
    service: &str,
    how: &str,
) -> Process {
    let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = address.unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["replica", id, &address.to_string(), how]);
    let process = Process::start(id, &mut command, &folder.0.join(format!("{id}.log")));
    let text = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"burnaby-b\",\
         \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"sequence\":1}}"
    );
    store.put(&format!("servers/{id}"), Some(text));
    process
}

/// Waits until a router says that it is ready.
pub fn wait_until_ready(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if is_ready(address) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run("a router is not ready");
}

pub fn is_ready(address: SocketAddr) -> bool {
    fetch(address, "/v1/ready").is_some_and(|(status, _)| status == 200)
}

/// Status and body of an answer of a router's own ports.
pub fn fetch(
    address: SocketAddr,
    path: &str,
) -> Option<(u16, String)> {
    let until = Instant::now() + Duration::from_secs(1);
    let mut connection = crate::http::Connection::open(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).ok()?;
    let head = connection.head(until).ok()?;
    let (body, _) = connection.answer_body(&head, until);
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Copies what a replica wrote of its runs into the record.
pub fn record_runs(
    folder: &Folder,
    record: &Record,
    replica: &str,
) -> String {
    let text = fs::read_to_string(folder.0.join(format!("{replica}.log"))).unwrap_or_default();
    for line in text.lines().filter(|line| !line.contains(" load-")) {
        record.line(format!("replica {replica}: {line}"));
    }
    text
}
