//! The program itself, as operators start it.

#![allow(dead_code)]

use crate::common::until;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A folder of the test's own, for files and as `$TMPDIR`.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A running program; its addresses stand in its log.
pub struct Program {
    child: Child,
    path: PathBuf,
    /// Where it serves; its door's until it does.
    pub address: SocketAddr,
    pub door: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Program {
    /// Serves already.
    pub async fn start(folder: &Path, page: &str) -> Self {
        Program::launch(folder, page, Some(folder)).serving().await
    }

    /// Returns once it answers operators; callers it may serve later. `meets` is its `$TMPDIR`, if it has one.
    pub fn launch(folder: &Path, page: &str, meets: Option<&Path>) -> Self {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let path = folder.join(format!("{}.json", FILES.fetch_add(1, Ordering::Relaxed)));
        std::fs::write(&path, page).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        command.args(["serve", "--config"]).arg(&path).env_remove("NODE_OPS").stderr(Stdio::piped());
        match meets {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        let mut child = command.spawn().expect("it starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let door = lines.find_map(|line| {
            let line = line.ok()?;
            log.lock().expect("the log").push(line.clone());
            address(&line, "operators are answered on ")
        });
        let door = door.unwrap_or_else(|| panic!("no door: {:?}", log.lock()));
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| kept.lock().expect("the log").push(line));
        });
        Program { child, path, address: door, door, log }
    }

    /// Waits until it serves, and learns where.
    pub async fn serving(mut self) -> Self {
        let mut at = None;
        until(|| {
            at = self.log.lock().expect("the log").iter().find_map(|line| address(line, "serving on "));
            at.is_some()
        })
        .await;
        self.address = at.expect("it says where");
        self
    }

    pub fn says(&self, what: &str) -> bool {
        self.log.lock().expect("the log").iter().any(|line| line.contains(what))
    }

    /// How many lines say this.
    pub fn times(&self, what: &str) -> usize {
        self.log.lock().expect("the log").iter().filter(|line| line.contains(what)).count()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("a signal").success());
    }

    /// Has it read this instead of its file.
    pub fn reload(&self, page: &str) {
        // In one step: a signal of before may have the file read just now.
        let whole = self.path.with_extension("new");
        std::fs::write(&whole, page).expect("a file");
        std::fs::rename(&whole, &self.path).expect("a file");
        self.signal("-HUP");
    }

    pub async fn ends_well(self) {
        let code = self.ends().await;
        assert_eq!(code, Some(0));
    }

    /// Its code, or none where a signal ended it.
    pub async fn ends(mut self) -> Option<i32> {
        let mut status = None;
        until(|| {
            status = self.child.try_wait().expect("its state");
            status.is_some()
        })
        .await;
        status.and_then(|status| status.code())
    }
}

fn address(line: &str, what: &str) -> Option<SocketAddr> {
    line.split_once(what)?.1.split(',').next()?.parse().ok()
}

/// A test that fails leaves nothing behind that runs.
impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
