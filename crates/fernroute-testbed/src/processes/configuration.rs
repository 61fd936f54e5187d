//! What operators do to the configuration of a fleet of real processes, and how far its balancers are with it.

use super::{launch, Fleet, START};
use fernroute_coordinator::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, GET_PATH, PUT_PATH, STATUS_PATH,
};
use fernroute_fleet::configuration::rollout::MemberRollout;
use fernroute_fleet::configuration::{content_hash, Scope, Version};
use fernroute_fleet::message::{Envelope, PROTOCOL_VERSION};
use fernroute_test_support::caller::rpc;
use fernroute_test_support::http::read;
use fernroute_test_support::process::{ignoring_limits, Process};
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

const LOOK: Duration = Duration::from_millis(20);

/// A steward's answer to an operator, if there is one.
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
    let answer = timeout(START, read(&mut stream)).await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

impl Fleet {
    /// To whichever steward leads, as often as it takes until one does. Whether a word is entered whose answer was lost the scope's
    /// latest entry tells.
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
                    Some(done) => return done,
                }
            }
            sleep(LOOK).await;
        }
    }

    /// Enters a part of balancers' files over what is the scope's latest; its version.
    pub async fn put_configuration(&self, scope: &str, content: &str) -> Version {
        let scope: Scope = scope.parse().expect("a scope");
        loop {
            let latest: LatestEntry = self.request_leader(GET_PATH, &scope).await.expect("the latest");
            let base = latest.entry.as_ref().map_or(0, |part| part.version);
            if latest.entry.is_some_and(|part| part.content == content) {
                return base;
            }
            let (content, hash, who) = (content.to_owned(), content_hash(content), "op".to_owned());
            let wish = PutRequest {
                scope: scope.clone(),
                base_version: base,
                content_hash: hash,
                content,
                author: who,
            };
            match self.request_leader(PUT_PATH, &wish).await {
                Ok(version) => return version,
                // The answer to an earlier try was lost, or may come yet.
                Err(RequestError::OutOfDate(_) | RequestError::Unknown(_)) => {}
                Err(other) => panic!("{other:?}"),
            }
        }
    }

    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.request_leader(STATUS_PATH, ()).await.expect("its word")
    }

    /// How far this balancer is by its leader's word, once it is so.
    pub async fn wait_for_rollout(&self, n: usize, so: impl Fn(&MemberRollout) -> bool) -> MemberRollout {
        let name = format!("b{n}");
        loop {
            let members = self.configuration_status().await.members;
            if let Some(member) = members.into_iter().find(|member| member.name == name && so(member)) {
                return member;
            }
            sleep(LOOK).await;
        }
    }

    /// Until these balancers say that they go by this version.
    pub async fn wait_until_active(&self, version: Version, balancers: &[usize]) {
        for n in balancers {
            self.wait_for_rollout(*n, |member| member.active == version).await;
        }
    }

    /// The answer to an RPC of this method; none where its balancer gives none.
    pub async fn request_status(&self, n: usize, method: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.addresses[n]).await.ok()?;
        let asked = rpc("GET", &format!("/{method}"), "Connection: close\r\n");
        stream.write_all(asked.as_bytes()).await.ok()?;
        Some(timeout(START, read(&mut stream)).await.ok()??.status())
    }

    /// The versions that this balancer's process says went into force, in the order in which they did.
    pub fn applied_versions(&self, n: usize) -> Vec<Version> {
        let version =
            |line: String| line.split_once("configuration ")?.1.strip_suffix(" is in force")?.parse().ok();
        self.balancers[n].log().into_iter().filter_map(version).collect()
    }

    /// This balancer's own file from now on, for its next start and its next SIGHUP.
    pub fn edit_file(&mut self, n: usize, old: &str, new: &str) {
        assert!(self.balancer_files[n].contains(old), "{old}");
        self.balancer_files[n] = self.balancer_files[n].replace(old, new);
        let page = self.folder.join(format!("b{n}.toml"));
        std::fs::write(page.with_extension("new"), &self.balancer_files[n]).expect("a file");
        std::fs::rename(page.with_extension("new"), page).expect("a file");
    }

    pub fn reload(&self, n: usize) {
        self.balancers[n].signal(Signal::HUP);
    }

    /// Where this balancer keeps what it goes by.
    pub fn cached_configuration(&self, n: usize) -> PathBuf {
        self.folder.join(format!("fernroute-b{n}-127.0.0.1_0.configuration"))
    }

    /// Starts one again that is told of a full disk by errors alone.
    pub async fn restart_ignoring_limits(&mut self, n: usize) -> Result<(), String> {
        self.balancers[n].kill();
        let mut command = Command::new(&self.program);
        let page = self.folder.join(format!("b{n}.toml"));
        command.args(["balancer", "--config"]).arg(page).env("TMPDIR", &self.folder);
        command.env_remove("FERNROUTE_LOG").env_remove("NODE_OPS");
        let process = Process::launch(ignoring_limits(&command)).map_err(|e| e.to_string())?;
        self.addresses[n] = process.address_after("serving on ", START).await?;
        self.balancers[n] = process;
        Ok(())
    }

    /// Starts one again, with what is left on its disk, and asks nothing of it.
    pub async fn restart_without_load(&mut self, n: usize) -> Result<(), String> {
        self.balancers[n].kill();
        let process =
            launch(&self.program, "balancer", &self.folder, &format!("b{n}"), &self.balancer_files[n])?;
        self.addresses[n] = process.address_after("serving on ", START).await?;
        self.balancers[n] = process;
        Ok(())
    }
}
