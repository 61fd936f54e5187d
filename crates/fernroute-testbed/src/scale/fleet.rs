//! The processes of a scale run, the links between them, and their costs per second.

use super::figures::{Cost, CpuTimes, Sample};
use super::hollow::{OPS_PREFIX, READY_PREFIX as HOLLOW_READY_PREFIX};
use super::layout::{kind, Layout};
use super::stand_in::{ExecutionCounts, StandInConfig, TrafficByKind, UpstreamList, READY_PREFIX};
use crate::processes::status;
use fernroute_coordinator::replica::Status;
use fernroute_test_support::http::Connection;
use fernroute_test_support::link::Link;
use fernroute_test_support::process::{free_addresses, Process};
use fernroute_test_support::Traffic;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Well above a normal start, also on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(100);

const SECOND: Duration = Duration::from_secs(1);

/// Links from the members of one zone and kind to the coordinators.
type MemberLinks = BTreeMap<(String, bool), Vec<Rc<Link>>>;

pub struct Fleet {
    pub layout: Layout,
    program: PathBuf,
    folder: PathBuf,
    discovery: Process,
    discovery_control: SocketAddr,
    /// By `LIST KIND`.
    lists: BTreeMap<String, SocketAddr>,
    upstreams: Process,
    upstreams_control: SocketAddr,
    upstream_addresses: BTreeMap<String, SocketAddr>,
    pub coordinator_addresses: Vec<SocketAddr>,
    pub coordinators: RefCell<Vec<Process>>,
    pub coordinator_links: BTreeMap<(usize, usize), Rc<Link>>,
    pub member_links: MemberLinks,
    /// In the order of the layout.
    pub hollow: RefCell<Vec<Process>>,
    /// By position in the layout.
    pub real: RefCell<BTreeMap<usize, Process>>,
    /// Operations servers, by member name.
    pub ops_addresses: RefCell<BTreeMap<String, SocketAddr>>,
    /// Traffic of metrics requests, hollow and real.
    metrics_traffic: Cell<[Traffic; 2]>,
}

fn io_error(at: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", at.display())
}

/// Launches this crate's binary in one of its roles.
fn launch(program: &Path, role: &str, option: &str, at: &Path, folder: &Path) -> Result<Process, String> {
    let mut command = Command::new(program);
    command.args([role, option]).arg(at).env("TMPDIR", folder);
    command.env_remove("FERNROUTE_LOG").env_remove("FERNROUTE_LOG_JSON").env_remove("NODE_OPS");
    Process::launch(command).map_err(io_error(program))
}

async fn start_stand_in(
    program: &Path,
    folder: &Path,
    name: &str,
    config: &StandInConfig,
) -> Result<(Process, SocketAddr, BTreeMap<String, SocketAddr>), String> {
    let at = folder.join(format!("{name}.json"));
    fs::write(&at, serde_json::to_string(config).map_err(|e| e.to_string())?).map_err(io_error(&at))?;
    let process = launch(program, "scale-stand", "--config", &at, folder)?;
    let address = process.logged_address(READY_PREFIX, START_TIMEOUT).await?;
    let out = at.with_extension("out");
    let text = fs::read_to_string(&out).map_err(io_error(&out))?;
    Ok((process, address, serde_json::from_str(&text).map_err(|e| e.to_string())?))
}

/// Sends a request to a stand-in process.
pub async fn request<A: DeserializeOwned>(at: SocketAddr, path: &str) -> Result<A, String> {
    let response = async {
        let mut peer = Connection::new(TcpStream::connect(at).await?);
        peer.write(format!("GET {path} HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        peer.read().await
    };
    let response = response.await.map_err(|e| format!("{at}{path}: {e}"))?;
    let body = response.map(|response| response.body).unwrap_or_default();
    serde_json::from_slice(&body).map_err(|e| format!("{at}{path}: {e}"))
}

impl Fleet {
    /// Starts all processes and returns once all balancers are in the ledger. `folder` exists and is
    /// empty.
    pub async fn start(layout: Layout, program: &Path, folder: &Path) -> Result<Rc<Self>, String> {
        let of_real: BTreeSet<usize> = layout.members.iter().filter(|m| m.real).map(|m| m.service).collect();
        let ids: BTreeSet<String> = of_real
            .iter()
            .flat_map(|service| layout.callable_upstreams(*service))
            .map(|(id, _)| id)
            .collect();
        let config = StandInConfig::Upstreams {
            ids: ids.into_iter().collect(),
            whole: layout.plan.whole,
            beside: 4 * layout.members.len().min(4 * layout.real_count()),
        };
        let (upstreams, upstreams_control, upstream_addresses) =
            start_stand_in(program, folder, "upstreams", &config).await?;
        let mut lists: BTreeMap<String, UpstreamList> = BTreeMap::new();
        for m in &layout.members {
            let list = lists.entry(layout.services[m.service].name.clone()).or_insert_with(|| {
                let listed = layout.callable_upstreams(m.service).into_iter();
                UpstreamList {
                    upstreams: listed.map(|(id, zone)| (id, zone.to_owned())).collect(),
                    kinds: Vec::new(),
                }
            });
            if !list.kinds.iter().any(|k| k == kind(m.real)) {
                list.kinds.push(kind(m.real).to_owned());
            }
        }
        let config = StandInConfig::Discovery { lists, places: upstream_addresses.clone() };
        let (discovery, discovery_control, lists) =
            start_stand_in(program, folder, "discovery", &config).await?;
        let coordinator_addresses =
            free_addresses(layout.plan.coordinators.len()).map_err(|e| e.to_string())?;
        let mut coordinator_links = BTreeMap::new();
        for n in 0..coordinator_addresses.len() {
            for (m, at) in coordinator_addresses.iter().enumerate().filter(|(m, _)| *m != n) {
                coordinator_links.insert((n, m), Link::start(*at).await.map_err(|e| e.to_string())?);
            }
        }
        let mut member_links = MemberLinks::new();
        for m in &layout.members {
            let key = (m.zone.clone(), m.real);
            if member_links.contains_key(&key) {
                continue;
            }
            let mut links = Vec::new();
            for at in &coordinator_addresses {
                links.push(Link::start(*at).await.map_err(|e| e.to_string())?);
            }
            member_links.insert(key, links);
        }
        let fleet = Fleet {
            layout,
            program: program.to_owned(),
            folder: folder.to_owned(),
            discovery,
            discovery_control,
            lists,
            upstreams,
            upstreams_control,
            upstream_addresses,
            coordinator_addresses,
            coordinators: RefCell::default(),
            coordinator_links,
            member_links,
            hollow: RefCell::default(),
            real: RefCell::default(),
            ops_addresses: RefCell::default(),
            metrics_traffic: Cell::default(),
        };
        for n in 0..fleet.coordinator_addresses.len() {
            let process = fleet.launch_coordinator(n)?;
            fleet.coordinators.borrow_mut().push(process);
        }
        fleet.leader().await?;
        for n in 0..fleet.layout.hollow.len() {
            let process = fleet.launch_hollow(n)?;
            fleet.hollow.borrow_mut().push(process);
        }
        let real: Vec<usize> =
            (0..fleet.layout.members.len()).filter(|n| fleet.layout.members[*n].real).collect();
        for n in real {
            let process = fleet.launch_real(n)?;
            fleet.real.borrow_mut().insert(n, process);
        }
        let all: Vec<usize> = (0..fleet.layout.hollow.len()).collect();
        fleet.wait_for_hollow(&all).await?;
        fleet.wait_for_real().await?;
        let from = Instant::now();
        loop {
            let status = fleet.leader().await?.1;
            if status.members.len() >= fleet.layout.members.len() {
                return Ok(Rc::new(fleet));
            }
            if from.elapsed() > START_TIMEOUT {
                let (joined, all) = (status.members.len(), fleet.layout.members.len());
                return Err(format!("only {joined} of {all} balancers joined the ledger"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn write_file(&self, folder: &Path, name: &str, text: &str) -> Result<PathBuf, String> {
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, text).map_err(io_error(&file))?;
        Ok(file)
    }

    pub fn coordinator_folder(&self, n: usize) -> PathBuf {
        self.folder.join(format!("disk{n}"))
    }

    /// Writes the file of a coordinator, also used by the membership command.
    pub fn coordinator_file(&self, n: usize) -> Result<PathBuf, String> {
        let of = |(m, at): (usize, &SocketAddr)| {
            self.coordinator_links.get(&(n, m)).map_or(*at, |link| link.address)
        };
        let list: Vec<SocketAddr> = self.coordinator_addresses.iter().enumerate().map(of).collect();
        let disk = self.coordinator_folder(n).display().to_string();
        self.write_file(&self.folder, &format!("s{n}"), &self.layout.coordinator_file(n, &disk, &list))
    }

    pub fn launch_coordinator(&self, n: usize) -> Result<Process, String> {
        launch(&self.program, "steward", "--config", &self.coordinator_file(n)?, &self.folder)
    }

    fn balancer_file(&self, n: usize) -> String {
        let m = &self.layout.members[n];
        let list = format!("{} {}", self.layout.services[m.service].name, kind(m.real));
        let coordinators = self.member_links[&(m.zone.clone(), m.real)].iter().map(|link| link.address);
        self.layout.balancer_file(n, self.lists[&list], &coordinators.collect::<Vec<SocketAddr>>())
    }

    pub fn launch_hollow(&self, n: usize) -> Result<Process, String> {
        let folder = self.folder.join(format!("h{n}"));
        for member in &self.layout.hollow[n] {
            self.write_file(&folder, &self.layout.members[*member].name, &self.balancer_file(*member))?;
        }
        launch(&self.program, "hollow", "--folder", &folder, &folder)
    }

    pub fn launch_real(&self, n: usize) -> Result<Process, String> {
        let file = self.write_file(&self.folder, &self.layout.members[n].name, &self.balancer_file(n))?;
        launch(&self.program, "balancer", "--config", &file, &self.folder)
    }

    /// Waits until all balancers of these processes serve.
    pub async fn wait_for_hollow(&self, processes: &[usize]) -> Result<(), String> {
        let from = Instant::now();
        for n in processes {
            loop {
                let (serves, ended, log) = {
                    let process = &self.hollow.borrow()[*n];
                    (process.log_contains(HOLLOW_READY_PREFIX), !process.is_running(), process.log())
                };
                if serves {
                    let ops_addresses =
                        log.iter().filter_map(|line| line.strip_prefix(OPS_PREFIX)?.split_once(' '));
                    let ops_addresses =
                        ops_addresses.filter_map(|(name, at)| Some((name.to_owned(), at.parse().ok()?)));
                    self.ops_addresses.borrow_mut().extend(ops_addresses);
                    break;
                }
                if ended || from.elapsed() > START_TIMEOUT {
                    return Err(format!("hollow balancers did not start: {}", log.join("; ")));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until all real balancers serve and returns their addresses in order.
    pub async fn wait_for_real(&self) -> Result<Vec<SocketAddr>, String> {
        let from = Instant::now();
        let mut serve = Vec::new();
        loop {
            let ready = {
                let real = self.real.borrow();
                let response = |process: &Process, what: &str| {
                    let of = |line: &String| line.split_once(what)?.1.split(',').next()?.parse().ok();
                    process.log().iter().find_map(of)
                };
                for (n, process) in real.iter().skip(serve.len()) {
                    let name = &self.layout.members[*n].name;
                    if let Some(address) = response(process, "operators are answered on ") {
                        self.ops_addresses.borrow_mut().insert(name.clone(), address);
                    }
                    match response(process, "serving on ") {
                        Some(at) => serve.push(at),
                        None if !process.is_running() || from.elapsed() > START_TIMEOUT => {
                            return Err(format!("{name} did not start: {}", process.log().join("; ")));
                        }
                        None => break,
                    }
                }
                serve.len() == real.len()
            };
            if ready {
                return Ok(serve);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// An upstream that the first real balancer uses, too.
    pub fn direct(&self) -> Option<SocketAddr> {
        let first = self.layout.members.iter().find(|m| m.real)?;
        let listed = self.layout.callable_upstreams(first.service);
        listed.iter().find_map(|(id, _)| self.upstream_addresses.get(id).copied())
    }

    /// The leader and its status; an error if there is none within the time-out.
    pub async fn leader(&self) -> Result<(usize, Status), String> {
        let from = Instant::now();
        loop {
            for n in 0..self.coordinator_addresses.len() {
                let running = self.coordinators.borrow()[n].is_running();
                if !running {
                    continue;
                }
                let reply = timeout(2 * SECOND, status(self.coordinator_addresses[n])).await;
                if let Some(status) = reply.ok().flatten().filter(|status| status.state == "leader") {
                    return Ok((n, status));
                }
            }
            if from.elapsed() > START_TIMEOUT {
                return Err("no coordinator became leader".to_owned());
            }
            sleep(POLL_INTERVAL / 5).await;
        }
    }

    pub async fn execution_counts(&self) -> Result<ExecutionCounts, String> {
        request(self.upstreams_control, "/").await
    }

    /// Has discovery publish a changed list to the watchers of the first real balancer's list.
    pub async fn republish_list(&self) -> Result<(), String> {
        let Some(first) = self.layout.members.iter().find(|m| m.real) else { return Ok(()) };
        let name = &self.layout.services[first.service].name;
        // The answer has no body.
        let _ = request::<serde_json::Value>(self.discovery_control, &format!("/tell/{name}")).await;
        Ok(())
    }

    /// Traffic from members to each coordinator so far.
    pub fn member_traffic(&self) -> Vec<Traffic> {
        let sum =
            |n: usize| self.member_links.values().fold(Traffic::default(), |sum, to| sum + to[n].traffic());
        (0..self.coordinator_addresses.len()).map(sum).collect()
    }

    fn kind_traffic(&self, real: bool) -> Traffic {
        let member_links = self.member_links.iter().filter(|((_, kind), _)| *kind == real);
        let traffic_by_kind = self.metrics_traffic.get()[usize::from(real)];
        member_links.flat_map(|(_, links)| links).fold(traffic_by_kind, |sum, link| sum + link.traffic())
    }

    fn coordinator_traffic(&self, n: usize) -> Traffic {
        let coordinator_links =
            self.coordinator_links.iter().filter(|((from, to), _)| *from == n || *to == n);
        coordinator_links.fold(self.member_traffic()[n], |sum, (_, link)| sum + link.traffic())
    }

    /// Memory in kB: hollow processes together, real balancers together, each coordinator, and the
    /// discovery stand-in.
    pub fn memory_kb(&self) -> (u64, u64, Vec<u64>, u64) {
        let hollow = self.hollow.borrow().iter().map(Process::memory_kb).sum();
        let real = self.real.borrow().values().map(Process::memory_kb).sum();
        let coordinators = self.coordinators.borrow().iter().map(Process::memory_kb).collect();
        (hollow, real, coordinators, self.discovery.memory_kb())
    }

    /// Figures of a run whose stand-ins have ended are invalid.
    pub fn stand_ins_running(&self) -> bool {
        self.upstreams.is_running() && self.discovery.is_running()
    }
}

/// Polls each balancer's metrics in turn, as monitoring does, for as long as it runs.
pub async fn poll_metrics(fleet: Rc<Fleet>) {
    let every = Duration::from_secs_f64(fleet.layout.plan.operators_s / fleet.layout.members.len() as f64);
    for m in fleet.layout.members.iter().cycle() {
        sleep(every).await;
        let address = fleet.ops_addresses.borrow().get(&m.name).copied();
        let Some(at) = address else { continue };
        let request = format!("GET /-/metrics HTTP/1.1\r\nHost: {}\r\n\r\n", m.name);
        let response = async {
            let mut peer = Connection::new(TcpStream::connect(at).await?);
            peer.write(request.as_bytes()).await?;
            peer.read().await
        };
        // A killed or stopped balancer does not answer.
        let Ok(Ok(Some(response))) = timeout(SECOND, response).await else { continue };
        let mut all = fleet.metrics_traffic.get();
        let bytes = (request.len() + response.head.len() + response.body.len()) as u64;
        all[usize::from(m.real)] += Traffic { bytes, messages: 2 };
        fleet.metrics_traffic.set(all);
    }
}

/// Samples the costs once a second for as long as it runs.
pub async fn sample_costs(fleet: Rc<Fleet>, samples: Rc<RefCell<Vec<Sample>>>) {
    let mut cpu_times = CpuTimes::default();
    let mut before: Option<(Instant, Vec<Traffic>)> = None;
    let mut next = Instant::now();
    loop {
        let traffic_by_kind: TrafficByKind = request(fleet.discovery_control, "/").await.unwrap_or_default();
        let now = Instant::now();
        let list_traffic = |kind: &str| {
            let (bytes, messages) = traffic_by_kind.get(kind).copied().unwrap_or_default();
            Traffic { bytes, messages }
        };
        let (hollow, real) = (list_traffic(kind(false)), list_traffic(kind(true)));
        let mut counted =
            vec![fleet.kind_traffic(false) + hollow, fleet.kind_traffic(true) + real, hollow + real];
        counted.extend((0..fleet.coordinator_addresses.len()).map(|n| fleet.coordinator_traffic(n)));
        let mut cpu_since_last =
            |ids: Vec<u32>| ids.into_iter().map(|id| cpu_times.since_last(id)).sum::<u64>();
        let mut costs = vec![
            cpu_since_last(fleet.hollow.borrow().iter().map(Process::id).collect()),
            cpu_since_last(fleet.real.borrow().values().map(Process::id).collect()),
            cpu_since_last(vec![fleet.discovery.id()]),
        ];
        let coordinators: Vec<u32> = fleet.coordinators.borrow().iter().map(Process::id).collect();
        costs.extend(coordinators.into_iter().map(|id| cpu_since_last(vec![id])));
        if let Some((at, last)) = before.replace((now, counted.clone())) {
            let cost = |n: usize| Cost { cpu_ns: costs[n], counted: counted[n] - last[n] };
            let coordinators: Vec<Cost> = (3..counted.len()).map(cost).collect();
            let leader =
                (0..coordinators.len()).max_by_key(|n| coordinators[*n].counted.messages).unwrap_or(0);
            samples.borrow_mut().push(Sample {
                seconds: (now - at).as_secs_f64(),
                hollow: cost(0),
                real: cost(1),
                discovery: cost(2),
                coordinators,
                leader,
            });
        }
        next = (next + SECOND).max(now + SECOND / 2);
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
}
