use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        io,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::Instant,
    },
};

/// A process of one of the archmast programs. It is killed when this is dropped.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>, // before `--settings`
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    started: Instant,
}

impl Drop for Process {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            self.kill();
        }
    }
}

impl Process {
    /// Starts a program with a settings file, appending its output to `log`.
    pub fn start(
        program: &str,
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        Self::start_with(program, &[], settings, log)
    }

    /// Starts a program with further arguments before `--settings`.
    pub fn start_with(
        program: &str,
        arguments: &[&str],
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        let program = program_path(program);
        let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        let child = spawn(&program, &arguments, settings, log)?;
        Ok(Self {
            program,
            arguments,
            settings: settings.to_owned(),
            log: log.to_owned(),
            child,
            started: Instant::now(),
        })
    }

    /// Starts a new process with the same program, arguments and settings file, after
    /// the last one exited.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.settings, &self.log)?;
        self.started = Instant::now();
        Ok(())
    }

    /// Sets the program file that the next restart uses.
    pub fn set_program(
        &mut self,
        program: &Path,
    ) {
        self.program = program.to_owned();
    }

    /// When the process was last started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let gone = self.child.wait();
        debug_assert!(gone.is_ok(), "a killed process can be waited for");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, upon which the program reads its settings file again.
    pub fn signal_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGSTOP, which suspends the process.
    pub fn freeze(&self) {
        self.signals().freeze();
    }

    /// Sends SIGCONT, which resumes the process.
    pub fn thaw(&self) {
        self.signals().thaw();
    }

    /// Suspends and resumes the process from elsewhere. It must not outlive the process.
    pub(super) fn signals(&self) -> ProcessSignals {
        ProcessSignals(self.child.id())
    }

    /// Its exit status, none while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The content of its log file, including earlier processes with the same log.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(
        &self,
        signal: Signal,
    ) {
        self.signals().send(signal);
    }
}

/// Sends signals to a started process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProcessSignals(u32);

impl ProcessSignals {
    /// Sends SIGSTOP, which suspends the process.
    pub(super) fn freeze(self) {
        self.send(Signal::STOP);
    }

    /// Sends SIGCONT, which resumes the process.
    pub(super) fn thaw(self) {
        self.send(Signal::CONT);
    }

    fn send(
        self,
        signal: Signal,
    ) {
        let pid = Pid::from_raw(self.0 as i32).expect("a started process has a number");
        if let Err(error) = kill_process(pid, signal) {
            log::debug!("signal not sent: {error}");
        }
    }
}

/// The path of a built program: in the folder of the running executable (the testbed)
/// or in one above it (test executables).
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    own.ancestors()
        .skip(1)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .unwrap_or_else(|| panic!("{program} is not built: cargo build --workspace"))
}

fn spawn(
    program: &Path,
    arguments: &[String],
    settings: &Path,
    log: &Path,
) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(arguments)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
