//! A fleet of real processes on loopback: stewards, balancers, one tenant's load, and a link from each balancer to each
//! steward that can go wrong. What is judged is what an upstream ran, never what the fleet says of itself.

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
pub struct Ran(RefCell<Vec<Instant>>);

impl Ran {
    pub fn within(&self, last: Duration) -> usize {
        let ran = self.0.borrow();
        ran.iter().rev().take_while(|at| at.elapsed() <= last).count()
    }

    /// The window in which all balancers together ran more than the whole and what they may save up, if there is one: two
    /// seconds of it, and some RPCs each.
    pub fn beyond(&self, whole: usize, balancers: usize) -> Option<String> {
        beyond(&self.0.borrow(), whole as f64, 4 * balancers)
    }

    /// Forgets what is older than any window.
    fn forget(&self) {
        self.0.borrow_mut().retain(|at| at.elapsed() < Duration::from_secs(11));
    }
}

/// The window in which there was more than a whole, two seconds of it that may be saved up, and some beside it.
pub fn beyond(at: &[Instant], whole: f64, some: usize) -> Option<String> {
    for window in [1, 10] {
        let most = (whole * (window + 2) as f64) as usize + some;
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
pub struct Shape {
    pub stewards: usize,
    pub balancers: usize,
    /// The most that the ledger takes: as many as balancers, where those are all.
    pub members: usize,
    pub upstreams: usize,
    /// The tenant's RPCs a second over all balancers.
    pub whole: usize,
    /// Transmissions beyond the first, and trials to one upstream, a second over all balancers; none is no budget.
    pub further: Option<f64>,
    pub trials: Option<f64>,
    /// Whether balancers go by the configuration of the service `shop`.
    pub follows: bool,
    /// What one balancer alone does at a time, under leases of two seconds.
    pub duties: Vec<String>,
}

impl Shape {
    pub fn new(stewards: usize, balancers: usize, whole: usize) -> Self {
        Shape {
            stewards,
            balancers,
            members: balancers,
            upstreams: 1,
            whole,
            further: None,
            trials: None,
            follows: false,
            duties: Vec::new(),
        }
    }

    /// Budgets and duties as a steward's file names them.
    fn shared(&self) -> String {
        let duty = |name: &String| format!("[[duty]]\nname = \"{name}\"\n");
        self.budgets() + &self.duties.iter().map(duty).collect::<String>()
    }

    fn budgets(&self) -> String {
        let tenant = ("acme", Some(self.whole as f64));
        let all = [tenant, (RETRY_BUDGET, self.further), (TRIAL_BUDGET, self.trials)];
        let budget = |(name, whole): &(&str, Option<f64>)| {
            whole.map(|whole| format!("[[budget]]\nname = \"{name}\"\nwhole = {whole}\nfloors = 0.1\n"))
        };
        all.iter().filter_map(budget).collect()
    }

    fn divides(&self) -> String {
        let all = [("\"further\"", self.further), ("\"trials\"", self.trials)];
        all.iter()
            .filter(|(_, whole)| whole.is_some())
            .map(|(word, _)| *word)
            .collect::<Vec<&str>>()
            .join(", ")
    }
}

/// How an upstream does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    #[default]
    Well,
    /// Every RPC: the connection ends without an answer.
    Fails,
    /// Every second transmission, unseen.
    TurnsAwayHalf,
}

/// A transmission, as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Came {
    pub at: Instant,
    pub upstream: usize,
    pub rpc: String,
}

/// Stewards, balancers before upstreams, and a tenant's load.
pub struct Fleet {
    program: PathBuf,
    pub folder: PathBuf,
    pub shape: Shape,
    pub stewards: Vec<Process>,
    pub steward_addresses: Vec<SocketAddr>,
    steward_pages: Vec<String>,
    /// From each steward to each other one, by their numbers.
    pub between: BTreeMap<(usize, usize), Rc<Link>>,
    pub balancers: Vec<Process>,
    pub addresses: Vec<SocketAddr>,
    /// Where balancers answer operators.
    pub doors: Vec<SocketAddr>,
    /// From each balancer to each steward.
    pub links: Vec<Vec<Rc<Link>>>,
    pages: Vec<String>,
    pub ran: Rc<Ran>,
    /// All transmissions that came, turned away or not.
    pub came: Rc<RefCell<Vec<Came>>>,
    /// How each upstream does.
    pub moods: Rc<Vec<Cell<Mood>>>,
    /// RPCs a second asked of each balancer.
    rates: Rc<Vec<Cell<u64>>>,
    /// Answers that were neither served nor refused.
    pub wrong: Rc<RefCell<Vec<String>>>,
    /// RPCs that had no answer at all.
    pub unanswered: Rc<Cell<usize>>,
    _discovery: Rc<StubDiscovery>,
}

impl Fleet {
    /// `program` has the roles of the laboratory's own; `folder` is made, and gone with the fleet.
    pub async fn start(program: &Path, folder: PathBuf, shape: Shape) -> Result<Self, String> {
        let Shape { stewards, balancers, members, whole, .. } = shape;
        let trouble = |e: std::io::Error| e.to_string();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        std::fs::create_dir_all(&folder).map_err(trouble)?;
        let at = free_addresses(stewards).map_err(trouble)?;
        let (mut between, mut steward_pages) = (BTreeMap::new(), Vec::new());
        for n in 0..stewards {
            let mut list = String::new();
            for (m, own) in at.iter().enumerate() {
                let at = if m == n {
                    *own
                } else {
                    let link = Link::start(*own).await.map_err(trouble)?;
                    between.insert((n, m), Rc::clone(&link));
                    link.address
                };
                list += &format!("[[steward]]\nname = \"s{m}\"\naddress = \"{at}\"\n");
            }
            let disk = folder.join(format!("s{n}"));
            steward_pages.push(format!(
                "cluster = \"c\"\nname = \"s{n}\"\nfolder = \"{}\"\nmembers = {members}\nshares_ms = 3000\nduties_ms = 2000\nfloors_s = 12\n{list}",
                disk.display()
            ));
        }
        let start = |(n, text): (usize, &String)| {
            launch(program, "steward", &folder, &format!("s{n}"), &format!("{text}{}", shape.shared()))
        };
        let stewards =
            steward_pages.iter().enumerate().map(start).collect::<Result<Vec<Process>, String>>()?;
        let ran = Rc::new(Ran::default());
        let came: Rc<RefCell<Vec<Came>>> = Rc::default();
        let moods: Rc<Vec<Cell<Mood>>> = Rc::new((0..shape.upstreams).map(|_| Cell::default()).collect());
        let (mut upstreams, mut list) = (Vec::new(), Vec::new());
        for n in 0..shape.upstreams {
            let (ran, came, moods) = (Rc::clone(&ran), Rc::clone(&came), Rc::clone(&moods));
            let upstream = serve_stub(any, move |asked| {
                let rpc = asked.header("req-id").unwrap_or_default().to_owned();
                came.borrow_mut().push(Came { at: Instant::now(), upstream: n, rpc });
                match moods[n].get() {
                    Mood::Fails => return Reply::SendAndClose(Vec::new()),
                    Mood::TurnsAwayHalf if came.borrow().len() % 2 == 0 => {
                        return Reply::Send(response(503, "Srv-Declined: 1\r\n", ""));
                    }
                    Mood::Well | Mood::TurnsAwayHalf => {}
                }
                ran.0.borrow_mut().push(Instant::now());
                ok("whole")
            });
            let at = upstream.await.map_err(trouble)?;
            list.push(list_entry(&format!("u{n}"), at, "a", "SERVING"));
            upstreams.push(format!("[[upstream]]\nid = \"u{n}\"\naddress = \"{at}\"\nzone = \"a\"\n"));
        }
        let discovery = StubDiscovery::start(any, list.join(",")).await.map_err(trouble)?;
        let rates: Rc<Vec<Cell<u64>>> = Rc::new((0..balancers).map(|_| Cell::new(0)).collect());
        let mut fleet = Fleet {
            program: program.to_owned(),
            folder,
            shape,
            stewards,
            steward_addresses: at,
            steward_pages,
            between,
            balancers: Vec::new(),
            addresses: Vec::new(),
            doors: free_addresses(balancers).map_err(trouble)?,
            links: Vec::new(),
            pages: Vec::new(),
            ran,
            came,
            moods,
            rates,
            wrong: Rc::default(),
            unanswered: Rc::default(),
            _discovery: discovery,
        };
        for n in 0..balancers {
            let mut own = Vec::new();
            for at in &fleet.steward_addresses {
                own.push(Link::start(*at).await.map_err(trouble)?);
            }
            let to: Vec<String> = own.iter().map(|link| format!("\"{}\"", link.address)).collect();
            let text = format!(
                "name = \"b{n}\"\nlisten = \"127.0.0.1:0\"\n{}discovery = \"{}\"\n[place]\ninstances = {balancers}\nzone = \"a\"\n\
                 [load]\nrefuse_over_share = true\n[fleet]\ncluster = \"c\"\nstewards = [{}]\nbeat_ms = 200\ndivides = [{}]\n{}\
                 [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
                 [[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = 1000\nhard_ms = 3000\n\
                 [[tenant]]\nname = \"acme\"\nrate = {whole}\n\
                 [limits]\ntransmissions = 4\n{}",
                fleet.door(n),
                fleet._discovery.address,
                to.join(", "),
                fleet.shape.divides(),
                if fleet.shape.follows { "service = \"shop\"\n" } else { "" },
                upstreams.concat()
            );
            fleet.links.push(own);
            fleet.pages.push(text);
            fleet.start_balancer(n).await?;
        }
        Ok(fleet)
    }

    /// Where a balancer answers operators, as its file says it. Two processes of one balancer can't have it both, as in an
    /// upgrade: it is there where duties are, whose holders are asked at it.
    fn door(&self, n: usize) -> String {
        if self.shape.duties.is_empty() {
            return String::new();
        }
        format!("ops = \"{}\"\n", self.doors[n])
    }

    /// Starts one again, with what is left on its disk.
    pub fn start_steward(&mut self, n: usize) -> Result<(), String> {
        let text = format!("{}{}", self.steward_pages[n], self.shape.shared());
        self.stewards[n] = launch(&self.program, "steward", &self.folder, &format!("s{n}"), &text)?;
        Ok(())
    }

    /// A network that falls apart: these stewards and balancers reach each other, and so do all others.
    pub fn part(&self, stewards: &[usize], balancers: &[usize]) {
        let apart = |n: &usize, m: &usize| stewards.contains(n) != stewards.contains(m);
        self.between.iter().filter(|((n, m), _)| apart(n, m)).for_each(|(_, link)| link.refuse_connections());
        for (n, links) in self.links.iter().enumerate() {
            let apart =
                links.iter().enumerate().filter(|(m, _)| balancers.contains(&n) != stewards.contains(m));
            apart.for_each(|(_, link)| link.refuse_connections());
        }
    }

    /// All reach all again.
    pub fn heal(&self) {
        self.between.values().chain(self.links.iter().flatten()).for_each(|link| link.restore());
    }

    /// Another process under the name of this balancer, on another machine as far as it can tell.
    pub async fn stranger(&self, n: usize) -> Result<(Process, SocketAddr), String> {
        let folder = self.folder.join(format!("elsewhere{n}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let process = launch(&self.program, "balancer", &folder, &format!("b{n}"), &self.pages[n])?;
        let at = process.logged_address("serving on ", START).await?;
        Ok((process, at))
    }

    /// What this steward says of itself and of the ledger, if it does.
    pub async fn status(&self, steward: usize) -> Option<Status> {
        status(self.steward_addresses[steward]).await
    }

    /// Starts one, for the first time or again, with what is left on its disk.
    pub async fn start_balancer(&mut self, n: usize) -> Result<(), String> {
        let process = launch(&self.program, "balancer", &self.folder, &format!("b{n}"), &self.pages[n])?;
        let at = process.logged_address("serving on ", START).await?;
        if n < self.balancers.len() {
            (self.balancers[n], self.addresses[n]) = (process, at);
        } else {
            self.balancers.push(process);
            self.addresses.push(at);
        }
        self.ask_for_ever(n);
        Ok(())
    }

    /// Starts a new process of the same balancer beside the old one, which it returns once the new one serves.
    pub async fn upgrade(&mut self, n: usize) -> Result<Process, String> {
        let name = format!("b{n}");
        let new = launch(&self.program, "balancer", &self.folder, &name, &self.pages[n])?;
        new.logged_address("serving on ", START).await?;
        Ok(std::mem::replace(&mut self.balancers[n], new))
    }

    /// Open loop: what is slow to be answered keeps no other waiting.
    fn ask_for_ever(&self, n: usize) {
        let (rates, wrong, at) = (Rc::clone(&self.rates), Rc::clone(&self.wrong), self.addresses[n]);
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
                let (wrong, unanswered) = (Rc::clone(&wrong), Rc::clone(&unanswered));
                spawn_local(async move {
                    let none = || unanswered.set(unanswered.get() + 1);
                    let Ok(mut stream) = TcpStream::connect(at).await else { return none() };
                    let asked = rpc_head("GET", "/look", "Req-Owner: acme\r\nConnection: close\r\n");
                    let _ = stream.write_all(asked.as_bytes()).await;
                    match timeout(Duration::from_secs(4), read_message(&mut stream)).await {
                        Ok(Some(answer)) if matches!(answer.status(), 200 | 503) => {}
                        Ok(Some(answer)) => wrong.borrow_mut().push(answer.head),
                        // Its balancer was killed, or stands still: that is judged by who did it.
                        Ok(None) | Err(_) => none(),
                    }
                });
            }
        });
    }

    pub fn rates(&self, rates: &[u64]) {
        rates.iter().zip(self.rates.iter()).for_each(|(rate, of)| of.set(*rate));
    }

    /// Until nearly the whole has run within a second.
    pub async fn until_used(&self) {
        self.until_runs(self.shape.whole * 19 / 20).await;
    }

    /// Until so many have run within a second.
    pub async fn until_runs(&self, least: usize) {
        wait_until(|| self.ran.within(Duration::from_secs(1)) >= least).await;
    }

    /// Which steward leads by its own word, once one does.
    pub async fn leader(&self) -> usize {
        loop {
            for n in 0..self.stewards.len() {
                let running = self.stewards[n].is_running();
                if running && self.status(n).await.is_some_and(|s| s.state == "leader") {
                    return n;
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// What all balancers together did not keep, or answered wrongly.
    pub fn broken(&self) -> Option<String> {
        let wrong = self.wrong.borrow().first().cloned();
        self.ran.beyond(self.shape.whole, self.addresses.len()).or(wrong)
    }

    /// When transmissions came that were not the first of their RPC.
    pub fn further(&self) -> Vec<Instant> {
        let mut seen = BTreeSet::new();
        let came = self.came.borrow();
        came.iter().filter(|came| !seen.insert(came.rpc.clone())).map(|came| came.at).collect()
    }

    /// What is kept for a judgement of all is not kept any more.
    pub fn forget(&self) {
        self.ran.forget();
        self.came.borrow_mut().retain(|came| came.at.elapsed() < Duration::from_secs(11));
    }
}

/// What the steward there says of itself and of the ledger, if it does.
pub async fn status(at: SocketAddr) -> Option<Status> {
    let asked = "GET /-/status HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(asked.as_bytes()).await.ok()?;
    let answer = timeout(START, read_message(&mut stream)).await.ok()??;
    serde_json::from_slice(&answer.body).ok()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stewards.clear();
        self.balancers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
