//! A process that the harness started, and ends by its id.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::Serialize,
    std::{
        ffi::OsStr,
        fs::OpenOptions,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

/// How often, and how far apart, a process is told to go on.
const THAW_SIGNALS: u32 = 3;
const THAW_PAUSE: Duration = Duration::from_millis(30);

/// A process of the deployment. It is killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in megabytes.
    pub resident_mb: f64,
}

impl ProcessUsage {
    /// Reads what the system counts for a process; nought for one that is gone.
    fn of(id: u32) -> Self {
        /// Ticks a second in the system's counts of processor time.
        const TICKS_PER_SECOND: f64 = 100.0;
        /// Bytes in a page of memory.
        const PAGE_BYTES: f64 = 4096.0;
        let number = |text: Option<&str>| {
            text.and_then(|text| text.parse::<f64>().ok())
                .unwrap_or_default()
        };
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The name in parentheses may hold spaces; the fields after it do not.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = number(fields.get(11).copied()) + number(fields.get(12).copied());
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
        let pages = number(statm.split_whitespace().nth(1));
        Self {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            resident_mb: pages * PAGE_BYTES / 1e6,
        }
    }
}

/// The folder of the programs: where this one is, or the one above for tests.
pub fn program_folder() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    if folder.ends_with("deps") {
        folder.parent().unwrap_or(Path::new(".")).to_owned()
    } else {
        folder
    }
}

impl ChildProcess {
    /// Starts a program of this project; what it logs goes to `log`.
    ///
    /// # Errors
    ///
    /// The system's fault, as when the program was not built.
    pub fn start<S: AsRef<OsStr>>(program: &str, args: &[S], log: &Path) -> std::io::Result<Self> {
        let path = program_folder().join(program);
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|error| {
                std::io::Error::new(error.kind(), format!("{}: {error}", path.display()))
            })?;
        Ok(Self { child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far, as the system counts.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.child.id())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let Ok(id) = i32::try_from(self.child.id()) else {
            return;
        };
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            log::warn!("event=signal-failed pid={id} error={error:?}");
        }
    }

    /// Stops it until it is thawed.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on. The signal is sent again, as one sent to a busy machine may find the
    /// process not wholly stopped yet.
    pub fn thaw(&self) {
        for _ in 0..THAW_SIGNALS {
            self.signal(Signal::SIGCONT);
            std::thread::sleep(THAW_PAUSE);
        }
    }

    /// Asks it to end and waits for that.
    pub fn terminate(&mut self, wait: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _gone_already = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
