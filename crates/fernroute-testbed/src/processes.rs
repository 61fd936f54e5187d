//! A fleet of real processes on loopback: coordinators, balancers, load from one tenant, and a link with
//! fault injection between each balancer and each coordinator. Verdicts are based on what the upstreams
//! executed, not on what the fleet reports about itself.

pub mod configuration;

use fernroute::{RETRY_BUDGET, TRIAL_BUDGET};
use fernroute_coordinator::replica::Status;
use fernroute_test_support::caller::rpc_head;
use fernroute_test_support::http::{read_message, response};
use fernroute_test_support::link::Link;
use fernroute_test_support::process::{free_addresses, Process};
use fernroute_test_support::stub::{list_entry, ok, serve_stub, Reply, StubDiscovery};
use fernroute_test_support::wait_until;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Well above a normal start, also on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Launches this crate's binary in one of its roles, configured by a file with the given text.
fn launch(program: &Path, role: &str, folder: &Path, name: &str, text: &str) -> Result<Process, String> {
    let path = folder.join(format!("{name}.toml"));
    let io_error = |e: std::io::Error| format!("{}: {e}", path.display());
    std::fs::write(&path, text).map_err(io_error)?;
    let mut command = Command::new(program);
    command.args([role, "--config"]).arg(&path).env("TMPDIR", folder);
    command.env_remove("FERNROUTE_LOG").env_remove("NODE_OPS");
    Process::launch(command).map_err(io_error)
}

/// Execution times of RPCs at the upstreams. A caller that does not need all of them for a final check
/// may keep only the last eleven seconds, see [`Fleet::discard_old`].
#[derive(Default)]
pub struct ExecutionLog(RefCell<Vec<Instant>>);

impl ExecutionLog {
    pub fn count_within(&self, last: Duration) -> usize {
        let executions = self.0.borrow();
        executions.iter().rev().take_while(|at| at.elapsed() <= last).count()
    }

    /// Describes the first window in which all balancers together exceeded the limit, if any. Two
    /// seconds of the limit may have been saved up, and each balancer may add four RPCs.
    pub fn limit_violation(&self, limit: usize, balancers: usize) -> Option<String> {
        limit_violation(&self.0.borrow(), limit as f64, 4 * balancers)
    }

    /// Drops entries older than the longest window.
    fn discard_old(&self) {
        self.0.borrow_mut().retain(|at| at.elapsed() < Duration::from_secs(11));
    }
}

/// Describes the first window of 1 s or 10 s with more events than `limit` per second plus two seconds
/// of saved-up tokens plus `allowance`, if any.
pub fn limit_violation(times: &[Instant], limit: f64, allowance: usize) -> Option<String> {
    for window in [1, 10] {
        let max = (limit * (window + 2) as f64) as usize + allowance;
        for (n, from) in times.iter().enumerate() {
            let until = *from + Duration::from_secs(window);
            let count = times[n..].iter().take_while(|at| **at < until).count();
            if count > max {
                return Some(format!("{count} in {window} s, at most {max} allowed"));
            }
        }
    }
    None
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub coordinators: usize,
    pub balancers: usize,
    /// Capacity of the ledger. Equals the number of balancers unless other members join.
    pub max_members: usize,
    pub upstreams: usize,
    /// The tenant's limit in RPCs per second over all balancers.
    pub limit: usize,
    /// Fleet-wide limits per second on attempts beyond the first, and on trials to one upstream; `None`
    /// configures no such budget.
    pub retry_limit: Option<f64>,
    pub trial_limit: Option<f64>,
    /// Whether balancers follow the shared configuration of the service `shop`.
    pub follows_configuration: bool,
    /// Duties, each held by one balancer at a time under a lease of two seconds.
    pub duties: Vec<String>,
}

impl FleetConfig {
    pub fn new(coordinators: usize, balancers: usize, limit: usize) -> Self {
        FleetConfig {
            coordinators,
            balancers,
            max_members: balancers,
            upstreams: 1,
            limit,
            retry_limit: None,
            trial_limit: None,
            follows_configuration: false,
            duties: Vec::new(),
        }
    }

    /// The budget and duty sections of a coordinator's file.
    fn shared_sections(&self) -> String {
        let duty = |name: &String| format!("[[duty]]\nname = \"{name}\"\n");
        self.budget_sections() + &self.duties.iter().map(duty).collect::<String>()
    }

    fn budget_sections(&self) -> String {
        let tenant = ("acme", Some(self.limit as f64));
        let all = [tenant, (RETRY_BUDGET, self.retry_limit), (TRIAL_BUDGET, self.trial_limit)];
        let budget = |(name, limit): &(&str, Option<f64>)| {
            limit.map(|limit| format!("[[budget]]\nname = \"{name}\"\nwhole = {limit}\nfloors = 0.1\n"))
        };
        all.iter().filter_map(budget).collect()
    }

    fn divided_budgets(&self) -> String {
        let all = [("\"further\"", self.retry_limit), ("\"trials\"", self.trial_limit)];
        all.iter()
            .filter(|(_, limit)| limit.is_some())
            .map(|(name, _)| *name)
            .collect::<Vec<&str>>()
            .join(", ")
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamBehavior {
    #[default]
    Healthy,
    /// Closes the connection of each RPC without an answer.
    Fails,
    /// Rejects every second attempt without executing it.
    RejectsHalf,
}

/// An attempt as received by an upstream.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub at: Instant,
    pub upstream: usize,
    pub rpc: String,
}

/// Coordinators, balancers, upstreams and the load of one tenant.
pub struct Fleet {
    program: PathBuf,
    pub folder: PathBuf,
    pub config: FleetConfig,
    pub coordinators: Vec<Process>,
    pub coordinator_addresses: Vec<SocketAddr>,
    coordinator_files: Vec<String>,
    /// By the numbers of the sending and the receiving coordinator.
    pub coordinator_links: BTreeMap<(usize, usize), Rc<Link>>,
    pub balancers: Vec<Process>,
    pub addresses: Vec<SocketAddr>,
    /// Addresses of the balancers' operations servers.
    pub ops_addresses: Vec<SocketAddr>,
    /// Links of each balancer to each coordinator.
    pub balancer_links: Vec<Vec<Rc<Link>>>,
    balancer_files: Vec<String>,
    pub executions: Rc<ExecutionLog>,
    /// All attempts received, rejected ones included.
    pub attempts: Rc<RefCell<Vec<ReceivedAttempt>>>,
    pub behaviors: Rc<Vec<Cell<UpstreamBehavior>>>,
    /// RPCs per second sent to each balancer.
    rates: Rc<Vec<Cell<u64>>>,
    /// Heads of answers with a status other than 200 and 503.
    pub unexpected_answers: Rc<RefCell<Vec<String>>>,
    /// Number of RPCs without any answer.
    pub unanswered: Rc<Cell<usize>>,
    _discovery: Rc<StubDiscovery>,
}

impl Fleet {
    /// `program` is the testbed binary. `folder` is created, and removed when the fleet is dropped.
    pub async fn start(program: &Path, folder: PathBuf, config: FleetConfig) -> Result<Self, String> {
        let FleetConfig { coordinators, balancers, max_members, limit, .. } = config;
        let io_error = |e: std::io::Error| e.to_string();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        std::fs::create_dir_all(&folder).map_err(io_error)?;
        let at = free_addresses(coordinators).map_err(io_error)?;
        let (mut coordinator_links, mut coordinator_files) = (BTreeMap::new(), Vec::new());
        for n in 0..coordinators {
            let mut list = String::new();
            for (m, target) in at.iter().enumerate() {
                let at = if m == n {
                    *target
                } else {
                    let link = Link::start(*target).await.map_err(io_error)?;
                    coordinator_links.insert((n, m), Rc::clone(&link));
                    link.address
                };
                list += &format!("[[steward]]\nname = \"s{m}\"\naddress = \"{at}\"\n");
            }
            let data_folder = folder.join(format!("s{n}"));
            coordinator_files.push(format!(
                "cluster = \"c\"\nname = \"s{n}\"\nfolder = \"{}\"\nmembers = {max_members}\nshares_ms = 3000\nduties_ms = 2000\nfloors_s = 12\n{list}",
                data_folder.display()
            ));
        }
        let start = |(n, text): (usize, &String)| {
            launch(
                program,
                "steward",
                &folder,
                &format!("s{n}"),
                &format!("{text}{}", config.shared_sections()),
            )
        };
        let coordinators =
            coordinator_files.iter().enumerate().map(start).collect::<Result<Vec<Process>, String>>()?;
        let executions = Rc::new(ExecutionLog::default());
        let attempts: Rc<RefCell<Vec<ReceivedAttempt>>> = Rc::default();
        let behaviors: Rc<Vec<Cell<UpstreamBehavior>>> =
            Rc::new((0..config.upstreams).map(|_| Cell::default()).collect());
        let (mut upstreams, mut list) = (Vec::new(), Vec::new());
        for n in 0..config.upstreams {
            let (executions, attempts, behaviors) =
                (Rc::clone(&executions), Rc::clone(&attempts), Rc::clone(&behaviors));
            let upstream = serve_stub(any_port, move |request| {
                let rpc = request.header("req-id").unwrap_or_default().to_owned();
                attempts.borrow_mut().push(ReceivedAttempt { at: Instant::now(), upstream: n, rpc });
                match behaviors[n].get() {
                    UpstreamBehavior::Fails => return Reply::SendAndClose(Vec::new()),
                    UpstreamBehavior::RejectsHalf if attempts.borrow().len() % 2 == 0 => {
                        return Reply::Send(response(503, "Srv-Declined: 1\r\n", ""));
                    }
                    UpstreamBehavior::Healthy | UpstreamBehavior::RejectsHalf => {}
                }
                executions.0.borrow_mut().push(Instant::now());
                ok("whole")
            });
            let at = upstream.await.map_err(io_error)?;
            list.push(list_entry(&format!("u{n}"), at, "a", "SERVING"));
            upstreams.push(format!("[[upstream]]\nid = \"u{n}\"\naddress = \"{at}\"\nzone = \"a\"\n"));
        }
        let discovery = StubDiscovery::start(any_port, list.join(",")).await.map_err(io_error)?;
        let rates: Rc<Vec<Cell<u64>>> = Rc::new((0..balancers).map(|_| Cell::new(0)).collect());
        let mut fleet = Fleet {
            program: program.to_owned(),
            folder,
            config,
            coordinators,
            coordinator_addresses: at,
            coordinator_files,
            coordinator_links,
            balancers: Vec::new(),
            addresses: Vec::new(),
            ops_addresses: free_addresses(balancers).map_err(io_error)?,
            balancer_links: Vec::new(),
            balancer_files: Vec::new(),
            executions,
            attempts,
            behaviors,
            rates,
            unexpected_answers: Rc::default(),
            unanswered: Rc::default(),
            _discovery: discovery,
        };
        for n in 0..balancers {
            let mut links = Vec::new();
            for at in &fleet.coordinator_addresses {
                links.push(Link::start(*at).await.map_err(io_error)?);
            }
            let to: Vec<String> = links.iter().map(|link| format!("\"{}\"", link.address)).collect();
            let text = format!(
                "name = \"b{n}\"\nlisten = \"127.0.0.1:0\"\n{}discovery = \"{}\"\n[place]\ninstances = {balancers}\nzone = \"a\"\n\
                 [load]\nrefuse_over_share = true\n[fleet]\ncluster = \"c\"\nstewards = [{}]\nbeat_ms = 200\ndivides = [{}]\n{}\
                 [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
                 [[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = 1000\nhard_ms = 3000\n\
                 [[tenant]]\nname = \"acme\"\nrate = {limit}\n\
                 [limits]\ntransmissions = 4\n{}",
                fleet.ops_line(n),
                fleet._discovery.address,
                to.join(", "),
                fleet.config.divided_budgets(),
                if fleet.config.follows_configuration { "service = \"shop\"\n" } else { "" },
                upstreams.concat()
            );
            fleet.balancer_links.push(links);
            fleet.balancer_files.push(text);
            fleet.start_balancer(n).await?;
        }
        Ok(fleet)
    }

    /// The line of a balancer's file that sets its operations server. Set only when there are duties,
    /// whose tests query the holders there: during an upgrade two processes of one balancer run, and
    /// both cannot listen on the same address.
    fn ops_line(&self, n: usize) -> String {
        if self.config.duties.is_empty() {
            return String::new();
        }
        format!("ops = \"{}\"\n", self.ops_addresses[n])
    }

    /// Restarts a coordinator with its existing data.
    pub fn start_coordinator(&mut self, n: usize) -> Result<(), String> {
        let text = format!("{}{}", self.coordinator_files[n], self.config.shared_sections());
        self.coordinators[n] = launch(&self.program, "steward", &self.folder, &format!("s{n}"), &text)?;
        Ok(())
    }

    /// Partitions the network: the given coordinators and balancers reach only each other, and so do all
    /// others.
    pub fn partition(&self, coordinators: &[usize], balancers: &[usize]) {
        let separated = |n: &usize, m: &usize| coordinators.contains(n) != coordinators.contains(m);
        self.coordinator_links
            .iter()
            .filter(|((n, m), _)| separated(n, m))
            .for_each(|(_, link)| link.refuse_connections());
        for (n, links) in self.balancer_links.iter().enumerate() {
            let separated =
                links.iter().enumerate().filter(|(m, _)| balancers.contains(&n) != coordinators.contains(m));
            separated.for_each(|(_, link)| link.refuse_connections());
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.coordinator_links
            .values()
            .chain(self.balancer_links.iter().flatten())
            .for_each(|link| link.restore());
    }

    /// Starts another process with the same balancer name in a folder of its own, as a balancer on
    /// another machine would be.
    pub async fn start_impostor(&self, n: usize) -> Result<(Process, SocketAddr), String> {
        let folder = self.folder.join(format!("elsewhere{n}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let process = launch(&self.program, "balancer", &folder, &format!("b{n}"), &self.balancer_files[n])?;
        let at = process.logged_address("serving on ", START_TIMEOUT).await?;
        Ok((process, at))
    }

    /// Status of a coordinator and its ledger, if it answers.
    pub async fn status(&self, coordinator: usize) -> Option<Status> {
        status(self.coordinator_addresses[coordinator]).await
    }

    /// Starts or restarts a balancer, with any existing data, and sends load to it.
    pub async fn start_balancer(&mut self, n: usize) -> Result<(), String> {
        let process =
            launch(&self.program, "balancer", &self.folder, &format!("b{n}"), &self.balancer_files[n])?;
        let at = process.logged_address("serving on ", START_TIMEOUT).await?;
        if n < self.balancers.len() {
            (self.balancers[n], self.addresses[n]) = (process, at);
        } else {
            self.balancers.push(process);
            self.addresses.push(at);
        }
        self.generate_load(n);
        Ok(())
    }

    /// Starts a new process of the same balancer beside the old one. Returns the old one once the new
    /// one serves.
    pub async fn upgrade(&mut self, n: usize) -> Result<Process, String> {
        let name = format!("b{n}");
        let new = launch(&self.program, "balancer", &self.folder, &name, &self.balancer_files[n])?;
        new.logged_address("serving on ", START_TIMEOUT).await?;
        Ok(std::mem::replace(&mut self.balancers[n], new))
    }

    /// Sends RPCs in an open loop: slow answers do not delay later requests.
    fn generate_load(&self, n: usize) {
        let (rates, unexpected_answers, at) =
            (Rc::clone(&self.rates), Rc::clone(&self.unexpected_answers), self.addresses[n]);
        let unanswered = Rc::clone(&self.unanswered);
        spawn_local(async move {
            let (mut due, mut from) = (0.0, Instant::now());
            loop {
                sleep(Duration::from_millis(3)).await;
                due += rates[n].get() as f64 * from.elapsed().as_secs_f64();
                from = Instant::now();
                if due < 1.0 {
                    continue;
                }
                due -= 1.0;
                let (unexpected_answers, unanswered) =
                    (Rc::clone(&unexpected_answers), Rc::clone(&unanswered));
                spawn_local(async move {
                    let count_unanswered = || unanswered.set(unanswered.get() + 1);
                    let Ok(mut stream) = TcpStream::connect(at).await else { return count_unanswered() };
                    let request = rpc_head("GET", "/look", "Req-Owner: acme\r\nConnection: close\r\n");
                    let _ = stream.write_all(request.as_bytes()).await;
                    match timeout(Duration::from_secs(4), read_message(&mut stream)).await {
                        Ok(Some(answer)) if matches!(answer.status(), 200 | 503) => {}
                        Ok(Some(answer)) => unexpected_answers.borrow_mut().push(answer.head),
                        // Happens when the balancer was killed or stopped; the test that did so judges
                        // it.
                        Ok(None) | Err(_) => count_unanswered(),
                    }
                });
            }
        });
    }

    pub fn set_rates(&self, rates: &[u64]) {
        rates.iter().zip(self.rates.iter()).for_each(|(rate, target)| target.set(*rate));
    }

    /// Waits until 95% of the limit was executed within a second.
    pub async fn wait_until_limit_used(&self) {
        self.wait_until_rate(self.config.limit * 19 / 20).await;
    }

    /// Waits until at least so many RPCs were executed within a second.
    pub async fn wait_until_rate(&self, min: usize) {
        wait_until(|| self.executions.count_within(Duration::from_secs(1)) >= min).await;
    }

    /// Waits for a coordinator that reports itself leader.
    pub async fn leader(&self) -> usize {
        loop {
            for n in 0..self.coordinators.len() {
                let running = self.coordinators[n].is_running();
                if running && self.status(n).await.is_some_and(|s| s.state == "leader") {
                    return n;
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Describes an exceeded limit or an unexpected answer, if any.
    pub fn violation(&self) -> Option<String> {
        let unexpected_answers = self.unexpected_answers.borrow().first().cloned();
        self.executions.limit_violation(self.config.limit, self.addresses.len()).or(unexpected_answers)
    }

    /// Arrival times of attempts that were not the first of their RPC.
    pub fn retry_times(&self) -> Vec<Instant> {
        let mut seen = BTreeSet::new();
        let attempts = self.attempts.borrow();
        attempts
            .iter()
            .filter(|attempt| !seen.insert(attempt.rpc.clone()))
            .map(|attempt| attempt.at)
            .collect()
    }

    /// Drops records older than the longest window, for long runs that are checked as they go.
    pub fn discard_old(&self) {
        self.executions.discard_old();
        self.attempts.borrow_mut().retain(|attempt| attempt.at.elapsed() < Duration::from_secs(11));
    }
}

/// Status of the coordinator at this address and its ledger, if it answers.
pub async fn status(at: SocketAddr) -> Option<Status> {
    let request = "GET /-/status HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let answer = timeout(START_TIMEOUT, read_message(&mut stream)).await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.coordinators.clear();
        self.balancers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
