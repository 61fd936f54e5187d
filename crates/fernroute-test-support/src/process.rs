//! Real processes: started, stopped for a while, killed, started again with a disk of one's choice.

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

/// A running program, and all that it has said on standard error.
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

    /// Its number, for as long as it has not been waited for.
    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn log_contains(&self, what: &str) -> bool {
        self.log_count(what) > 0
    }

    /// How many lines say this.
    pub fn log_count(&self, what: &str) -> usize {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|line| line.contains(what)).count()
    }

    /// The address that stands after these words in its log; an error is why it will never be there.
    pub async fn logged_address(&self, what: &str, within: Duration) -> Result<SocketAddr, String> {
        let of = |line: &String| line.split_once(what)?.1.split(',').next()?.parse().ok();
        let from = Instant::now();
        loop {
            // Looked at before the log is: what it said last is in there, or comes a moment later.
            let ended = !self.is_running();
            if let Some(address) = self.log().iter().find_map(of) {
                return Ok(address);
            }
            if ended && from.elapsed() > Duration::from_millis(100) {
                return Err(format!("it ended before it said \"{what}\": {}", self.log().join("; ")));
            }
            if from.elapsed() > within {
                return Err(format!("it does not say \"{what}\": {}", self.log().join("; ")));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_none())
    }

    /// One that has ended by itself gets none.
    pub fn signal(&self, signal: Signal) {
        // Asked first: once it has been waited for, its number may be another's.
        if self.is_running() {
            if let Some(pid) = Pid::from_raw(self.child.borrow_mut().id() as i32) {
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// At once, and waits for its end.
    pub fn kill(&self) {
        let _ = self.child.borrow_mut().kill();
        let _ = self.child.borrow_mut().wait();
    }

    /// Stands still as on a machine that is paused; its connections stay open.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Milliseconds of a processor that it has used so far, to a hundredth of a second.
    pub fn cpu_ms(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.borrow().id())).unwrap_or_default();
        // After the name, which may hold anything: user's and system's time are the 12th and 13th, in hundredths.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11);
        fields.take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * 10
    }

    /// What it holds of the machine's memory.
    pub fn memory_kb(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.borrow().id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// How many descriptors it holds.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.borrow().id())).map_or(0, |all| all.count())
    }

    /// From here on it may hold no more than so many, whatever it holds now.
    pub fn limit_descriptors(&self, most: u64) -> io::Result<()> {
        let id = Pid::from_raw(self.child.borrow_mut().id() as i32);
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(id, Resource::Nofile, limit).map(|_| ()).map_err(io::Error::from)
    }

    /// From here on none of its writes to files succeeds, as on a disk that is full or read-only; it has to ignore the signal
    /// that tells of it, as [`ignoring_file_size_signal`] has it.
    pub fn fill_disk(&self) -> io::Result<()> {
        let id = Pid::from_raw(self.child.borrow_mut().id() as i32);
        // Not none: what is at the very begin of a file no test relies on.
        let none = Rlimit { current: Some(1), maximum: None };
        prlimit(id, Resource::Fsize, none).map(|_| ()).map_err(io::Error::from)
    }

    /// Its code, or none where a signal ended it.
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

/// The same program, which is told of a limit on its files by errors alone.
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

/// The same program, which may hold no more descriptors than so many.
pub fn with_descriptor_limit(command: &Command, most: usize) -> Command {
    let mut other = Command::new("sh");
    other
        .args(["-c", "ulimit -n \"$0\"; exec \"$@\""])
        .arg(most.to_string())
        .arg(command.get_program())
        .args(command.get_args());
    with_environment(other, command)
}

/// A run that fails leaves nothing behind that runs.
impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses for processes that have to be told of each other before they start, and come back where they were. Below the
/// ports that the machine gives to whoever asks for any: one of those could be taken by a connection while nobody listens.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    const FIRST: usize = 12_000;
    const MANY: usize = 18_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let mut found = Vec::new();
    // Processes that run beside this one begin elsewhere.
    let begin = std::process::id() as usize * 61;
    while found.len() < count {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        if n > MANY {
            return Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"));
        }
        let at = SocketAddr::from(([127, 0, 0, 1], (FIRST + (begin + n) % MANY) as u16));
        if TcpListener::bind(at).is_ok() {
            found.push(at);
        }
    }
    Ok(found)
}

/// What a process keeps over its starts: a folder that can be lost, brought back as it once was, or changed for another's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    pub folder: PathBuf,
}

impl Disk {
    pub fn new(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        Ok(Disk { folder })
    }

    /// All is lost.
    pub fn wipe(&self) -> io::Result<()> {
        fs::remove_dir_all(&self.folder)?;
        fs::create_dir(&self.folder)
    }

    /// A copy as it is now, of a process that does not run or stands still.
    pub fn copy(&self, to: PathBuf) -> io::Result<Disk> {
        let copy = Disk::new(to)?;
        copy.replace_with(self)?;
        Ok(copy)
    }

    /// What is here is replaced by what the other holds: an older copy, or another process's.
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
