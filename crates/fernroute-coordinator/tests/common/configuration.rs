//! Helpers that enter configuration as an operator does, and wait until coordinators and balancers have it.

use super::balancer::Balancer;
use super::{wait_until, CommandOutput, Coordinators, CALL_TIMEOUT};
use fernroute_coordinator::configuration::{PutRequest, RequestError, HISTORY_PATH, PUT_PATH};
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, Target, Version, FETCH_PATH,
};
use std::time::Duration;

/// The time-out of a call to the leader.
const LEADER_CALL_TIMEOUT: Duration = CALL_TIMEOUT.saturating_mul(10);

/// A valid content, which differs for each number.
pub fn content(number: u64) -> String {
    format!("[limits]\nretry_after_s = {number}\n")
}

/// Writes a file into the test's folder and returns its path.
pub fn write_file(coordinators: &Coordinators, name: &str, content: &str) -> String {
    let path = coordinators.folder.join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

/// Runs `put`, asserts that it succeeds, and returns the version that it prints.
pub async fn put(coordinators: &Coordinators, scope: &str, content: &str, options: &[&str]) -> Version {
    let file = write_file(coordinators, "part.toml", content);
    let arguments = [&["configuration", "put", &file, "--scope", scope], options].concat();
    let output = coordinators.command(&arguments).await;
    assert_eq!(output.code, 0, "{output:?}");
    let version = output.stdout.lines().next().and_then(|line| line.strip_prefix("version "));
    let version = version.and_then(|version| version.parse().ok());
    version.unwrap_or_else(|| panic!("no version: {output:?}"))
}

/// Runs `get` of a scope.
pub async fn get(coordinators: &Coordinators, scope: &str) -> CommandOutput {
    coordinators.command(&["configuration", "get", "--scope", scope]).await
}

/// The reply of one coordinator to a fetch by a balancer of the service web in the zone a.
pub async fn fetch(
    coordinators: &Coordinators,
    index: usize,
    wanted_version: Version,
) -> Result<FetchReply, String> {
    let target = Target { name: "n9".to_owned(), service: "web".to_owned(), zone: "a".to_owned() };
    let request = FetchRequest { target, known_version: 0, wanted_version };
    let address = coordinators.processes[index].address.to_string();
    let reply = coordinators.peers.send(&address, FETCH_PATH, 0, &request, CALL_TIMEOUT).await;
    reply.map_err(|error| error.to_string())
}

/// Enters a content by a request of this process instead of a command. The request is repeated while the leader cannot
/// confirm its leadership in time: it then rejects the request and enters nothing.
pub async fn put_directly(
    coordinators: &Coordinators,
    mut leader: usize,
    scope: &Scope,
    base_version: Version,
    content: &str,
) -> Version {
    let content = content.to_owned();
    let request = PutRequest {
        scope: scope.clone(),
        base_version,
        content_hash: content_hash(&content),
        content,
        author: "bob".to_owned(),
    };
    loop {
        let address = coordinators.processes[leader].address.to_string();
        match coordinators.peers.send(&address, PUT_PATH, 0, &request, LEADER_CALL_TIMEOUT).await {
            Ok(Ok(version)) => return version,
            // An earlier attempt whose outcome was unknown has entered it.
            Ok(Err(RequestError::OutOfDate(Some(latest))))
                if latest.base_version == base_version && latest.content_hash == request.content_hash =>
            {
                return latest.version
            }
            Ok(Err(RequestError::NotLeader(_) | RequestError::Unknown(_))) | Err(_) => {
                leader = coordinators.leader(None).await;
            }
            Ok(Err(rejection)) => panic!("{rejection:?}"),
        }
    }
}

/// The history of all scopes, as the leader has it.
pub async fn history(coordinators: &Coordinators) -> Vec<HistoryEntry> {
    let all_scopes: Option<Scope> = None;
    loop {
        let leader = coordinators.leader(None).await;
        let address = coordinators.processes[leader].address.to_string();
        let reply: Result<Result<Vec<HistoryEntry>, RequestError>, _> =
            coordinators.peers.send(&address, HISTORY_PATH, 0, &all_scopes, LEADER_CALL_TIMEOUT).await;
        if let Ok(Ok(entries)) = reply {
            return entries;
        }
    }
}

/// Waits until one coordinator serves these contents to the service web in the zone a.
pub async fn wait_until_served(
    coordinators: &Coordinators,
    index: usize,
    wanted_version: Version,
    contents: &[String],
) {
    wait_until(|| async {
        let reply = fetch(coordinators, index, wanted_version).await;
        let Ok(FetchReply::Entries { version, entries, .. }) = reply else { return false };
        version == wanted_version && entries.iter().map(|entry| &entry.content).eq(contents)
    })
    .await;
}

/// Waits until each balancer got a reply to a heartbeat.
pub async fn wait_until_known(balancers: &[Balancer]) {
    wait_until(|| async { balancers.iter().all(|balancer| balancer.state.heartbeats.get() > 0) }).await;
}

/// Waits until this is each balancer's active version.
pub async fn wait_until_active(balancers: &[Balancer], version: Version) {
    wait_until(|| async { balancers.iter().all(|balancer| balancer.active_version() == version) }).await;
}
