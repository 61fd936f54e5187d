//! What an operator does, and what is seen of it.

use super::balancer::Balancer;
use super::{until, Stewards, WITHIN};
use fernroute_coordinator::configuration::{PutRequest, RequestError, HISTORY, PUT};
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, Target, Version, FETCH_PATH,
};
use std::path::PathBuf;

/// A content that loads, told from others by its number.
pub fn content(n: u64) -> String {
    format!("[limits]\nretry_after_s = {n}\n")
}

pub fn write(stewards: &Stewards, name: &str, content: &str) -> String {
    let path: PathBuf = stewards.folder.join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

/// Puts it and takes it for entered; its version.
pub async fn put(stewards: &Stewards, scope: &str, content: &str, more: &[&str]) -> Version {
    let file = write(stewards, "part.toml", content);
    let words = [&["configuration", "put", &file, "--scope", scope], more].concat();
    let (code, said, why) = stewards.command(&words).await;
    assert_eq!(code, 0, "{said}{why}");
    let version = said.lines().next().and_then(|line| line.strip_prefix("version "));
    version.and_then(|version| version.parse().ok()).unwrap_or_else(|| panic!("no version: {said}"))
}

/// What one steward hands out.
pub async fn fetch(stewards: &Stewards, n: usize, want: Version) -> Result<FetchReply, String> {
    let place = Target { name: "n9".to_owned(), service: "web".to_owned(), zone: "a".to_owned() };
    let fetch = FetchRequest { target: place, known_version: 0, wanted_version: want };
    stewards.peers.say(&stewards.places[n].address.to_string(), FETCH_PATH, 0, &fetch, WITHIN).await
}

/// The same without a process of its own, as often as it takes: a leader that is too busy to be sure that it leads says so,
/// and has entered nothing.
pub async fn enter(
    stewards: &Stewards,
    mut leader: usize,
    scope: &Scope,
    base: Version,
    content: &str,
) -> Version {
    let (content, who) = (content.to_owned(), "bob".to_owned());
    let wish = PutRequest { scope: scope.clone(), base, hash: content_hash(&content), content, who };
    loop {
        let at = stewards.places[leader].address.to_string();
        match stewards.peers.say(&at, PUT, 0, &wish, WITHIN * 10).await {
            Ok(Ok(version)) => return version,
            // What was not known was entered.
            Ok(Err(RequestError::OutOfDate(Some(line))))
                if line.base_version == base && line.content_hash == wish.hash =>
            {
                return line.version
            }
            Ok(Err(RequestError::Elsewhere(_) | RequestError::Unknown(_))) | Err(_) => {
                leader = stewards.leader(None).await;
            }
            Ok(Err(why)) => panic!("{why:?}"),
        }
    }
}

/// All that was entered, by the leader's word.
pub async fn history(stewards: &Stewards) -> Vec<HistoryEntry> {
    let all: Option<Scope> = None;
    loop {
        let at = stewards.places[stewards.leader(None).await].address.to_string();
        let said: Result<Result<Vec<HistoryEntry>, RequestError>, String> =
            stewards.peers.say(&at, HISTORY, 0, &all, WITHIN * 10).await;
        if let Ok(Ok(lines)) = said {
            return lines;
        }
    }
}

/// The content and all that was said of it.
pub async fn get(stewards: &Stewards, scope: &str) -> (i32, String, String) {
    stewards.command(&["configuration", "get", "--scope", scope]).await
}

/// This steward hands out these for the service web in the zone a.
pub async fn until_hands_out(stewards: &Stewards, n: usize, want: Version, contents: &[String]) {
    until(|| async {
        let Ok(FetchReply::Entries { version, entries: parts, .. }) = fetch(stewards, n, want).await else {
            return false;
        };
        version == want && parts.iter().map(|part| &part.content).eq(contents)
    })
    .await;
}

pub async fn until_beats(balancers: &[Balancer]) {
    until(|| async { balancers.iter().all(|b| b.view.beats.get() > 0) }).await;
}

pub async fn until_in_force(balancers: &[Balancer], version: Version) {
    until(|| async { balancers.iter().all(|b| b.in_force() == version) }).await;
}
