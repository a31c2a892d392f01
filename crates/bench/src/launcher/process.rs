//! A child process with its log file and resource usage.

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

/// Time between SIGTERM and SIGKILL when a process is dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the log tail that an error message includes.
const LOG_TAIL_BYTES: usize = 4_000;

/// A child process whose standard output and standard error go to a log file. Dropping it terminates the process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log_file: PathBuf,
}

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time of the live threads, in user and kernel mode. Threads that have exited are not counted.
    pub cpu_time: Duration,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
}

impl ChildProcess {
    /// Starts `binary` from the directory of the running binary. The log goes to `NAME.log` in `dir`, and is appended to
    /// after a restart.
    ///
    /// # Errors
    /// When the binary is missing or cannot be started.
    pub fn spawn<I, S>(binary: &str, name: &str, dir: &Path, args: I) -> Result<Self, LaunchError>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let log_file = dir.join(format!("{name}.log"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log_file)
            .map_err(LaunchError::io(format!("cannot open the log file of {name}")))?;
        let child = Command::new(find_binary(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone().map_err(LaunchError::io(format!(
                "cannot duplicate the log file handle of {name}"
            )))?)
            .stderr(output)
            .spawn()
            .map_err(LaunchError::io(format!("cannot start {name}")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_file,
        })
    }

    /// Name of the process in log file names and error messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id (PID).
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not exited yet. A paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Requests a graceful shutdown with SIGTERM, without waiting for it.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.reap();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits until the process exits. Returns false on timeout.
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

    /// CPU time and memory from `/proc`; both zero after the process has exited.
    pub fn usage(&self) -> ProcessUsage {
        let dir = PathBuf::from(format!("/proc/{}", self.id()));
        let status = fs::read_to_string(dir.join("status")).unwrap_or_default();
        let tasks = fs::read_dir(dir.join("task")).into_iter().flatten().flatten();
        let nanos = tasks.filter_map(|task| {
            let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
            stat.split_whitespace().next()?.parse::<u64>().ok()
        });
        ProcessUsage {
            cpu_time: Duration::from_nanos(nanos.sum()),
            resident_bytes: resident_bytes(&status).unwrap_or(0),
        }
    }

    /// The last bytes of the log file, for error messages.
    pub fn log_tail(&self) -> String {
        let log = fs::read(&self.log_file).unwrap_or_default();
        let tail = &log[log.len().saturating_sub(LOG_TAIL_BYTES)..];
        String::from_utf8_lossy(tail).into_owned()
    }

    fn signal(&self, signal: Signal) {
        // Safe after the exit as well: the kernel does not reuse the PID before the child is reaped.
        if let Err(e) = kill(Pid::from_raw(self.child.id().cast_signed()), signal) {
            log::debug!("cannot send {signal} to {}: {e}", self.name);
        }
    }

    fn reap(&mut self) {
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
            cpu_time: sum.cpu_time + usage.cpu_time,
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
        if !self.wait_end(SHUTDOWN_TIMEOUT) {
            self.kill();
        }
    }
}

/// Finds a binary in the directory of the running binary or in its parent directory. Test binaries are in `deps/`, one
/// level below the others.
pub(crate) fn find_binary(name: &str) -> Result<PathBuf, LaunchError> {
    let running_binary = env::current_exe().map_err(LaunchError::io("cannot find the running binary"))?;
    running_binary
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| LaunchError::MissingBinary {
            name: name.to_owned(),
        })
}

/// Resident set size from the line `VmRSS:   123 kB` of `/proc/PID/status`.
fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}
