//! Real stewards on loopback, and members that beat.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod balancer;
pub mod operator;

use fernroute_coordinator::peers::{Peers, STATUS};
use fernroute_coordinator::replica::{now, Status};
use fernroute_fleet::configuration::{ConfigurationReport, Version};
use fernroute_fleet::duties::holder::MemberDuties;
use fernroute_fleet::member::Member;
use fernroute_fleet::message::{HeartbeatError, HeartbeatReply, HEARTBEAT_PATH};
use fernroute_fleet::{BudgetAmounts, MilliUnits};
use fernroute_test_support::process::{addresses, ignoring_limits, Disk, Process};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

pub const WHOLE: MilliUnits = 200_000;
pub const WITHIN: Duration = Duration::from_millis(400);

pub fn run(test: impl Future<Output = ()>) {
    let runtime = actix_rt::Runtime::new().expect("a runtime");
    let end = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(40), test).await });
    end.expect("the test ends");
}

/// Comes true, or the test ends by its own time-out.
pub async fn until<F: Future<Output = bool>>(mut what: impl FnMut() -> F) {
    while !what().await {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A steward that may be started again.
pub struct Place {
    pub name: String,
    pub address: SocketAddr,
    pub disk: Disk,
    pub page: PathBuf,
    pub process: Option<Process>,
}

impl Place {
    pub fn start(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        command.args(["serve", "--first", "--config"]).arg(&self.page).env_remove("FERNROUTE_LOG");
        self.process = Some(Process::launch(ignoring_limits(&command)).expect("it starts"));
    }

    /// Gives it a file that names these; the first of all there are, in their order.
    pub fn name(&self, cluster: &str, addresses: &[SocketAddr]) {
        let list =
            |(n, at): (usize, &SocketAddr)| format!("[[steward]]\nname = \"s{n}\"\naddress = \"{at}\"\n");
        let list: String = addresses.iter().enumerate().map(list).collect();
        let text = format!(
            "cluster = \"{cluster}\"\nname = \"{}\"\nfolder = \"{}\"\nmembers = 10\nshares_ms = 3000\nfloors_s = 12\n\
             {list}[[budget]]\nname = \"acme\"\nwhole = 200\nfloors = 0.1\n",
            self.name,
            self.disk.folder.display()
        );
        std::fs::write(&self.page, text).expect("a file");
    }

    /// Puts one text of its file in place of another, before it starts.
    pub fn change_page(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.page).expect("a file");
        assert!(text.contains(old), "{old}");
        std::fs::write(&self.page, text.replace(old, new)).expect("a file");
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("it was started")
    }
}

pub struct Stewards {
    pub folder: PathBuf,
    pub places: Vec<Place>,
    pub peers: Peers,
}

impl Stewards {
    pub fn new(name: &str, cluster: &str, count: usize) -> Self {
        let folder =
            std::env::temp_dir().join(format!("fernroute-coordinator-{name}-{}", std::process::id()));
        let addresses = addresses(count).expect("ports");
        let place = |(n, address): (usize, &SocketAddr)| {
            let disk = Disk::new(folder.join(format!("s{n}"))).expect("a folder");
            let page = folder.join(format!("s{n}.toml"));
            let place = Place { name: format!("s{n}"), address: *address, disk, page, process: None };
            place.name(cluster, &addresses);
            place
        };
        let places = addresses.iter().enumerate().map(place).collect();
        Stewards { folder, places, peers: Peers::new(cluster, &[]) }
    }

    pub fn start(&mut self) {
        self.places.iter_mut().for_each(Place::start);
    }

    pub async fn status(&self, n: usize) -> Option<Status> {
        self.peers.ask(&self.places[n].address.to_string(), STATUS, WITHIN).await.ok()
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|place| place.address).collect()
    }

    /// A command, and each steward's address with `--at`; its exit code, and what it said on either way.
    pub async fn command(&self, words: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        command.args(words).env("USER", "ann");
        for place in &self.places {
            command.args(["--at".to_owned(), place.address.to_string()]);
        }
        said(command).await
    }

    /// The command that takes in who is new; its exit code and all that it said.
    pub fn change(&self, n: usize) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        let said = command.args(["change", "--config"]).arg(&self.places[n].page).output().expect("it runs");
        let text = [said.stdout, said.stderr].concat();
        (said.status.code(), String::from_utf8_lossy(&text).into_owned())
    }

    pub async fn until_state(&self, n: usize, state: &str) {
        until(|| async { self.status(n).await.is_some_and(|s| s.state == state) }).await;
    }

    /// Which one leads, by its own word, once one does that is not this one.
    pub async fn leader(&self, not: Option<usize>) -> usize {
        let found = Cell::new(None);
        until(|| async {
            for n in (0..self.places.len()).filter(|n| Some(*n) != not) {
                if self.status(n).await.is_some_and(|s| s.state == "leader") {
                    found.set(Some(n));
                }
            }
            found.get().is_some()
        })
        .await;
        found.get().expect("one leads")
    }
}

impl Drop for Stewards {
    fn drop(&mut self) {
        self.places.iter_mut().for_each(|place| place.process = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a command beside what the test's other tasks do.
pub async fn said(mut command: Command) -> (i32, String, String) {
    let said =
        tokio::task::spawn_blocking(move || command.output().expect("it runs")).await.expect("it ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (said.status.code().expect("no signal ended it"), text(&said.stdout), text(&said.stderr))
}

/// A member as a balancer will be one: it asks one steward after another.
pub struct Asks {
    pub member: Member,
    pub wants: MilliUnits,
    /// The longest that it went without a share, in tenths of a millisecond, once it had one.
    pub bare: u64,
    pub had: bool,
    /// Of the configuration that it goes by: none at a version that knows of none.
    pub report: Option<ConfigurationReport>,
    /// The version that the last answer told it of.
    pub told: Option<Version>,
    /// The duties that it holds: none at a version that knows of none.
    pub duties: Option<MemberDuties>,
}

impl Asks {
    pub fn new(name: &str, identity: u64, wants: MilliUnits) -> Self {
        let member = Member::new(name, identity, now());
        Asks { member, wants, bare: 0, had: false, report: None, told: None, duties: None }
    }

    pub fn holds(&self) -> MilliUnits {
        self.member.allocated(now(), "acme")
    }

    pub async fn beat(&mut self, peers: &Peers, stewards: &[SocketAddr]) -> bool {
        let bare = now().saturating_sub(self.member.expirations().0);
        if self.had {
            self.bare = self.bare.max(bare);
        }
        let mut beat = self.member.heartbeat(now(), BudgetAmounts::from([("acme".to_owned(), self.wants)]));
        beat.configuration.clone_from(&self.report);
        beat.duties = self.duties.as_mut().map(|duties| duties.report(now(), beat.number));
        for at in stewards {
            let said: Result<Result<HeartbeatReply, HeartbeatError>, String> =
                peers.say(&at.to_string(), HEARTBEAT_PATH, 0, &beat, WITHIN).await;
            if let Ok(Ok(answer)) = said {
                self.told = answer.configuration;
                self.member.on_reply(now(), &answer);
                if let Some(duties) = &mut self.duties {
                    duties.on_reply(now(), answer.number, answer.duties.as_ref());
                }
                self.had |= self.member.allocated_parts("acme").1 > 0;
                return true;
            }
        }
        false
    }
}

/// Everybody beats until this is so; what all hold is held against the whole at each look.
pub async fn beat_until(stewards: &Stewards, members: &mut [Asks], what: impl Fn(&[Asks]) -> bool) {
    loop {
        for n in 0..members.len() {
            members[n].beat(&stewards.peers, &stewards.addresses()).await;
            let all: MilliUnits = members.iter().map(Asks::holds).sum();
            assert!(all <= WHOLE, "{all}");
        }
        if what(members) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

pub fn near_all(members: &[Asks]) -> bool {
    members.iter().map(Asks::holds).sum::<MilliUnits>() * 20 >= WHOLE * 19
}
