//! Runs the `fernroute` program as a separate process.

#![allow(dead_code)]

use fernroute_test_support::process::{with_descriptor_limit, Process};
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Far longer than a start takes, even on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a directory for one test, used for its files and as `$TMPDIR`.
pub fn temp_dir(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("access the test directory");
    folder
}

/// A running balancer, whose addresses are read from its log.
pub struct Program {
    process: Process,
    path: PathBuf,
    /// The address for callers; equal to `ops_address` until the balancer serves.
    pub address: SocketAddr,
    /// The address for operators.
    pub ops_address: SocketAddr,
}

impl Program {
    /// Returns once the balancer serves callers.
    pub async fn start(folder: &Path, config: &str) -> Self {
        Program::launch(folder, config, Some(folder)).await.until_serving().await
    }

    /// Returns once the balancer answers operators, possibly before it serves callers. `tmpdir` becomes its `$TMPDIR`;
    /// with `None` the variable is unset.
    pub async fn launch(folder: &Path, config: &str, tmpdir: Option<&Path>) -> Self {
        Program::run(folder, config, tmpdir, |command| command).await
    }

    /// Like [`Program::start`], with an operating system limit on file descriptors that is independent of the configuration.
    pub async fn start_with(folder: &Path, config: &str, descriptors: usize) -> Self {
        let limited = |command| with_descriptor_limit(&command, descriptors);
        Program::run(folder, config, Some(folder), limited).await.until_serving().await
    }

    async fn run(
        folder: &Path,
        config: &str,
        tmpdir: Option<&Path>,
        prepare: impl Fn(Command) -> Command,
    ) -> Self {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let extension = if config.starts_with('{') { "json" } else { "toml" };
        let path = folder.join(format!("{}.{extension}", FILES.fetch_add(1, Ordering::Relaxed)));
        std::fs::write(&path, config).expect("access the test file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        command.args(["serve", "--config"]).arg(&path).env_remove("NODE_OPS");
        match tmpdir {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        let process = Process::launch(prepare(command)).expect("start the balancer");
        let ops_address = process
            .logged_address("operators are answered on ", START_TIMEOUT)
            .await
            .expect("operations address in the log");
        Program { process, path, address: ops_address, ops_address }
    }

    /// Waits until the balancer serves callers, and sets `address`.
    pub async fn until_serving(mut self) -> Self {
        self.address = self
            .process
            .logged_address("serving on ", START_TIMEOUT)
            .await
            .expect("service address in the log");
        self
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        // Replaced atomically: an earlier SIGHUP may be reading the file now.
        let new_file = self.path.with_extension("new");
        std::fs::write(&new_file, config).expect("access the test file");
        std::fs::rename(&new_file, &self.path).expect("access the test file");
        self.signal(rustix::process::Signal::HUP);
    }

    /// Sends SIGTERM, which begins a planned shutdown.
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Waits for the process and checks that its exit code is 0.
    pub async fn exits_cleanly(self) {
        assert_eq!(self.wait_for_exit().await, Some(0));
    }
}

impl Deref for Program {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}
