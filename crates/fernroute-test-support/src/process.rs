//! Child processes for tests: start, pause, resume, kill, resource limits, and the folders that they keep over restarts.

use crate::wait_until;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::cell::RefCell;
use std::fs;
use std::io::{self, BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A child process and the lines it has written to standard error.
pub struct Process {
    child: RefCell<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn launch(mut command: Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&log);
        if let Some(stderr) = child.stderr.take() {
            std::thread::spawn(move || {
                let lines = BufReader::new(stderr).lines().map_while(Result::ok);
                lines.for_each(|line| kept.lock().unwrap_or_else(PoisonError::into_inner).push(line));
            });
        }
        Ok(Process { child: RefCell::new(child), log })
    }

    /// The process id; valid until the process has been waited for.
    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn log_contains(&self, what: &str) -> bool {
        self.log_count(what) > 0
    }

    /// Number of log lines that contain this text.
    pub fn log_count(&self, what: &str) -> usize {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|line| line.contains(what)).count()
    }

    /// Waits for a log line with this text and returns the address after it. Fails if the process ends or the time is up.
    pub async fn logged_address(&self, what: &str, within: Duration) -> Result<SocketAddr, String> {
        let of = |line: &String| line.split_once(what)?.1.split(',').next()?.parse().ok();
        let from = Instant::now();
        loop {
            // Checked before the log is read, so that the last lines of an ended process are seen here or in the next rounds.
            let ended = !self.is_running();
            if let Some(address) = self.log().iter().find_map(of) {
                return Ok(address);
            }
            if ended && from.elapsed() > Duration::from_millis(100) {
                return Err(format!("process ended before it logged \"{what}\": {}", self.log().join("; ")));
            }
            if from.elapsed() > within {
                return Err(format!("process did not log \"{what}\" in time: {}", self.log().join("; ")));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_none())
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        // Checked first: once the process has been waited for, its id may be in use again.
        if self.is_running() {
            if let Some(pid) = Pid::from_raw(self.child.borrow_mut().id() as i32) {
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&self) {
        let _ = self.child.borrow_mut().kill();
        let _ = self.child.borrow_mut().wait();
    }

    /// Suspends the process as on a paused machine. Its connections stay open.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// CPU time used so far in milliseconds, with a resolution of 10 ms.
    pub fn cpu_ms(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.borrow().id())).unwrap_or_default();
        // The fields follow the process name, which may contain anything: utime and stime are the 12th and 13th after it, in
        // hundredths of a second.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11);
        fields.take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * 10
    }

    /// Resident memory in kB.
    pub fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// The resident memory in kB, with its part of the pages that it shares; 0 once the process has ended.
    pub fn proportional_memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/smaps_rollup", self.id())).unwrap_or_default();
        let value = text.lines().find_map(|line| line.strip_prefix("Pss:"));
        value.and_then(|value| value.trim().strip_suffix("kB")?.trim().parse().ok()).unwrap_or(0)
    }

    /// The largest resident memory since the start, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    fn status_kb(&self, field: &str) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.borrow().id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.borrow().id())).map_or(0, |all| all.count())
    }

    /// Limits the number of open file descriptors from now on, however many are open.
    pub fn limit_descriptors(&self, most: u64) -> io::Result<()> {
        let id = Pid::from_raw(self.child.borrow_mut().id() as i32);
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(id, Resource::Nofile, limit).map(|_| ()).map_err(io::Error::from)
    }

    /// Makes all further writes to files fail, as on a full or read-only disk. The process must ignore SIGXFSZ; see
    /// [`ignoring_file_size_signal`].
    pub fn fill_disk(&self) -> io::Result<()> {
        let id = Pid::from_raw(self.child.borrow_mut().id() as i32);
        // One byte, not zero: no test depends on the first byte of a file.
        let none = Rlimit { current: Some(1), maximum: None };
        prlimit(id, Resource::Fsize, none).map(|_| ()).map_err(io::Error::from)
    }

    /// Waits for the end of the process and returns the exit code, `None` if a signal ended it.
    pub async fn wait_for_exit(&self) -> Option<i32> {
        let mut status = None;
        wait_until(|| {
            status = self.child.borrow_mut().try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status.and_then(|status| status.code())
    }
}

/// The same command with SIGXFSZ ignored, so that a write beyond the file size limit fails with an error.
pub fn ignoring_file_size_signal(command: &Command) -> Command {
    let mut other = Command::new("sh");
    other
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(command.get_program())
        .args(command.get_args());
    with_environment(other, command)
}

fn with_environment(mut command: Command, of: &Command) -> Command {
    for (name, value) in of.get_envs() {
        match value {
            Some(value) => command.env(name, value),
            None => command.env_remove(name),
        };
    }
    command
}

/// The same command with a limit on open file descriptors.
pub fn with_descriptor_limit(command: &Command, most: usize) -> Command {
    let mut other = Command::new("sh");
    other
        .args(["-c", "ulimit -n \"$0\"; exec \"$@\""])
        .arg(most.to_string())
        .arg(command.get_program())
        .args(command.get_args());
    with_environment(other, command)
}

/// Kills the process, so that a failed test leaves none behind.
impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Free addresses for processes that need to know each other before they start and keep their address over restarts.
/// Below the ephemeral port range: the kernel could assign a port of that range to a connection while no process listens.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    const FIRST_PORT: usize = 12_000;
    const PORT_COUNT: usize = 18_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let mut found = Vec::new();
    // Concurrent test processes start at different ports.
    let begin = std::process::id() as usize * 61;
    while found.len() < count {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        if n > PORT_COUNT {
            return Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"));
        }
        let at = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + (begin + n) % PORT_COUNT) as u16));
        if TcpListener::bind(at).is_ok() {
            found.push(at);
        }
    }
    Ok(found)
}

/// The folder that a process keeps over restarts. It can be wiped, restored from a copy or replaced by that of another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    pub folder: PathBuf,
}

impl Disk {
    pub fn new(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        Ok(Disk { folder })
    }

    /// Deletes the contents.
    pub fn wipe(&self) -> io::Result<()> {
        fs::remove_dir_all(&self.folder)?;
        fs::create_dir(&self.folder)
    }

    /// Copies the folder; its process must be stopped or paused.
    pub fn copy(&self, to: PathBuf) -> io::Result<Disk> {
        let copy = Disk::new(to)?;
        copy.replace_with(self)?;
        Ok(copy)
    }

    /// Replaces the contents by those of another folder: an older copy, or that of another process.
    pub fn replace_with(&self, other: &Disk) -> io::Result<()> {
        self.wipe()?;
        copy_all(&other.folder, &self.folder)
    }
}

fn copy_all(from: &Path, to: &Path) -> io::Result<()> {
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let to = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            fs::create_dir(&to)?;
            copy_all(&entry.path(), &to)?;
        } else {
            fs::copy(entry.path(), to)?;
        }
    }
    Ok(())
}
