//! The program itself, as operators start it.

#![allow(dead_code)]

use fernroute_test_support::process::{with_descriptor_limit, Process};
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Far longer than a start takes, on a busy machine too.
const START: Duration = Duration::from_secs(10);

/// A folder of the test's own, for files and as `$TMPDIR`.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A running balancer; its addresses stand in its log.
pub struct Program {
    process: Process,
    path: PathBuf,
    /// Where it serves; its door's until it does.
    pub address: SocketAddr,
    pub door: SocketAddr,
}

impl Program {
    /// Serves already.
    pub async fn start(folder: &Path, page: &str) -> Self {
        Program::launch(folder, page, Some(folder)).await.serving().await
    }

    /// Returns once it answers operators; callers it may serve later. `meets` is its `$TMPDIR`, if it has one.
    pub async fn launch(folder: &Path, page: &str, meets: Option<&Path>) -> Self {
        Program::run(folder, page, meets, |command| command).await
    }

    /// Serves already; its machine grants it so many descriptors, whatever its file says.
    pub async fn start_with(folder: &Path, page: &str, descriptors: usize) -> Self {
        let limited = |command| with_descriptor_limit(&command, descriptors);
        Program::run(folder, page, Some(folder), limited).await.serving().await
    }

    async fn run(folder: &Path, page: &str, meets: Option<&Path>, how: impl Fn(Command) -> Command) -> Self {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let format = if page.starts_with('{') { "json" } else { "toml" };
        let path = folder.join(format!("{}.{format}", FILES.fetch_add(1, Ordering::Relaxed)));
        std::fs::write(&path, page).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        command.args(["serve", "--config"]).arg(&path).env_remove("NODE_OPS");
        match meets {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        let process = Process::launch(how(command)).expect("it starts");
        let door = process.logged_address("operators are answered on ", START).await.expect("its door");
        Program { process, path, address: door, door }
    }

    /// Waits until it serves, and learns where.
    pub async fn serving(mut self) -> Self {
        self.address = self.process.logged_address("serving on ", START).await.expect("its address");
        self
    }

    /// Has it read this instead of its file.
    pub fn reload(&self, page: &str) {
        // In one step: a signal of before may have the file read just now.
        let whole = self.path.with_extension("new");
        std::fs::write(&whole, page).expect("a file");
        std::fs::rename(&whole, &self.path).expect("a file");
        self.signal(rustix::process::Signal::HUP);
    }

    /// As a planned restart begins.
    pub fn term(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    pub async fn ends_well(self) {
        assert_eq!(self.wait_for_exit().await, Some(0));
    }
}

impl Deref for Program {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}
