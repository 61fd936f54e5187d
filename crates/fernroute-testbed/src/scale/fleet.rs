//! The processes of a run, the links between them, and what each second of them costs.

use super::figures::{Cost, Processor, Second};
use super::hollow::{ALL_SERVE, DOOR};
use super::layout::{kind, Layout};
use super::stand::{Asked, List, Page, Ran, READY};
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

/// Far longer than a start takes, on a busy machine too.
const START: Duration = Duration::from_secs(60);

/// How often it is looked at what happens.
const LOOK: Duration = Duration::from_millis(100);

const SECOND: Duration = Duration::from_secs(1);

/// Where the members of one zone and kind reach the stewards.
type Ways = BTreeMap<(String, bool), Vec<Rc<Link>>>;

pub struct Fleet {
    pub layout: Layout,
    program: PathBuf,
    folder: PathBuf,
    discovery: Process,
    discovery_door: SocketAddr,
    /// By `LIST KIND`.
    lists: BTreeMap<String, SocketAddr>,
    upstreams: Process,
    upstreams_door: SocketAddr,
    places: BTreeMap<String, SocketAddr>,
    pub steward_addresses: Vec<SocketAddr>,
    pub stewards: RefCell<Vec<Process>>,
    pub between: BTreeMap<(usize, usize), Rc<Link>>,
    pub ways: Ways,
    /// As the layout has them.
    pub hollow: RefCell<Vec<Process>>,
    /// By their places in the layout.
    pub real: RefCell<BTreeMap<usize, Process>>,
    /// Where operators are answered, by members' names.
    pub doors: RefCell<BTreeMap<String, SocketAddr>>,
    /// What operators asked and were answered, by kind.
    operators: Cell<[Traffic; 2]>,
}

fn trouble(at: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", at.display())
}

/// A program of the run: this crate's own, in one of its roles.
fn launch(program: &Path, role: &str, option: &str, at: &Path, folder: &Path) -> Result<Process, String> {
    let mut command = Command::new(program);
    command.args([role, option]).arg(at).env("TMPDIR", folder);
    command.env_remove("FERNROUTE_LOG").env_remove("FERNROUTE_LOG_JSON").env_remove("NODE_OPS");
    Process::launch(command).map_err(trouble(program))
}

async fn stand(
    program: &Path,
    folder: &Path,
    name: &str,
    page: &Page,
) -> Result<(Process, SocketAddr, BTreeMap<String, SocketAddr>), String> {
    let at = folder.join(format!("{name}.json"));
    fs::write(&at, serde_json::to_string(page).map_err(|e| e.to_string())?).map_err(trouble(&at))?;
    let process = launch(program, "scale-stand", "--config", &at, folder)?;
    let door = process.logged_address(READY, START).await?;
    let out = at.with_extension("out");
    let text = fs::read_to_string(&out).map_err(trouble(&out))?;
    Ok((process, door, serde_json::from_str(&text).map_err(|e| e.to_string())?))
}

/// Asks one of the stand-ins.
pub async fn ask<A: DeserializeOwned>(at: SocketAddr, path: &str) -> Result<A, String> {
    let said = async {
        let mut peer = Connection::new(TcpStream::connect(at).await?);
        peer.write(format!("GET {path} HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        peer.read().await
    };
    let said = said.await.map_err(|e| format!("{at}{path}: {e}"))?;
    let body = said.map(|said| said.body).unwrap_or_default();
    serde_json::from_slice(&body).map_err(|e| format!("{at}{path}: {e}"))
}

impl Fleet {
    /// Starts all of it, and returns once all are in the ledger; `folder` is there and empty.
    pub async fn start(layout: Layout, program: &Path, folder: &Path) -> Result<Rc<Self>, String> {
        let of_real: BTreeSet<usize> = layout.members.iter().filter(|m| m.real).map(|m| m.service).collect();
        let ids: BTreeSet<String> =
            of_real.iter().flat_map(|service| layout.listed(*service)).map(|(id, _)| id).collect();
        let page = Page::Upstreams {
            ids: ids.into_iter().collect(),
            whole: layout.plan.whole,
            beside: 4 * layout.members.len().min(4 * layout.real()),
        };
        let (upstreams, upstreams_door, places) = stand(program, folder, "upstreams", &page).await?;
        let mut lists: BTreeMap<String, List> = BTreeMap::new();
        for m in &layout.members {
            let list = lists.entry(layout.services[m.service].name.clone()).or_insert_with(|| {
                let listed = layout.listed(m.service).into_iter();
                List {
                    upstreams: listed.map(|(id, zone)| (id, zone.to_owned())).collect(),
                    kinds: Vec::new(),
                }
            });
            if !list.kinds.iter().any(|k| k == kind(m.real)) {
                list.kinds.push(kind(m.real).to_owned());
            }
        }
        let page = Page::Discovery { lists, places: places.clone() };
        let (discovery, discovery_door, lists) = stand(program, folder, "discovery", &page).await?;
        let steward_addresses = free_addresses(layout.plan.stewards.len()).map_err(|e| e.to_string())?;
        let mut between = BTreeMap::new();
        for n in 0..steward_addresses.len() {
            for (m, at) in steward_addresses.iter().enumerate().filter(|(m, _)| *m != n) {
                between.insert((n, m), Link::start(*at).await.map_err(|e| e.to_string())?);
            }
        }
        let mut ways = Ways::new();
        for m in &layout.members {
            let key = (m.zone.clone(), m.real);
            if ways.contains_key(&key) {
                continue;
            }
            let mut links = Vec::new();
            for at in &steward_addresses {
                links.push(Link::start(*at).await.map_err(|e| e.to_string())?);
            }
            ways.insert(key, links);
        }
        let fleet = Fleet {
            layout,
            program: program.to_owned(),
            folder: folder.to_owned(),
            discovery,
            discovery_door,
            lists,
            upstreams,
            upstreams_door,
            places,
            steward_addresses,
            stewards: RefCell::default(),
            between,
            ways,
            hollow: RefCell::default(),
            real: RefCell::default(),
            doors: RefCell::default(),
            operators: Cell::default(),
        };
        for n in 0..fleet.steward_addresses.len() {
            let process = fleet.launch_steward(n)?;
            fleet.stewards.borrow_mut().push(process);
        }
        fleet.leader().await?;
        for n in 0..fleet.layout.hollow.len() {
            let process = fleet.launch_hollow(n)?;
            fleet.hollow.borrow_mut().push(process);
        }
        let places: Vec<usize> =
            (0..fleet.layout.members.len()).filter(|n| fleet.layout.members[*n].real).collect();
        for n in places {
            let process = fleet.launch_real(n)?;
            fleet.real.borrow_mut().insert(n, process);
        }
        let all: Vec<usize> = (0..fleet.layout.hollow.len()).collect();
        fleet.hollow_serve(&all).await?;
        fleet.real_serve().await?;
        let from = Instant::now();
        loop {
            let status = fleet.leader().await?.1;
            if status.members.len() >= fleet.layout.members.len() {
                return Ok(Rc::new(fleet));
            }
            if from.elapsed() > START {
                let (there, all) = (status.members.len(), fleet.layout.members.len());
                return Err(format!("{there} of {all} balancers are in the ledger"));
            }
            sleep(LOOK).await;
        }
    }

    fn page(&self, folder: &Path, name: &str, text: &str) -> Result<PathBuf, String> {
        fs::create_dir_all(folder).map_err(trouble(folder))?;
        let page = folder.join(format!("{name}.toml"));
        fs::write(&page, text).map_err(trouble(&page))?;
        Ok(page)
    }

    pub fn steward_disk(&self, n: usize) -> PathBuf {
        self.folder.join(format!("disk{n}"))
    }

    /// The file of a steward, and of whoever changes which there are.
    pub fn steward_page(&self, n: usize) -> Result<PathBuf, String> {
        let of = |(m, at): (usize, &SocketAddr)| self.between.get(&(n, m)).map_or(*at, |link| link.address);
        let list: Vec<SocketAddr> = self.steward_addresses.iter().enumerate().map(of).collect();
        let disk = self.steward_disk(n).display().to_string();
        self.page(&self.folder, &format!("s{n}"), &self.layout.steward_page(n, &disk, &list))
    }

    pub fn launch_steward(&self, n: usize) -> Result<Process, String> {
        launch(&self.program, "steward", "--config", &self.steward_page(n)?, &self.folder)
    }

    fn balancer_page(&self, n: usize) -> String {
        let m = &self.layout.members[n];
        let list = format!("{} {}", self.layout.services[m.service].name, kind(m.real));
        let stewards = self.ways[&(m.zone.clone(), m.real)].iter().map(|link| link.address);
        self.layout.balancer_page(n, self.lists[&list], &stewards.collect::<Vec<SocketAddr>>())
    }

    pub fn launch_hollow(&self, n: usize) -> Result<Process, String> {
        let folder = self.folder.join(format!("h{n}"));
        for place in &self.layout.hollow[n] {
            self.page(&folder, &self.layout.members[*place].name, &self.balancer_page(*place))?;
        }
        launch(&self.program, "hollow", "--folder", &folder, &folder)
    }

    pub fn launch_real(&self, n: usize) -> Result<Process, String> {
        let page = self.page(&self.folder, &self.layout.members[n].name, &self.balancer_page(n))?;
        launch(&self.program, "balancer", "--config", &page, &self.folder)
    }

    /// Waits until all balancers of these processes serve.
    pub async fn hollow_serve(&self, processes: &[usize]) -> Result<(), String> {
        let from = Instant::now();
        for n in processes {
            loop {
                let (serves, ended, log) = {
                    let process = &self.hollow.borrow()[*n];
                    (process.log_contains(ALL_SERVE), !process.is_running(), process.log())
                };
                if serves {
                    let doors = log.iter().filter_map(|line| line.strip_prefix(DOOR)?.split_once(' '));
                    let doors = doors.filter_map(|(name, at)| Some((name.to_owned(), at.parse().ok()?)));
                    self.doors.borrow_mut().extend(doors);
                    break;
                }
                if ended || from.elapsed() > START {
                    return Err(format!("hollow balancers do not serve: {}", log.join("; ")));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Waits until all real balancers serve; where, by their order.
    pub async fn real_serve(&self) -> Result<Vec<SocketAddr>, String> {
        let from = Instant::now();
        let mut serve = Vec::new();
        loop {
            let ready = {
                let real = self.real.borrow();
                let said = |process: &Process, what: &str| {
                    let of = |line: &String| line.split_once(what)?.1.split(',').next()?.parse().ok();
                    process.log().iter().find_map(of)
                };
                for (n, process) in real.iter().skip(serve.len()) {
                    let name = &self.layout.members[*n].name;
                    if let Some(door) = said(process, "operators are answered on ") {
                        self.doors.borrow_mut().insert(name.clone(), door);
                    }
                    match said(process, "serving on ") {
                        Some(at) => serve.push(at),
                        None if !process.is_running() || from.elapsed() > START => {
                            return Err(format!("{name} does not serve: {}", process.log().join("; ")));
                        }
                        None => break,
                    }
                }
                serve.len() == real.len()
            };
            if ready {
                return Ok(serve);
            }
            sleep(LOOK).await;
        }
    }

    /// An upstream that the first real balancer chooses, too.
    pub fn direct(&self) -> Option<SocketAddr> {
        let first = self.layout.members.iter().find(|m| m.real)?;
        let listed = self.layout.listed(first.service);
        listed.iter().find_map(|(id, _)| self.places.get(id).copied())
    }

    /// Who leads by its own word, and that word; an error where none does for long.
    pub async fn leader(&self) -> Result<(usize, Status), String> {
        let from = Instant::now();
        loop {
            for n in 0..self.steward_addresses.len() {
                let running = self.stewards.borrow()[n].is_running();
                if !running {
                    continue;
                }
                let told = timeout(2 * SECOND, status(self.steward_addresses[n])).await;
                if let Some(status) = told.ok().flatten().filter(|status| status.state == "leader") {
                    return Ok((n, status));
                }
            }
            if from.elapsed() > START {
                return Err("no steward leads".to_owned());
            }
            sleep(LOOK / 5).await;
        }
    }

    pub async fn ran(&self) -> Result<Ran, String> {
        ask(self.upstreams_door, "/").await
    }

    /// The list that the first real balancer watches is told anew.
    pub async fn tell_list(&self) -> Result<(), String> {
        let Some(first) = self.layout.members.iter().find(|m| m.real) else { return Ok(()) };
        let name = &self.layout.services[first.service].name;
        // It says nothing.
        let _ = ask::<serde_json::Value>(self.discovery_door, &format!("/tell/{name}")).await;
        Ok(())
    }

    /// What went over the links to each steward so far, by members alone.
    pub fn to_stewards(&self) -> Vec<Traffic> {
        let sum = |n: usize| self.ways.values().fold(Traffic::default(), |sum, to| sum + to[n].traffic());
        (0..self.steward_addresses.len()).map(sum).collect()
    }

    fn of_kind(&self, real: bool) -> Traffic {
        let ways = self.ways.iter().filter(|((_, kind), _)| *kind == real);
        let asked = self.operators.get()[usize::from(real)];
        ways.flat_map(|(_, links)| links).fold(asked, |sum, link| sum + link.traffic())
    }

    fn of_steward(&self, n: usize) -> Traffic {
        let between = self.between.iter().filter(|((from, to), _)| *from == n || *to == n);
        between.fold(self.to_stewards()[n], |sum, (_, link)| sum + link.traffic())
    }

    /// Memory of all processes of a role together, in kB: hollow ones, real ones, a steward each, discovery's stand-in.
    pub fn memory_kb(&self) -> (u64, u64, Vec<u64>, u64) {
        let hollow = self.hollow.borrow().iter().map(Process::memory_kb).sum();
        let real = self.real.borrow().values().map(Process::memory_kb).sum();
        let stewards = self.stewards.borrow().iter().map(Process::memory_kb).collect();
        (hollow, real, stewards, self.discovery.memory_kb())
    }

    /// Guards against figures of a run whose stand-ins have ended.
    pub fn stand_ins_run(&self) -> bool {
        self.upstreams.is_running() && self.discovery.is_running()
    }
}

/// Asks each balancer for its figures in turn, as operators' tools do, for as long as it runs.
pub async fn operate(fleet: Rc<Fleet>) {
    let every = Duration::from_secs_f64(fleet.layout.plan.operators_s / fleet.layout.members.len() as f64);
    for m in fleet.layout.members.iter().cycle() {
        sleep(every).await;
        let door = fleet.doors.borrow().get(&m.name).copied();
        let Some(at) = door else { continue };
        let asked = format!("GET /-/metrics HTTP/1.1\r\nHost: {}\r\n\r\n", m.name);
        let said = async {
            let mut peer = Connection::new(TcpStream::connect(at).await?);
            peer.write(asked.as_bytes()).await?;
            peer.read().await
        };
        // One that is killed or stands still answers none.
        let Ok(Ok(Some(said))) = timeout(SECOND, said).await else { continue };
        let mut all = fleet.operators.get();
        let bytes = (asked.len() + said.head.len() + said.body.len()) as u64;
        all[usize::from(m.real)] += Traffic { bytes, messages: 2 };
        fleet.operators.set(all);
    }
}

/// Looks once a second for as long as it runs; each second goes to `seconds`.
pub async fn watch(fleet: Rc<Fleet>, seconds: Rc<RefCell<Vec<Second>>>) {
    let mut processor = Processor::default();
    let mut before: Option<(Instant, Vec<Traffic>)> = None;
    let mut next = Instant::now();
    loop {
        let asked: Asked = ask(fleet.discovery_door, "/").await.unwrap_or_default();
        let now = Instant::now();
        let listed = |kind: &str| {
            let (bytes, messages) = asked.get(kind).copied().unwrap_or_default();
            Traffic { bytes, messages }
        };
        let (hollow, real) = (listed(kind(false)), listed(kind(true)));
        let mut counted = vec![fleet.of_kind(false) + hollow, fleet.of_kind(true) + real, hollow + real];
        counted.extend((0..fleet.steward_addresses.len()).map(|n| fleet.of_steward(n)));
        let mut spent = |ids: Vec<u32>| ids.into_iter().map(|id| processor.since(id)).sum::<u64>();
        let mut costs = vec![
            spent(fleet.hollow.borrow().iter().map(Process::id).collect()),
            spent(fleet.real.borrow().values().map(Process::id).collect()),
            spent(vec![fleet.discovery.id()]),
        ];
        let stewards: Vec<u32> = fleet.stewards.borrow().iter().map(Process::id).collect();
        costs.extend(stewards.into_iter().map(|id| spent(vec![id])));
        if let Some((at, last)) = before.replace((now, counted.clone())) {
            let cost = |n: usize| Cost { processor_ns: costs[n], counted: counted[n] - last[n] };
            let stewards: Vec<Cost> = (3..counted.len()).map(cost).collect();
            let leader = (0..stewards.len()).max_by_key(|n| stewards[*n].counted.messages).unwrap_or(0);
            seconds.borrow_mut().push(Second {
                seconds: (now - at).as_secs_f64(),
                hollow: cost(0),
                real: cost(1),
                discovery: cost(2),
                stewards,
                leader,
            });
        }
        next = (next + SECOND).max(now + SECOND / 2);
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
}
