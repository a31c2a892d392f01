//! One child process.

use super::LaunchError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsStr;
use std::fs::{self, File};
use std::iter::Sum;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, thread};

/// Time that a process gets for its end after SIGTERM, when it is dropped.
const END_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of the log that an error shows.
const LOG_TAIL_BYTES: usize = 4_000;

/// A child process whose log goes to a file. It is ended on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of the threads that live, in user and system mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ChildProcess {
    /// Starts the binary `binary` that lies next to the running one. `name` names the log file in `dir`.
    ///
    /// # Errors
    /// When the binary is missing or cannot be started.
    pub fn spawn<I, S>(binary: &str, name: &str, dir: &Path, args: I) -> Result<Self, LaunchError>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let log = dir.join(format!("{name}.log"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(LaunchError::io(format!("cannot write the log of {name}")))?;
        let child = Command::new(find_binary(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(
                output
                    .try_clone()
                    .map_err(LaunchError::io(format!("cannot share the log of {name}")))?,
            )
            .stderr(output)
            .spawn()
            .map_err(LaunchError::io(format!("cannot start {name}")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks for a graceful end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process without warning.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the end; false at the timeout.
    pub fn wait_end(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.is_running() {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Processor time and memory, zero when the process has ended.
    pub fn usage(&self) -> ProcessUsage {
        let dir = PathBuf::from(format!("/proc/{}", self.id()));
        let status = fs::read_to_string(dir.join("status")).unwrap_or_default();
        let tasks = fs::read_dir(dir.join("task")).into_iter().flatten().flatten();
        let nanos = tasks.filter_map(|task| {
            let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
            stat.split_whitespace().next()?.parse::<u64>().ok()
        });
        ProcessUsage {
            cpu: Duration::from_nanos(nanos.sum()),
            resident_bytes: resident_bytes(&status).unwrap_or(0),
        }
    }

    /// The end of the log.
    pub fn log_tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let tail = &log[log.len().saturating_sub(LOG_TAIL_BYTES)..];
        String::from_utf8_lossy(tail).into_owned()
    }

    fn signal(&self, signal: Signal) {
        // Also harmless after the end: the id is not reused before the child was waited for.
        if let Err(e) = kill(Pid::from_raw(self.child.id().cast_signed()), signal) {
            log::debug!("{signal} to {}: {e}", self.name);
        }
    }

    fn wait(&mut self) {
        if let Err(e) = self.child.wait() {
            log::warn!("cannot wait for {}: {e}", self.name);
        }
    }
}

impl Sum for ProcessUsage {
    fn sum<I>(iter: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        iter.fold(Self::default(), |sum, usage| Self {
            cpu: sum.cpu + usage.cpu,
            resident_bytes: sum.resident_bytes + usage.resident_bytes,
        })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if !self.is_running() {
            return;
        }
        self.resume();
        self.terminate();
        if !self.wait_end(END_TIMEOUT) {
            self.kill();
        }
    }
}

/// Looks next to the running binary, and one directory up for tests.
pub(crate) fn find_binary(name: &str) -> Result<PathBuf, LaunchError> {
    let own = env::current_exe().map_err(LaunchError::io("cannot find the running binary"))?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| LaunchError::MissingBinary {
            name: name.to_owned(),
        })
}

/// Reads the line `VmRSS:   123 kB` of `/proc/PID/status`.
fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1_024)
}
