//! Configuration requests of an operator to a fleet of real processes, and the rollout state of its
//! balancers.

use super::{launch, Fleet, START_TIMEOUT};
use fernroute_coordinator::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, GET_PATH, PUT_PATH, STATUS_PATH,
};
use fernroute_fleet::configuration::rollout::MemberRollout;
use fernroute_fleet::configuration::{content_hash, Scope, Version};
use fernroute_fleet::message::{Envelope, PROTOCOL_VERSION};
use fernroute_test_support::caller::rpc_head;
use fernroute_test_support::http::read_message;
use fernroute_test_support::process::{ignoring_file_size_signal, Process};
use rustix::process::Signal;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends an operator's request to a coordinator. `None` if it does not answer.
pub async fn request<A: DeserializeOwned>(
    cluster: &str,
    at: SocketAddr,
    path: &str,
    message: impl Serialize,
) -> Option<A> {
    let envelope = Envelope { cluster: cluster.to_owned(), version: PROTOCOL_VERSION, recipient: 0, message };
    let body = serde_json::to_string(&envelope).ok()?;
    let length = body.len();
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all((head + &body).as_bytes()).await.ok()?;
    let answer = timeout(START_TIMEOUT, read_message(&mut stream)).await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

impl Fleet {
    /// Sends a request to the leader, retrying until one answers. After a lost answer the scope's latest
    /// entry shows whether the request was applied.
    async fn request_leader<A: DeserializeOwned>(
        &self,
        path: &str,
        message: impl Serialize + Copy,
    ) -> Result<A, RequestError> {
        loop {
            for (coordinator, at) in self.coordinators.iter().zip(&self.coordinator_addresses) {
                if !coordinator.is_running() {
                    continue;
                }
                match request::<Result<A, RequestError>>("c", *at, path, message).await {
                    Some(Err(RequestError::NotLeader(_))) | None => {}
                    Some(result) => return result,
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Puts configuration for a scope, based on its latest version, and returns the new version. Returns
    /// the latest version if that already has this content.
    pub async fn put_configuration(&self, scope: &str, content: &str) -> Version {
        let scope: Scope = scope.parse().expect("a valid scope");
        loop {
            let latest: LatestEntry = self.request_leader(GET_PATH, &scope).await.expect("the latest entry");
            let base = latest.entry.as_ref().map_or(0, |part| part.version);
            if latest.entry.is_some_and(|part| part.content == content) {
                return base;
            }
            let (content, hash, author) = (content.to_owned(), content_hash(content), "op".to_owned());
            let put =
                PutRequest { scope: scope.clone(), base_version: base, content_hash: hash, content, author };
            match self.request_leader(PUT_PATH, &put).await {
                Ok(version) => return version,
                // The answer to an earlier try was lost, or that try may still be applied.
                Err(RequestError::OutOfDate(_) | RequestError::Unknown(_)) => {}
                Err(other) => panic!("{other:?}"),
            }
        }
    }

    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.request_leader(STATUS_PATH, ()).await.expect("the leader answers")
    }

    /// Waits until the leader reports a rollout state of this balancer that satisfies the condition.
    pub async fn wait_for_rollout(
        &self,
        n: usize,
        condition: impl Fn(&MemberRollout) -> bool,
    ) -> MemberRollout {
        let name = format!("b{n}");
        loop {
            let members = self.configuration_status().await.members;
            if let Some(member) = members.into_iter().find(|member| member.name == name && condition(member))
            {
                return member;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until these balancers report this version as active.
    pub async fn wait_until_active(&self, version: Version, balancers: &[usize]) {
        for n in balancers {
            self.wait_for_rollout(*n, |member| member.active == version).await;
        }
    }

    /// Status of the answer to an RPC of this method, if there is one.
    pub async fn request_status(&self, n: usize, method: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.addresses[n]).await.ok()?;
        let request_bytes = rpc_head("GET", &format!("/{method}"), "Connection: close\r\n");
        stream.write_all(request_bytes.as_bytes()).await.ok()?;
        Some(timeout(START_TIMEOUT, read_message(&mut stream)).await.ok()??.status())
    }

    /// Versions this balancer logged as applied, in order.
    pub fn applied_versions(&self, n: usize) -> Vec<Version> {
        let version =
            |line: String| line.split_once("configuration ")?.1.strip_suffix(" is in force")?.parse().ok();
        self.balancers[n].log().into_iter().filter_map(version).collect()
    }

    /// Edits this balancer's own file, for its next start and its next SIGHUP.
    pub fn edit_file(&mut self, n: usize, old: &str, new: &str) {
        assert!(self.balancer_files[n].contains(old), "{old}");
        self.balancer_files[n] = self.balancer_files[n].replace(old, new);
        let path = self.folder.join(format!("b{n}.toml"));
        std::fs::write(path.with_extension("new"), &self.balancer_files[n]).expect("the file is written");
        std::fs::rename(path.with_extension("new"), path).expect("the file is written");
    }

    pub fn reload(&self, n: usize) {
        self.balancers[n].signal(Signal::HUP);
    }

    /// Path of the configuration cached by this balancer.
    pub fn cached_configuration(&self, n: usize) -> PathBuf {
        self.folder.join(format!("fernroute-b{n}-127.0.0.1_0.configuration"))
    }

    /// Restarts a balancer that ignores SIGXFSZ, so that a full disk gives errors and does not end the
    /// process.
    pub async fn restart_ignoring_limits(&mut self, n: usize) -> Result<(), String> {
        self.balancers[n].kill();
        let mut command = Command::new(&self.program);
        let path = self.folder.join(format!("b{n}.toml"));
        command.args(["balancer", "--config"]).arg(path).env("TMPDIR", &self.folder);
        command.env_remove("FERNROUTE_LOG").env_remove("NODE_OPS");
        let process = Process::launch(ignoring_file_size_signal(&command)).map_err(|e| e.to_string())?;
        self.addresses[n] = process.logged_address("serving on ", START_TIMEOUT).await?;
        self.balancers[n] = process;
        Ok(())
    }

    /// Restarts a balancer with its existing data, and sends no load to it.
    pub async fn restart_without_load(&mut self, n: usize) -> Result<(), String> {
        self.balancers[n].kill();
        let process =
            launch(&self.program, "balancer", &self.folder, &format!("b{n}"), &self.balancer_files[n])?;
        self.addresses[n] = process.logged_address("serving on ", START_TIMEOUT).await?;
        self.balancers[n] = process;
        Ok(())
    }
}
