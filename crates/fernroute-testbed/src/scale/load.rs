//! Open-loop load: each RPC has a time at which it is due, and is timed from there, however late it leaves or is answered. One
//! thread says when, another does it.

use super::layout::TENANT;
use fernroute_test_support::http::Connection;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

/// What is asked meanwhile: each RPC is noted under what was on as it was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is noted.
    Idle,
    Mean,
    Times,
    UpstreamList,
    Division,
    Change,
}

const PHASES: [Phase; 6] =
    [Phase::Idle, Phase::Mean, Phase::Times, Phase::UpstreamList, Phase::Division, Phase::Change];

impl Phase {
    pub fn name(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Mean => "mean",
            Phase::Times => "times",
            Phase::UpstreamList => "list",
            Phase::Division => "division",
            Phase::Change => "change",
        }
    }
}

/// Sent so long after it was due, an RPC was sent late; one in a hundred may be.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);
const MAX_LATE_SHARE: f64 = 0.01;

/// Connections to one address, at the most: fewer than a balancer has places for callers. An RPC beyond that waits for one, and its
/// time runs on. Guards against a load that held up and then sent all at once, whose connections are closed for want of places.
const MAX_CONNECTIONS: usize = 256;

/// Longer than any deadline of these RPCs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Where a balancer serves, while it does, and how often it has begun to.
#[derive(Clone, Copy, Debug, Default)]
struct Target {
    at: Option<SocketAddr>,
    generation: u64,
}

/// Times in microseconds.
pub type Times = Histogram<u64>;

#[derive(Debug, Default)]
pub struct LoadStats {
    /// By phase, through a balancer and directly.
    pub times: BTreeMap<(Phase, bool), Times>,
    pub sent: u64,
    pub late: u64,
    pub latest: Duration,
    pub refused: u64,
    /// Kept connections that ended as an RPC was written to them: it was sent once more, on a new one.
    pub crossed: u64,
    /// What got no whole answer from a balancer that ran all the while.
    pub lost: u64,
    pub loss_reasons: Vec<String>,
}

impl LoadStats {
    /// Why the machine did not keep the load, if it did not.
    pub fn overload_reason(&self) -> Option<String> {
        let share = self.late as f64 / (self.sent as f64).max(1.0);
        (share > MAX_LATE_SHARE).then(|| {
            let (late, sent, latest) = (self.late, self.sent, self.latest.as_millis());
            format!("the load was not kept: {late} of {sent} RPCs were sent late, by up to {latest} ms")
        })
    }
}

struct Shared {
    phase: AtomicUsize,
    /// Which balancer the tenants' RPCs go to.
    tenant_target: AtomicUsize,
    stop: AtomicBool,
    targets: Mutex<Vec<Target>>,
    stats: Mutex<LoadStats>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is asked all the while.
#[derive(Clone, Debug)]
struct Stream {
    /// None is an upstream, directly.
    balancer: Option<usize>,
    tenant: Option<usize>,
    rate: f64,
    /// In the phase of it.
    times: f64,
}

pub struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// How much is asked: RPCs a second at each balancer and directly, how many times that the first balancer and the direct way
/// get in the phase of it, and what each tenant asks for in all.
#[derive(Clone, Copy, Debug)]
pub struct LoadRates {
    pub each: f64,
    pub times: f64,
    pub tenants: usize,
    pub per_tenant: f64,
}

impl Load {
    pub fn start(direct: SocketAddr, balancers: &[SocketAddr], rates: LoadRates) -> Result<Self, String> {
        let target = |at: &SocketAddr| Target { at: Some(*at), generation: 1 };
        let shared = Arc::new(Shared {
            phase: AtomicUsize::new(0),
            tenant_target: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            targets: Mutex::new(balancers.iter().map(target).collect()),
            stats: Mutex::default(),
        });
        let mut streams = Vec::new();
        for n in 0..balancers.len() {
            let times = if n == 0 { rates.times } else { 1.0 };
            streams.push(Stream { balancer: Some(n), tenant: None, rate: rates.each, times });
        }
        if !balancers.is_empty() {
            streams.push(Stream { balancer: None, tenant: None, rate: rates.each, times: rates.times });
            for tenant in 0..rates.tenants {
                let (rate, tenant) = (rates.per_tenant, Some(tenant));
                streams.push(Stream { balancer: Some(0), tenant, rate, times: 1.0 });
            }
        }
        streams.retain(|stream| stream.rate > 0.0);
        let (schedule, mut scheduled) = unbounded_channel::<(usize, Instant, Phase)>();
        let (pacer_state, all) = (Arc::clone(&shared), streams.clone());
        let pacer = std::thread::spawn(move || pace(&pacer_state, &all, &schedule));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let request = Arc::clone(&shared);
        let sender = std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let callers = Rc::new(Sender {
                    shared: request,
                    direct,
                    streams,
                    idle: RefCell::default(),
                    connection_limits: RefCell::default(),
                });
                let mut number = 0u64;
                while let Some((stream, due, phase)) = scheduled.recv().await {
                    number += 1;
                    spawn_local(Rc::clone(&callers).call(stream, due, phase, number));
                }
            });
        });
        Ok(Load { shared, threads: vec![pacer, sender] })
    }

    pub fn set_phase(&self, phase: Phase) {
        self.shared.phase.store(phase as usize, Ordering::Relaxed);
    }

    /// The tenants' RPCs go to the next balancer.
    pub fn rotate_tenant_target(&self) {
        self.shared.tenant_target.fetch_add(1, Ordering::Relaxed);
    }

    /// Nothing is asked of it from here on, and what is open there may be lost with it.
    pub fn remove_balancer(&self, balancer: usize) {
        lock(&self.shared.targets)[balancer].at = None;
    }

    /// It serves, anew or again.
    pub fn add_balancer(&self, balancer: usize, at: SocketAddr) {
        let target = &mut lock(&self.shared.targets)[balancer];
        *target = Target { at: Some(at), generation: target.generation + 1 };
    }

    pub fn with_stats<T>(&self, look: impl FnOnce(&LoadStats) -> T) -> T {
        look(&lock(&self.shared.stats))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Says when each RPC is due; the times between two are drawn, as those of many callers are.
fn pace(shared: &Shared, streams: &[Stream], schedule: &UnboundedSender<(usize, Instant, Phase)>) {
    use rand::{RngExt as _, SeedableRng as _};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut wait = |stream: &Stream, phase: Phase| {
        let rate = stream.rate * if phase == Phase::Times { stream.times } else { 1.0 };
        let part: f64 = rng.random();
        Duration::from_secs_f64(-(1.0 - part).ln() / rate)
    };
    let now = Instant::now();
    let first = streams.iter().enumerate().map(|(n, s)| Reverse((now + wait(s, Phase::Idle), n)));
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = first.collect();
    while let Some(Reverse((at, stream))) = due.pop() {
        let left = at.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            std::thread::sleep(left);
        }
        let phase = PHASES[shared.phase.load(Ordering::Relaxed)];
        if shared.stop.load(Ordering::Relaxed) || schedule.send((stream, at, phase)).is_err() {
            return;
        }
        due.push(Reverse((at + wait(&streams[stream], phase), stream)));
    }
}

struct Sender {
    shared: Arc<Shared>,
    direct: SocketAddr,
    streams: Vec<Stream>,
    /// Connections that stand idle, by where they go. Emptied as they end.
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    /// Room for connections, by where they go: as many as there were balancers, and as often as these began.
    connection_limits: RefCell<BTreeMap<SocketAddr, Rc<Semaphore>>>,
}

impl Sender {
    async fn call(self: Rc<Self>, stream: usize, due: Instant, phase: Phase, number: u64) {
        let (stream, late) = (&self.streams[stream], due.elapsed());
        let target = stream.balancer.map(|balancer| {
            let targets = lock(&self.shared.targets);
            let tenant_target = stream.tenant.map(|n| self.shared.tenant_target.load(Ordering::Relaxed) + n);
            let balancer = tenant_target.map_or(balancer, |tenant_target| tenant_target % targets.len());
            (balancer, targets[balancer])
        });
        let at = match target {
            Some((_, Target { at: Some(at), .. })) => at,
            // It is not there now: its callers have gone elsewhere.
            Some(_) => return,
            None => self.direct,
        };
        {
            let mut stats = lock(&self.shared.stats);
            stats.sent += 1;
            stats.late += u64::from(late > LATE_THRESHOLD);
            stats.latest = stats.latest.max(late);
        }
        let owner = stream.tenant.map(|n| (format!("{TENANT}{n}."), format!("Req-Owner: {TENANT}{n}\r\n")));
        let (id, owner) = owner.unwrap_or(("r".to_owned(), String::new()));
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}{number}\r\nReq-Kind: look\r\nReq-Deadline-Ms: 3000\r\n{owner}\r\n"
        );
        let answered = self.send(at, request.as_bytes()).await;
        let took = due.elapsed();
        let mut stats = lock(&self.shared.stats);
        match answered {
            Ok(200) => {
                // Only the first one gets more in the one phase, and a new list in the other.
                let of_first = matches!(phase, Phase::Times | Phase::UpstreamList);
                let counts = !of_first || stream.balancer.is_none_or(|n| n == 0);
                if phase != Phase::Idle && stream.tenant.is_none() && counts {
                    let new = || Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits will do"));
                    let times = stats.times.entry((phase, target.is_some())).or_insert_with(new);
                    // Grows by itself.
                    let _ = times.record(took.as_micros() as u64);
                }
            }
            Ok(503) => stats.refused += 1,
            other => {
                let Some((balancer, before)) = target else { return };
                let now = lock(&self.shared.targets)[balancer];
                if now.generation == before.generation && now.at.is_some() {
                    stats.lost += 1;
                    if stats.loss_reasons.len() < 5 {
                        let after = took.as_millis();
                        stats.loss_reasons.push(format!("balancer {balancer}: {other:?} after {after} ms"));
                    }
                }
            }
        }
    }

    /// The status of an answer. A kept connection that ends as it is written to is no loss: it is sent on a new one.
    async fn send(&self, at: SocketAddr, request: &[u8]) -> std::io::Result<u16> {
        let new = || Rc::new(Semaphore::new(MAX_CONNECTIONS));
        let connection_limits = Rc::clone(self.connection_limits.borrow_mut().entry(at).or_insert_with(new));
        // It is never closed.
        let _place = connection_limits.acquire().await.map_err(std::io::Error::other)?;
        let idle = self.idle.borrow_mut().get_mut(&at).and_then(Vec::pop);
        if let Some(peer) = idle {
            if let Ok(status) = self.exchange(at, peer, request).await {
                return Ok(status);
            }
            lock(&self.shared.stats).crossed += 1;
        }
        let peer = Connection::new(TcpStream::connect(at).await?);
        self.exchange(at, peer, request).await
    }

    async fn exchange(&self, at: SocketAddr, mut peer: Connection, request: &[u8]) -> std::io::Result<u16> {
        let exchange = async {
            peer.write(request).await?;
            peer.read().await
        };
        let answer = timeout(ANSWER_TIMEOUT, exchange).await??.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if !answer.closes_connection() {
            self.idle.borrow_mut().entry(at).or_default().push(peer);
        }
        Ok(answer.status())
    }
}
