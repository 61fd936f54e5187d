//! Open-loop load: each RPC has a due time and its latency counts from there, however late it is sent or
//! answered. One thread schedules, another sends.

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

/// Phase of a run; an RPC counts for the phase in which it was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is recorded.
    Idle,
    Mean,
    Times,
    List,
    Division,
    Change,
}

const PHASES: [Phase; 6] =
    [Phase::Idle, Phase::Mean, Phase::Times, Phase::List, Phase::Division, Phase::Change];

impl Phase {
    pub fn name(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Mean => "mean",
            Phase::Times => "times",
            Phase::List => "list",
            Phase::Division => "division",
            Phase::Change => "change",
        }
    }
}

/// An RPC sent this long after it was due is late.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);
/// Share of RPCs that may be late.
const MAX_LATE_SHARE: f64 = 0.01;

/// Most connections to one address, below the balancer's limit on caller connections. RPCs beyond it
/// wait, and their time runs on. Guards against a stalled load that then sends everything at once and
/// has connections closed for lack of capacity.
const MAX_CONNECTIONS: usize = 256;

/// Longer than any deadline of these RPCs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Address of a balancer while it serves, and the number of times it started to serve.
#[derive(Clone, Copy, Debug, Default)]
struct Target {
    address: Option<SocketAddr>,
    generation: u64,
}

/// Latencies in microseconds.
pub type Times = Histogram<u64>;

#[derive(Debug, Default)]
pub struct LoadStats {
    /// By phase, and whether through a balancer (`true`) or directly.
    pub times: BTreeMap<(Phase, bool), Times>,
    pub sent: u64,
    pub late: u64,
    pub max_delay: Duration,
    pub refused: u64,
    /// Idle connections that ended as an RPC was written to them; the RPC was sent again on a new
    /// connection.
    pub crossed: u64,
    /// RPCs without a complete answer from a balancer that ran all the while.
    pub lost: u64,
    pub loss_reasons: Vec<String>,
}

impl LoadStats {
    /// The reason why the load was not sustained, if it was not.
    pub fn overload_reason(&self) -> Option<String> {
        let share = self.late as f64 / (self.sent as f64).max(1.0);
        (share > MAX_LATE_SHARE).then(|| {
            let (late, sent, max_delay) = (self.late, self.sent, self.max_delay.as_millis());
            format!("load not sustained: {late} of {sent} RPCs were sent late, by up to {max_delay} ms")
        })
    }
}

struct Shared {
    phase: AtomicUsize,
    /// Balancer that receives the tenants' RPCs.
    tenant_target: AtomicUsize,
    stopped: AtomicBool,
    targets: Mutex<Vec<Target>>,
    stats: Mutex<LoadStats>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stream of RPCs.
#[derive(Clone, Debug)]
struct Stream {
    /// `None` sends to an upstream directly.
    balancer: Option<usize>,
    tenant: Option<usize>,
    rate: f64,
    /// Rate multiplier during [`Phase::Times`].
    times: f64,
}

pub struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Rates of the load: RPCs per second at each balancer and directly, the multiplier of the first
/// balancer and of the direct stream in [`Phase::Times`], and the rate of each tenant.
#[derive(Clone, Copy, Debug)]
pub struct LoadRates {
    pub each: f64,
    pub times: f64,
    pub tenants: usize,
    pub per_tenant: f64,
}

impl Load {
    pub fn start(direct: SocketAddr, balancers: &[SocketAddr], rates: LoadRates) -> Result<Self, String> {
        let target = |at: &SocketAddr| Target { address: Some(*at), generation: 1 };
        let shared = Arc::new(Shared {
            phase: AtomicUsize::new(0),
            tenant_target: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
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
        let sender_state = Arc::clone(&shared);
        let sender = std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let rpc_sender = Rc::new(Sender {
                    shared: sender_state,
                    direct,
                    streams,
                    idle: RefCell::default(),
                    connection_limits: RefCell::default(),
                });
                let mut number = 0u64;
                while let Some((stream, due, phase)) = scheduled.recv().await {
                    number += 1;
                    spawn_local(Rc::clone(&rpc_sender).call(stream, due, phase, number));
                }
            });
        });
        Ok(Load { shared, threads: vec![pacer, sender] })
    }

    pub fn set_phase(&self, phase: Phase) {
        self.shared.phase.store(phase as usize, Ordering::Relaxed);
    }

    /// Sends the tenants' RPCs to the next balancer.
    pub fn rotate_tenant_target(&self) {
        self.shared.tenant_target.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops sending to a balancer; its open RPCs may be lost.
    pub fn remove_balancer(&self, balancer: usize) {
        lock(&self.shared.targets)[balancer].address = None;
    }

    /// Starts sending to a balancer that serves, after a start or a stop.
    pub fn add_balancer(&self, balancer: usize, at: SocketAddr) {
        let target = &mut lock(&self.shared.targets)[balancer];
        *target = Target { address: Some(at), generation: target.generation + 1 };
    }

    pub fn with_stats<T>(&self, read: impl FnOnce(&LoadStats) -> T) -> T {
        read(&lock(&self.shared.stats))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Schedules RPCs with exponential intervals, as from many independent callers.
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
        if shared.stopped.load(Ordering::Relaxed) || schedule.send((stream, at, phase)).is_err() {
            return;
        }
        due.push(Reverse((at + wait(&streams[stream], phase), stream)));
    }
}

struct Sender {
    shared: Arc<Shared>,
    direct: SocketAddr,
    streams: Vec<Stream>,
    /// Idle connections by address. Removed as they end.
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    /// Connection limits by address: at most one entry for each start of a balancer.
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
            Some((_, Target { address: Some(at), .. })) => at,
            // The balancer is down: its callers have moved elsewhere.
            Some(_) => return,
            None => self.direct,
        };
        {
            let mut stats = lock(&self.shared.stats);
            stats.sent += 1;
            stats.late += u64::from(late > LATE_THRESHOLD);
            stats.max_delay = stats.max_delay.max(late);
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
                // Only the first balancer gets more load in one phase and a new list in the other.
                let first_only = matches!(phase, Phase::Times | Phase::List);
                let counts = !first_only || stream.balancer.is_none_or(|n| n == 0);
                if phase != Phase::Idle && stream.tenant.is_none() && counts {
                    let new = || Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are valid"));
                    let times = stats.times.entry((phase, target.is_some())).or_insert_with(new);
                    // The histogram resizes automatically.
                    let _ = times.record(took.as_micros() as u64);
                }
            }
            Ok(503) => stats.refused += 1,
            other => {
                let Some((balancer, before)) = target else { return };
                let now = lock(&self.shared.targets)[balancer];
                if now.generation == before.generation && now.address.is_some() {
                    stats.lost += 1;
                    if stats.loss_reasons.len() < 5 {
                        let after = took.as_millis();
                        stats.loss_reasons.push(format!("balancer {balancer}: {other:?} after {after} ms"));
                    }
                }
            }
        }
    }

    /// Sends a request and returns the status of the answer. If an idle connection ends as it is written
    /// to, a new one is used, and this is no loss.
    async fn send(&self, at: SocketAddr, request: &[u8]) -> std::io::Result<u16> {
        let new = || Rc::new(Semaphore::new(MAX_CONNECTIONS));
        let limit = Rc::clone(self.connection_limits.borrow_mut().entry(at).or_insert_with(new));
        // The semaphore is never closed.
        let _permit = limit.acquire().await.map_err(std::io::Error::other)?;
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
