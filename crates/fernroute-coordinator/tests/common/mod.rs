//! Coordinator processes on the loopback interface, and members that send them heartbeats.

// Each test file uses a part of this module.
#![allow(dead_code)]

pub mod balancer;
pub mod configuration;

use fernroute_coordinator::peers::{Peers, STATUS_PATH};
use fernroute_coordinator::replica::{now, Status};
use fernroute_fleet::configuration::{ConfigurationReport, Version};
use fernroute_fleet::duties::holder::MemberDuties;
use fernroute_fleet::member::Member;
use fernroute_fleet::message::{HeartbeatError, HeartbeatReply, HEARTBEAT_PATH};
use fernroute_fleet::{BudgetAmounts, MilliUnits};
use fernroute_test_support::process::{free_addresses, ignoring_file_size_signal, Disk, Process};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_fernroute-coordinator");
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// The time-out of one call to a coordinator.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The limit of the budget `acme` in each configuration file.
pub const BUDGET_LIMIT: MilliUnits = 200_000;

/// What is guaranteed to each member: a tenth of the limit, divided by ten members.
pub const GUARANTEED: MilliUnits = BUDGET_LIMIT / 100;

/// Runs a test on one thread, and fails it after a time-out.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = actix_rt::Runtime::new().expect("a runtime");
    let result = runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await });
    result.expect("the test ends in time");
}

/// Polls until the condition holds; the test's own time-out ends it otherwise.
pub async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    while !condition().await {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The result of a command.
#[derive(Debug)]
pub struct CommandOutput {
    /// The exit code.
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().expect("an exit code");
        CommandOutput { code, stdout: text(&output.stdout), stderr: text(&output.stderr) }
    }
}

impl CommandOutput {
    /// Standard output, then standard error.
    pub fn text(&self) -> String {
        format!("{}{}", self.stdout, self.stderr)
    }
}

/// The program with these arguments.
pub fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments);
    command
}

/// Runs a command without blocking the test's other tasks.
pub async fn run_command(mut command: Command) -> CommandOutput {
    let output = tokio::task::spawn_blocking(move || command.output().expect("the program runs"));
    output.await.expect("the command ends").into()
}

/// A coordinator with a disk and a configuration file of its own, which can be restarted.
pub struct CoordinatorProcess {
    /// `s0` for the first, `s1` for the second, and so on.
    pub name: String,
    pub address: SocketAddr,
    pub disk: Disk,
    pub config_path: PathBuf,
    /// The running process; none before the first start.
    pub process: Option<Process>,
}

impl CoordinatorProcess {
    /// Starts it with its configuration file and its disk.
    pub fn start(&mut self) {
        let mut command = program(&["serve", "--first", "--config"]);
        command.arg(&self.config_path).env_remove("FERNROUTE_LOG");
        self.process =
            Some(Process::launch(ignoring_file_size_signal(&command)).expect("the process starts"));
    }

    /// Writes a configuration file with coordinators at these addresses: `s0` at the first, and so on.
    pub fn write_config(&self, cluster: &str, addresses: &[SocketAddr]) {
        let coordinator = |(index, address): (usize, &SocketAddr)| {
            format!("[[steward]]\nname = \"s{index}\"\naddress = \"{address}\"\n")
        };
        let coordinators: String = addresses.iter().enumerate().map(coordinator).collect();
        let text = format!(
            "cluster = \"{cluster}\"\nname = \"{}\"\nfolder = \"{}\"\nmembers = 10\nshares_ms = 3000\nfloors_s = 12\n\
             {coordinators}[[budget]]\nname = \"acme\"\nwhole = 200\nfloors = 0.1\n",
            self.name,
            self.disk.folder.display()
        );
        std::fs::write(&self.config_path, text).expect("a file");
    }

    /// Replaces a text of its configuration file; this takes effect at the next start.
    pub fn replace_in_config(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.config_path).expect("a file");
        assert!(text.contains(old), "{old}");
        std::fs::write(&self.config_path, text.replace(old, new)).expect("a file");
    }

    /// The running process; panics before the first start.
    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("a started process")
    }

    pub fn kill(&self) {
        self.process().kill();
    }

    /// Kills it, and restarts it with an empty disk.
    pub fn restart_without_disk(&mut self) {
        self.kill();
        self.disk.wipe().expect("an empty disk");
        self.start();
    }
}

/// The coordinators of one cluster, `s0` first.
pub struct Coordinators {
    /// The folder of their disks and files, removed at the end.
    pub folder: PathBuf,
    pub processes: Vec<CoordinatorProcess>,
    pub peers: Peers,
}

impl Coordinators {
    /// Prepares disks and configuration files in a folder of this test, and starts no process.
    pub fn new(test: &str, cluster: &str, count: usize) -> Self {
        let folder =
            std::env::temp_dir().join(format!("fernroute-coordinator-{test}-{}", std::process::id()));
        let addresses = free_addresses(count).expect("free ports");
        let mut processes = Vec::new();
        for (index, address) in addresses.iter().copied().enumerate() {
            let name = format!("s{index}");
            let disk = Disk::new(folder.join(&name)).expect("a folder");
            let config_path = folder.join(format!("{name}.toml"));
            let process = CoordinatorProcess { name, address, disk, config_path, process: None };
            process.write_config(cluster, &addresses);
            processes.push(process);
        }
        Coordinators { folder, processes, peers: Peers::new(cluster, &[]) }
    }

    /// Starts all of them and waits until one leads.
    pub async fn launch(test: &str, cluster: &str, count: usize) -> Self {
        let mut coordinators = Coordinators::new(test, cluster, count);
        coordinators.start();
        coordinators.leader(None).await;
        coordinators
    }

    pub fn start(&mut self) {
        for process in &mut self.processes {
            process.start();
        }
    }

    pub fn kill(&self) {
        for process in &self.processes {
            process.kill();
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.address).collect()
    }

    /// The status that one of them reports; none where it does not reply in time.
    pub async fn status(&self, index: usize) -> Option<Status> {
        self.peers.query(&self.processes[index].address.to_string(), STATUS_PATH, CALL_TIMEOUT).await.ok()
    }

    /// Runs a command with `--at` each coordinator's address.
    pub async fn command(&self, arguments: &[&str]) -> CommandOutput {
        let mut command = program(arguments);
        command.env("USER", "ann");
        for process in &self.processes {
            command.args(["--at".to_owned(), process.address.to_string()]);
        }
        run_command(command).await
    }

    /// Runs `change` with the file of one coordinator.
    pub fn change(&self, index: usize) -> CommandOutput {
        let mut command = program(&["change", "--config"]);
        command.arg(&self.processes[index].config_path).output().expect("the program runs").into()
    }

    /// Waits until one of them reports this state.
    pub async fn wait_for_state(&self, index: usize, state: &str) {
        wait_until(|| async { self.status(index).await.is_some_and(|status| status.state == state) }).await;
    }

    /// Waits until a coordinator other than `except` reports that it leads.
    pub async fn leader(&self, except: Option<usize>) -> usize {
        let leader = Cell::new(None);
        wait_until(|| async {
            for index in (0..self.processes.len()).filter(|index| Some(*index) != except) {
                if self.status(index).await.is_some_and(|status| status.state == "leader") {
                    leader.set(Some(index));
                }
            }
            leader.get().is_some()
        })
        .await;
        leader.get().expect("a leader")
    }
}

impl Drop for Coordinators {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.process = None;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A member that sends each heartbeat to one coordinator after another until one replies.
pub struct TestMember {
    pub member: Member,
    pub demand: MilliUnits,
    /// The longest time without a grant beyond the guarantee, after the first one, in tenths of a
    /// millisecond.
    pub longest_lapse: u64,
    /// Whether it has had a grant beyond its guarantee.
    pub was_granted: bool,
    /// Its configuration report; none for a version that does not support configuration.
    pub report: Option<ConfigurationReport>,
    /// The configuration version that the last reply notified it of.
    pub notified_version: Option<Version>,
    /// Its duties; none for a version that does not support duties.
    pub duties: Option<MemberDuties>,
}

impl TestMember {
    pub fn new(name: &str, id: u64, demand: MilliUnits) -> Self {
        TestMember {
            member: Member::new(name, id, now()),
            demand,
            longest_lapse: 0,
            was_granted: false,
            report: None,
            notified_version: None,
            duties: None,
        }
    }

    /// The amount of the budget that it may spend now.
    pub fn allocated(&self) -> MilliUnits {
        self.member.allocated(now(), "acme")
    }

    /// Sends one heartbeat, and returns whether a coordinator replied to it.
    pub async fn send_heartbeat(&mut self, peers: &Peers, coordinators: &[SocketAddr]) -> bool {
        let lapse = now().saturating_sub(self.member.expirations().0);
        if self.was_granted {
            self.longest_lapse = self.longest_lapse.max(lapse);
        }
        let demand = BudgetAmounts::from([("acme".to_owned(), self.demand)]);
        let mut heartbeat = self.member.heartbeat(now(), demand);
        heartbeat.configuration.clone_from(&self.report);
        heartbeat.duties = self.duties.as_mut().map(|duties| duties.report(now(), heartbeat.number));
        for address in coordinators {
            let reply: Result<Result<HeartbeatReply, HeartbeatError>, _> =
                peers.send(&address.to_string(), HEARTBEAT_PATH, 0, &heartbeat, CALL_TIMEOUT).await;
            if let Ok(Ok(reply)) = reply {
                self.on_reply(&reply);
                return true;
            }
        }
        false
    }

    fn on_reply(&mut self, reply: &HeartbeatReply) {
        self.notified_version = reply.configuration;
        self.member.on_reply(now(), reply);
        if let Some(duties) = &mut self.duties {
            duties.on_reply(now(), reply.number, reply.duties.as_ref());
        }
        self.was_granted |= self.member.allocated_parts("acme").1 > 0;
    }
}

/// Sends heartbeats of all members until the condition holds, and checks after each that they hold no more
/// than the limit.
pub async fn heartbeat_until(
    coordinators: &Coordinators,
    members: &mut [TestMember],
    condition: impl Fn(&[TestMember]) -> bool,
) {
    loop {
        for index in 0..members.len() {
            members[index].send_heartbeat(&coordinators.peers, &coordinators.addresses()).await;
            let total: MilliUnits = members.iter().map(TestMember::allocated).sum();
            assert!(total <= BUDGET_LIMIT, "{total}");
        }
        if condition(members) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Whether at least 95 percent of the limit is allocated.
pub fn nearly_all_allocated(members: &[TestMember]) -> bool {
    members.iter().map(TestMember::allocated).sum::<MilliUnits>() * 20 >= BUDGET_LIMIT * 19
}

/// Whether each member holds exactly its guarantee.
pub fn only_guarantees(members: &[TestMember]) -> bool {
    members.iter().all(|member| member.allocated() == GUARANTEED)
}
