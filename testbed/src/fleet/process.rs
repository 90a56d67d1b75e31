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

/// One process of the product, which can be stopped, frozen and killed.
pub struct Process {
    program: PathBuf,
    words: Vec<String>, // of its command line, before the settings
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
    /// Starts a program of the product.
    pub fn start(
        program: &str,
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        Self::start_with(program, &[], settings, log)
    }

    /// Starts a program of the product with words before its settings.
    pub fn start_with(
        program: &str,
        words: &[&str],
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        let program = program_path(program);
        let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
        let child = spawn(&program, &words, settings, log)?;
        Ok(Self {
            program,
            words,
            settings: settings.to_owned(),
            log: log.to_owned(),
            child,
            started: Instant::now(),
        })
    }

    /// Starts it again after its end, with the same settings and no memory.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.words, &self.settings, &self.log)?;
        self.started = Instant::now();
        Ok(())
    }

    /// Starts as another build of the program from now on.
    pub fn become_build(
        &mut self,
        program: &Path,
    ) {
        self.program = program.to_owned();
    }

    /// When it was last started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once, and waits until it is gone.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let gone = self.child.wait();
        debug_assert!(gone.is_ok(), "a killed process can be waited for");
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings file changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(
        &self,
        signal: Signal,
    ) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a started process has a number");
        if let Err(error) = kill_process(pid, signal) {
            log::debug!("signal not sent: {error}");
        }
    }
}

/// The product's programs lie beside the testbed's, or above its tests.
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
    words: &[String],
    settings: &Path,
    log: &Path,
) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(words)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
