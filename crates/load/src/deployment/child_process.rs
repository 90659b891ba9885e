//! A child process of the harness, signalled by its process id.

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

/// Number of continue signals that thaw a process.
const THAW_SIGNALS: u32 = 3;
/// Pause after each continue signal.
const THAW_PAUSE: Duration = Duration::from_millis(30);

/// A process of the deployment, killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in megabytes.
    pub resident_mb: f64,
}

impl ProcessUsage {
    /// Reads the usage of a process from `/proc`; zero if the process has exited.
    fn of(id: u32) -> Self {
        /// Clock ticks per second in `/proc/{id}/stat`.
        const TICKS_PER_SECOND: f64 = 100.0;
        /// Size of a memory page.
        const PAGE_BYTES: f64 = 4096.0;
        let number = |text: Option<&str>| {
            text.and_then(|text| text.parse::<f64>().ok())
                .unwrap_or_default()
        };
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The program name in parentheses may contain spaces; the fields after it do not.
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

/// Returns the folder of the built programs: that of the current executable, or its parent if a
/// test runs from `deps`.
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
    /// Starts a program of this workspace and appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the log can't be opened or the program can't be started, for
    /// example because it was not built.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the process's resource usage so far.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.child.id())
    }

    /// Sends the process a signal. A failure is logged.
    pub fn signal(&self, signal: Signal) {
        let Ok(id) = i32::try_from(self.child.id()) else {
            return;
        };
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            log::warn!("event=signal-failed pid={id} error={error:?}");
        }
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT. The signal is repeated, because on a busy machine the
    /// first one may arrive before the process has stopped completely.
    pub fn thaw(&self) {
        for _ in 0..THAW_SIGNALS {
            self.signal(Signal::SIGCONT);
            std::thread::sleep(THAW_PAUSE);
        }
    }

    /// Sends SIGTERM and waits at most `wait` for the process to exit. Returns whether it exited.
    pub fn terminate(&mut self, wait: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let deadline = Instant::now() + wait;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _already_exited = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
