//! A fleet of real processes on loopback: stewards, balancers, one tenant's load, and a link from each balancer to each
//! steward that can go wrong. What is judged is what an upstream ran, never what the fleet says of itself.

pub mod configuration;

use fernroute::{RETRY_BUDGET, TRIAL_BUDGET};
use fernroute_coordinator::replica::Status;
use fernroute_test_support::caller::rpc;
use fernroute_test_support::http::{answer, read};
use fernroute_test_support::link::Link;
use fernroute_test_support::process::{addresses, Process};
use fernroute_test_support::stand_in::{entry, ok, serve, Deed, Discovery};
use fernroute_test_support::until;
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

/// Far longer than a start takes, on a busy machine too.
const START: Duration = Duration::from_secs(10);

/// A program of the fleet: this crate's own, in one of its roles.
fn launch(program: &Path, role: &str, folder: &Path, name: &str, text: &str) -> Result<Process, String> {
    let page = folder.join(format!("{name}.toml"));
    let trouble = |e: std::io::Error| format!("{}: {e}", page.display());
    std::fs::write(&page, text).map_err(trouble)?;
    let mut command = Command::new(program);
    command.args([role, "--config"]).arg(&page).env("TMPDIR", folder);
    command.env_remove("FERNROUTE_LOG").env_remove("NODE_OPS");
    Process::launch(command).map_err(trouble)
}

/// What the upstream ran, by its own clock; the last eleven seconds of it where nobody judges all.
#[derive(Default)]
pub struct ExecutionLog(RefCell<Vec<Instant>>);

impl ExecutionLog {
    pub fn count_within(&self, last: Duration) -> usize {
        let executions = self.0.borrow();
        executions.iter().rev().take_while(|at| at.elapsed() <= last).count()
    }

    /// The window in which all balancers together ran more than the whole and what they may save up, if there is one: two
    /// seconds of it, and some RPCs each.
    pub fn limit_violation(&self, limit: usize, balancers: usize) -> Option<String> {
        limit_violation(&self.0.borrow(), limit as f64, 4 * balancers)
    }

    /// Forgets what is older than any window.
    fn discard_old(&self) {
        self.0.borrow_mut().retain(|at| at.elapsed() < Duration::from_secs(11));
    }
}

/// The window in which there was more than a whole, two seconds of it that may be saved up, and some beside it.
pub fn limit_violation(at: &[Instant], limit: f64, some: usize) -> Option<String> {
    for window in [1, 10] {
        let most = (limit * (window + 2) as f64) as usize + some;
        for (n, from) in at.iter().enumerate() {
            let until = *from + Duration::from_secs(window);
            let count = at[n..].iter().take_while(|at| **at < until).count();
            if count > most {
                return Some(format!("{count} in {window} s, at most {most} may be"));
            }
        }
    }
    None
}

/// How many of what.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub coordinators: usize,
    pub balancers: usize,
    /// The most that the ledger takes: as many as balancers, where those are all.
    pub max_members: usize,
    pub upstreams: usize,
    /// The tenant's RPCs a second over all balancers.
    pub limit: usize,
    /// Transmissions beyond the first, and trials to one upstream, a second over all balancers; none is no budget.
    pub retry_limit: Option<f64>,
    pub trial_limit: Option<f64>,
    /// Whether balancers go by the configuration of the service `shop`.
    pub follows_configuration: bool,
    /// What one balancer alone does at a time, under leases of two seconds.
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

    /// Budgets and duties as a steward's file names them.
    fn shared(&self) -> String {
        let duty = |name: &String| format!("[[duty]]\nname = \"{name}\"\n");
        self.budgets() + &self.duties.iter().map(duty).collect::<String>()
    }

    fn budgets(&self) -> String {
        let tenant = ("acme", Some(self.limit as f64));
        let all = [tenant, (RETRY_BUDGET, self.retry_limit), (TRIAL_BUDGET, self.trial_limit)];
        let budget = |(name, limit): &(&str, Option<f64>)| {
            limit.map(|limit| format!("[[budget]]\nname = \"{name}\"\nwhole = {limit}\nfloors = 0.1\n"))
        };
        all.iter().filter_map(budget).collect()
    }

    fn divides(&self) -> String {
        let all = [("\"further\"", self.retry_limit), ("\"trials\"", self.trial_limit)];
        all.iter()
            .filter(|(_, limit)| limit.is_some())
            .map(|(word, _)| *word)
            .collect::<Vec<&str>>()
            .join(", ")
    }
}

/// How an upstream does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamBehavior {
    #[default]
    Healthy,
    /// Every RPC: the connection ends without an answer.
    Fails,
    /// Every second transmission, unseen.
    RejectsHalf,
}

/// A transmission, as an upstream saw it.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub at: Instant,
    pub upstream: usize,
    pub rpc: String,
}

/// Stewards, balancers before upstreams, and a tenant's load.
pub struct Fleet {
    program: PathBuf,
    pub folder: PathBuf,
    pub config: FleetConfig,
    pub coordinators: Vec<Process>,
    pub coordinator_addresses: Vec<SocketAddr>,
    coordinator_files: Vec<String>,
    /// From each steward to each other one, by their numbers.
    pub coordinator_links: BTreeMap<(usize, usize), Rc<Link>>,
    pub balancers: Vec<Process>,
    pub addresses: Vec<SocketAddr>,
    /// Where balancers answer operators.
    pub ops_addresses: Vec<SocketAddr>,
    /// From each balancer to each steward.
    pub balancer_links: Vec<Vec<Rc<Link>>>,
    balancer_files: Vec<String>,
    pub executions: Rc<ExecutionLog>,
    /// All transmissions that came, turned away or not.
    pub attempts: Rc<RefCell<Vec<ReceivedAttempt>>>,
    /// How each upstream does.
    pub behaviors: Rc<Vec<Cell<UpstreamBehavior>>>,
    /// RPCs a second asked of each balancer.
    rates: Rc<Vec<Cell<u64>>>,
    /// Answers that were neither served nor refused.
    pub unexpected_answers: Rc<RefCell<Vec<String>>>,
    /// RPCs that had no answer at all.
    pub unanswered: Rc<Cell<usize>>,
    _discovery: Rc<Discovery>,
}

impl Fleet {
    /// `program` has the roles of the laboratory's own; `folder` is made, and gone with the fleet.
    pub async fn start(program: &Path, folder: PathBuf, config: FleetConfig) -> Result<Self, String> {
        let FleetConfig { coordinators, balancers, max_members, limit, .. } = config;
        let trouble = |e: std::io::Error| e.to_string();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        std::fs::create_dir_all(&folder).map_err(trouble)?;
        let at = addresses(coordinators).map_err(trouble)?;
        let (mut coordinator_links, mut coordinator_files) = (BTreeMap::new(), Vec::new());
        for n in 0..coordinators {
            let mut list = String::new();
            for (m, own) in at.iter().enumerate() {
                let at = if m == n {
                    *own
                } else {
                    let link = Link::to(*own).await.map_err(trouble)?;
                    coordinator_links.insert((n, m), Rc::clone(&link));
                    link.address
                };
                list += &format!("[[steward]]\nname = \"s{m}\"\naddress = \"{at}\"\n");
            }
            let disk = folder.join(format!("s{n}"));
            coordinator_files.push(format!(
                "cluster = \"c\"\nname = \"s{n}\"\nfolder = \"{}\"\nmembers = {max_members}\nshares_ms = 3000\nduties_ms = 2000\nfloors_s = 12\n{list}",
                disk.display()
            ));
        }
        let start = |(n, text): (usize, &String)| {
            launch(program, "steward", &folder, &format!("s{n}"), &format!("{text}{}", config.shared()))
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
            let upstream = serve(any, move |asked| {
                let rpc = asked.header("req-id").unwrap_or_default().to_owned();
                attempts.borrow_mut().push(ReceivedAttempt { at: Instant::now(), upstream: n, rpc });
                match behaviors[n].get() {
                    UpstreamBehavior::Fails => return Deed::SayAndClose(Vec::new()),
                    UpstreamBehavior::RejectsHalf if attempts.borrow().len() % 2 == 0 => {
                        return Deed::Say(answer(503, "Srv-Declined: 1\r\n", ""));
                    }
                    UpstreamBehavior::Healthy | UpstreamBehavior::RejectsHalf => {}
                }
                executions.0.borrow_mut().push(Instant::now());
                ok("whole")
            });
            let at = upstream.await.map_err(trouble)?;
            list.push(entry(&format!("u{n}"), at, "a", "SERVING"));
            upstreams.push(format!("[[upstream]]\nid = \"u{n}\"\naddress = \"{at}\"\nzone = \"a\"\n"));
        }
        let discovery = Discovery::start(any, list.join(",")).await.map_err(trouble)?;
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
            ops_addresses: addresses(balancers).map_err(trouble)?,
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
            let mut own = Vec::new();
            for at in &fleet.coordinator_addresses {
                own.push(Link::to(*at).await.map_err(trouble)?);
            }
            let to: Vec<String> = own.iter().map(|link| format!("\"{}\"", link.address)).collect();
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
                fleet.config.divides(),
                if fleet.config.follows_configuration { "service = \"shop\"\n" } else { "" },
                upstreams.concat()
            );
            fleet.balancer_links.push(own);
            fleet.balancer_files.push(text);
            fleet.start_balancer(n).await?;
        }
        Ok(fleet)
    }

    /// Where a balancer answers operators, as its file says it. Two processes of one balancer can't have it both, as in an
    /// upgrade: it is there where duties are, whose holders are asked at it.
    fn ops_line(&self, n: usize) -> String {
        if self.config.duties.is_empty() {
            return String::new();
        }
        format!("ops = \"{}\"\n", self.ops_addresses[n])
    }

    /// Starts one again, with what is left on its disk.
    pub fn start_coordinator(&mut self, n: usize) -> Result<(), String> {
        let text = format!("{}{}", self.coordinator_files[n], self.config.shared());
        self.coordinators[n] = launch(&self.program, "steward", &self.folder, &format!("s{n}"), &text)?;
        Ok(())
    }

    /// A network that falls apart: these stewards and balancers reach each other, and so do all others.
    pub fn partition(&self, coordinators: &[usize], balancers: &[usize]) {
        let apart = |n: &usize, m: &usize| coordinators.contains(n) != coordinators.contains(m);
        self.coordinator_links.iter().filter(|((n, m), _)| apart(n, m)).for_each(|(_, link)| link.refuse());
        for (n, links) in self.balancer_links.iter().enumerate() {
            let apart =
                links.iter().enumerate().filter(|(m, _)| balancers.contains(&n) != coordinators.contains(m));
            apart.for_each(|(_, link)| link.refuse());
        }
    }

    /// All reach all again.
    pub fn heal(&self) {
        self.coordinator_links
            .values()
            .chain(self.balancer_links.iter().flatten())
            .for_each(|link| link.mend());
    }

    /// Another process under the name of this balancer, on another machine as far as it can tell.
    pub async fn start_impostor(&self, n: usize) -> Result<(Process, SocketAddr), String> {
        let folder = self.folder.join(format!("elsewhere{n}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let process = launch(&self.program, "balancer", &folder, &format!("b{n}"), &self.balancer_files[n])?;
        let at = process.address_after("serving on ", START).await?;
        Ok((process, at))
    }

    /// What this steward says of itself and of the ledger, if it does.
    pub async fn status(&self, coordinator: usize) -> Option<Status> {
        status(self.coordinator_addresses[coordinator]).await
    }

    /// Starts one, for the first time or again, with what is left on its disk.
    pub async fn start_balancer(&mut self, n: usize) -> Result<(), String> {
        let process =
            launch(&self.program, "balancer", &self.folder, &format!("b{n}"), &self.balancer_files[n])?;
        let at = process.address_after("serving on ", START).await?;
        if n < self.balancers.len() {
            (self.balancers[n], self.addresses[n]) = (process, at);
        } else {
            self.balancers.push(process);
            self.addresses.push(at);
        }
        self.generate_load(n);
        Ok(())
    }

    /// Starts a new process of the same balancer beside the old one, which it returns once the new one serves.
    pub async fn upgrade(&mut self, n: usize) -> Result<Process, String> {
        let name = format!("b{n}");
        let new = launch(&self.program, "balancer", &self.folder, &name, &self.balancer_files[n])?;
        new.address_after("serving on ", START).await?;
        Ok(std::mem::replace(&mut self.balancers[n], new))
    }

    /// Open loop: what is slow to be answered keeps no other waiting.
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
                    let none = || unanswered.set(unanswered.get() + 1);
                    let Ok(mut stream) = TcpStream::connect(at).await else { return none() };
                    let asked = rpc("GET", "/look", "Req-Owner: acme\r\nConnection: close\r\n");
                    let _ = stream.write_all(asked.as_bytes()).await;
                    match timeout(Duration::from_secs(4), read(&mut stream)).await {
                        Ok(Some(answer)) if matches!(answer.status(), 200 | 503) => {}
                        Ok(Some(answer)) => unexpected_answers.borrow_mut().push(answer.head),
                        // Its balancer was killed, or stands still: that is judged by who did it.
                        Ok(None) | Err(_) => none(),
                    }
                });
            }
        });
    }

    pub fn set_rates(&self, rates: &[u64]) {
        rates.iter().zip(self.rates.iter()).for_each(|(rate, of)| of.set(*rate));
    }

    /// Until nearly the whole has run within a second.
    pub async fn wait_until_limit_used(&self) {
        self.wait_until_rate(self.config.limit * 19 / 20).await;
    }

    /// Until so many have run within a second.
    pub async fn wait_until_rate(&self, least: usize) {
        until(|| self.executions.count_within(Duration::from_secs(1)) >= least).await;
    }

    /// Which steward leads by its own word, once one does.
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

    /// What all balancers together did not keep, or answered wrongly.
    pub fn violation(&self) -> Option<String> {
        let unexpected_answers = self.unexpected_answers.borrow().first().cloned();
        self.executions.limit_violation(self.config.limit, self.addresses.len()).or(unexpected_answers)
    }

    /// When transmissions came that were not the first of their RPC.
    pub fn retry_times(&self) -> Vec<Instant> {
        let mut seen = BTreeSet::new();
        let attempts = self.attempts.borrow();
        attempts
            .iter()
            .filter(|attempts| !seen.insert(attempts.rpc.clone()))
            .map(|attempts| attempts.at)
            .collect()
    }

    /// What is kept for a judgement of all is not kept any more.
    pub fn discard_old(&self) {
        self.executions.discard_old();
        self.attempts.borrow_mut().retain(|attempts| attempts.at.elapsed() < Duration::from_secs(11));
    }
}

/// What the steward there says of itself and of the ledger, if it does.
pub async fn status(at: SocketAddr) -> Option<Status> {
    let asked = "GET /-/status HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(asked.as_bytes()).await.ok()?;
    let answer = timeout(START, read(&mut stream)).await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.coordinators.clear();
        self.balancers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
