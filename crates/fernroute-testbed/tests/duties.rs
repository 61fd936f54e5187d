//! Real balancers and coordinators on loopback under faults, with duties that one balancer at a time
//! holds. An independent observer asks all balancers, by one clock, which duties they act on.

use fernroute_coordinator::configuration::RequestError;
use fernroute_coordinator::duties::{DutiesStatus, NOTE_PATH, STATUS_PATH};
use fernroute_coordinator::peers::Peers;
use fernroute_test_support::caller::request_status;
use fernroute_test_support::http::read_message;
use fernroute_test_support::link::LinkMode;
use fernroute_testbed::processes::{Fleet, FleetConfig};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Matches the coordinators' files.
const LEASE: Duration = Duration::from_secs(2);

/// Interval between two queries of a balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let end = LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(100), test).await });
    end.expect("the test ends");
}

/// A balancer's statement that it holds a duty under a term, made at some moment between `asked` and
/// `heard`.
#[derive(Clone, Debug)]
struct Statement {
    balancer: usize,
    duty: String,
    term: u64,
    asked: Instant,
    heard: Instant,
}

/// Queries all balancers until dropped.
struct Observer {
    statements: Rc<RefCell<Vec<Statement>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Observer {
    fn new(fleet: &Fleet) -> Self {
        let statements: Rc<RefCell<Vec<Statement>>> = Rc::default();
        let watch = |(balancer, ops_address): (usize, &SocketAddr)| {
            spawn_local(watch(balancer, *ops_address, Rc::clone(&statements)))
        };
        let tasks = fleet.ops_addresses.iter().enumerate().map(watch).collect();
        Observer { statements, tasks }
    }

    /// The last statement on a duty that was asked for after this moment.
    fn holder_since(&self, duty: &str, since: Instant) -> Option<Statement> {
        let statements = self.statements.borrow();
        statements.iter().rev().find(|s| s.duty == duty && s.asked > since).cloned()
    }

    /// Waits for the first statement on a duty after this moment by another balancer.
    async fn next_holder(&self, duty: &str, since: Instant, excluded: usize) -> Statement {
        loop {
            let found = self
                .statements
                .borrow()
                .iter()
                .find(|s| s.duty == duty && s.asked > since && s.balancer != excluded)
                .cloned();
            if let Some(statement) = found {
                return statement;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn holder(&self, duty: &str) -> Statement {
        self.next_holder(duty, Instant::now(), usize::MAX).await
    }

    /// Describes a contradiction to one holder at a time, if any: a lower term used after a higher one
    /// was seen, or one term of two balancers.
    fn violation(&self) -> Option<String> {
        let mut terms: BTreeMap<(&str, u64), (usize, Instant, Instant)> = BTreeMap::new();
        let statements = self.statements.borrow();
        for s in statements.iter() {
            let (balancer, last_asked, first_heard) =
                terms.entry((&s.duty, s.term)).or_insert((s.balancer, s.asked, s.heard));
            if *balancer != s.balancer {
                return Some(format!(
                    "{} term {} is held by b{balancer} and by b{}",
                    s.duty, s.term, s.balancer
                ));
            }
            *last_asked = (*last_asked).max(s.asked);
            *first_heard = (*first_heard).min(s.heard);
        }
        for ((duty, term), (balancer, last_asked, _)) in &terms {
            for ((other, later), (next, _, first_heard)) in terms.range((*duty, *term + 1)..) {
                if other == duty && last_asked > first_heard {
                    return Some(format!(
                        "{duty}: b{balancer} acted on term {term} after b{next} had {later}"
                    ));
                }
            }
        }
        None
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn watch(balancer: usize, ops_address: SocketAddr, statements: Rc<RefCell<Vec<Statement>>>) {
    loop {
        let asked = Instant::now();
        let terms =
            timeout(Duration::from_secs(30), terms(ops_address)).await.ok().flatten().unwrap_or_default();
        let heard = Instant::now();
        let statement = |(duty, term)| Statement { balancer, duty, term, asked, heard };
        statements.borrow_mut().extend(terms.into_iter().map(statement));
        sleep(POLL_INTERVAL).await;
    }
}

/// The duties and terms that a balancer's operations server reports as held.
async fn terms(ops_address: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let mut stream = TcpStream::connect(ops_address).await.ok()?;
    stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: b\r\n\r\n").await.ok()?;
    let answer = read_message(&mut stream).await?;
    let figures: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let duties = figures["fleet"]["duties"].as_object()?;
    duties.iter().map(|(duty, held)| Some((duty.clone(), held["term"].as_u64()?))).collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("d{n}")).collect()
}

async fn start(name: &str, coordinators: usize, balancers: usize, duties: usize) -> (Fleet, Observer) {
    let folder = std::env::temp_dir().join(format!("fernroute-duties-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_fernroute-testbed"));
    let config = FleetConfig { duties: names(duties), ..FleetConfig::new(coordinators, balancers, 120) };
    let fleet = Fleet::start(program, folder, config).await.expect("the process starts");
    let observer = Observer::new(&fleet);
    (fleet, observer)
}

/// Sends a request to the leader, retrying until one answers.
async fn request_leader<A: serde::de::DeserializeOwned>(
    fleet: &Fleet,
    path: &str,
    message: &impl serde::Serialize,
) -> Result<A, RequestError> {
    let peers = Peers::new("c", &[]);
    loop {
        for at in &fleet.coordinator_addresses {
            let reply: Result<Result<A, RequestError>, String> =
                peers.send(&at.to_string(), path, 0, message, REQUEST_TIMEOUT).await;
            match reply {
                Ok(Err(RequestError::NotLeader(_))) | Err(_) => {}
                Ok(reply) => return reply,
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn note(fleet: &Fleet, duty: &str, term: u64) -> Result<(), RequestError> {
    let note =
        fernroute_fleet::duties::table::DutyNote { duty: duty.to_owned(), term, text: "at work".to_owned() };
    request_leader(fleet, NOTE_PATH, &note).await
}

/// Guards against a duty that stays with a dead balancer, and against one without a holder for a lease
/// after a drain.
#[test]
fn a_duty_moves_after_a_kill_and_at_once_after_a_drain() {
    run(async {
        let (mut fleet, observer) = start("killed", 3, 3, 1).await;
        let first = observer.holder("d0").await;
        let killed = Instant::now();
        fleet.balancers[first.balancer].kill();
        let second = observer.next_holder("d0", killed, first.balancer).await;
        let gap = second.heard - killed;
        assert!(gap <= LEASE * 3 / 2, "{gap:?} without a holder after a kill");
        fleet.start_balancer(first.balancer).await.expect("the balancer starts");
        let drained = Instant::now();
        assert_eq!(request_status(fleet.ops_addresses[second.balancer], "POST", "/-/drain").await, 200);
        let third = observer.next_holder("d0", drained, second.balancer).await;
        let gap = third.heard - drained;
        assert!(gap <= LEASE / 2, "{gap:?} without a holder after a drain");
        println!("without a holder: {:?} after a kill, {gap:?} after a drain", second.heard - killed);
        assert!(first.term < second.term && second.term < third.term);
        let status: DutiesStatus =
            request_leader(&fleet, STATUS_PATH, &()).await.expect("the leader answers");
        assert_eq!(
            status.duties[0].holder.as_ref().map(|holder| holder.term),
            Some(third.term),
            "{status:?}"
        );
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against a holder that is stopped and acts under its old term when it continues.
#[test]
fn a_stopped_holder_is_replaced_and_its_old_term_is_rejected() {
    run(async {
        let (fleet, observer) = start("stopped", 3, 3, 1).await;
        let first = observer.holder("d0").await;
        assert_eq!(note(&fleet, "d0", first.term).await, Ok(()));
        let stopped = Instant::now();
        fleet.balancers[first.balancer].pause();
        let second = observer.next_holder("d0", stopped, first.balancer).await;
        // For longer than two leases; the next holder is stopped, too.
        sleep((LEASE * 2).saturating_sub(stopped.elapsed())).await;
        fleet.balancers[second.balancer].pause();
        let third = observer.next_holder("d0", Instant::now(), second.balancer).await;
        fleet.balancers[first.balancer].resume();
        fleet.balancers[second.balancer].resume();
        let refused = note(&fleet, "d0", first.term).await;
        assert!(matches!(refused, Err(RequestError::Rejected(_))), "{refused:?}");
        assert!(matches!(note(&fleet, "d0", second.term).await, Err(RequestError::Rejected(_))));
        assert_eq!(note(&fleet, "d0", third.term).await, Ok(()));
        sleep(LEASE / 2).await;
        let now = observer.holder("d0").await;
        assert_eq!((now.balancer, now.term), (third.balancer, third.term));
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against a holder that continues although only one direction of its connection works.
#[test]
fn a_holder_cut_off_in_one_direction_stops_and_another_takes_over() {
    for (name, there, back) in
        [("unheard", LinkMode::Stall, LinkMode::Forward), ("unanswered", LinkMode::Forward, LinkMode::Stall)]
    {
        run(async move {
            let (fleet, observer) = start(name, 3, 3, 1).await;
            let first = observer.holder("d0").await;
            let cut = Instant::now();
            fleet.balancer_links[first.balancer].iter().for_each(|link| link.set_modes(there, back));
            let second = observer.next_holder("d0", cut, first.balancer).await;
            let gap = second.heard - cut;
            println!("{name}: {gap:?} until another balancer holds it");
            // A balancer whose requests still arrive keeps the duty for up to half a lease longer.
            assert!(gap <= LEASE * 7 / 4, "{name}: {gap:?}");
            fleet.balancer_links[first.balancer].iter().for_each(|link| link.restore());
            observer.holder("d0").await;
            assert_eq!(observer.violation(), None);
        });
    }
}

/// Guards against two holders when the leader is killed while it assigns a duty, and against terms that
/// restart from the beginning after all coordinators restart.
#[test]
fn no_term_is_assigned_twice_after_a_leader_kill_and_a_restart_of_all_coordinators() {
    run(async {
        let (mut fleet, observer) = start("leader", 3, 3, 2).await;
        let first = observer.holder("d0").await;
        let killed = Instant::now();
        fleet.balancers[first.balancer].kill();
        // Its lease expires about now.
        sleep(LEASE + Duration::from_millis(20)).await;
        let leader = fleet.leader().await;
        fleet.coordinators[leader].kill();
        let second = observer.next_holder("d0", killed, first.balancer).await;
        assert!(second.term > first.term);
        fleet.start_coordinator(leader).expect("the process starts");
        fleet.start_balancer(first.balancer).await.expect("the balancer starts");
        for n in 0..fleet.coordinators.len() {
            fleet.coordinators[n].kill();
        }
        for n in 0..fleet.coordinators.len() {
            fleet.start_coordinator(n).expect("the process starts");
        }
        let again = Instant::now();
        observer.next_holder("d0", again, usize::MAX).await;
        fleet.balancers[second.balancer].kill();
        let third = observer.next_holder("d0", Instant::now(), second.balancer).await;
        assert!(third.term > second.term);
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against a holder that continues while there is no majority to decide who holds a duty.
#[test]
fn without_a_majority_for_a_lease_no_duty_has_a_holder() {
    run(async {
        let (mut fleet, observer) = start("majority", 3, 3, 3).await;
        for duty in names(3) {
            observer.holder(&duty).await;
        }
        let leader = fleet.leader().await;
        let lost = [leader, (leader + 1) % 3];
        lost.iter().for_each(|n| fleet.coordinators[*n].kill());
        sleep(LEASE).await;
        let since = Instant::now();
        sleep(LEASE / 2).await;
        for duty in names(3) {
            assert!(observer.holder_since(&duty, since).is_none(), "{duty} still has a holder");
        }
        lost.iter().for_each(|n| fleet.start_coordinator(*n).expect("the process starts"));
        for duty in names(3) {
            observer.holder(&duty).await;
        }
        assert_eq!(observer.violation(), None);
    });
}

/// Random faults, with the same seed in every run, for cases that the tests above do not cover.
#[test]
fn forty_duties_over_twelve_balancers_under_faults_by_chance_have_one_holder_each() {
    const BALANCERS: usize = 12;
    const DUTIES: usize = 40;
    const FAULTS_FOR: Duration = Duration::from_secs(30);
    run(async {
        let (mut fleet, observer) = start("many", 3, BALANCERS, DUTIES).await;
        for duty in names(DUTIES) {
            observer.holder(&duty).await;
        }
        // Duties are spread: a fair share is three or four.
        let status: DutiesStatus =
            request_leader(&fleet, STATUS_PATH, &()).await.expect("the leader answers");
        let mut held: BTreeMap<String, usize> = BTreeMap::new();
        for holder in status.duties.iter().filter_map(|line| line.holder.as_ref()) {
            *held.entry(holder.name.clone()).or_insert(0) += 1;
        }
        assert!(held.len() == BALANCERS && held.values().all(|count| *count <= 8), "{held:?}");
        let mut rng = nanorand::WyRand::new_seed(7);
        let from = Instant::now();
        while from.elapsed() < FAULTS_FOR {
            inject_random_fault(&mut fleet, &mut rng).await;
        }
        fleet.heal();
        for n in 0..BALANCERS {
            assert_eq!(request_status(fleet.ops_addresses[n], "POST", "/-/resume").await, 200);
        }
        for duty in names(DUTIES) {
            observer.holder(&duty).await;
        }
        assert_eq!(observer.violation(), None);
        assert!(observer.statements.borrow().len() > 1_000);
    });
}

/// Injects one random fault and ends it.
async fn inject_random_fault(fleet: &mut Fleet, rng: &mut nanorand::WyRand) {
    use nanorand::Rng as _;
    let n = rng.generate_range(0..fleet.balancers.len());
    let duration_ms = rng.generate_range(200..3_500);
    let duration = Duration::from_millis(duration_ms);
    match rng.generate_range(0..6u8) {
        0 => {
            fleet.balancers[n].kill();
            sleep(duration).await;
            fleet.start_balancer(n).await.expect("the balancer starts");
        }
        1 => {
            fleet.balancers[n].pause();
            sleep(duration).await;
            fleet.balancers[n].resume();
        }
        2 => {
            fleet.balancer_links[n]
                .iter()
                .for_each(|link| link.set_modes(LinkMode::Stall, LinkMode::Forward));
            sleep(duration).await;
            fleet.balancer_links[n].iter().for_each(|link| link.restore());
        }
        3 => {
            fleet.balancer_links[n]
                .iter()
                .for_each(|link| link.set_modes(LinkMode::Forward, LinkMode::Delay(duration / 4)));
            sleep(duration).await;
            fleet.balancer_links[n].iter().for_each(|link| link.restore());
        }
        4 => {
            let leader = fleet.leader().await;
            fleet.coordinators[leader].kill();
            sleep(duration / 2).await;
            fleet.start_coordinator(leader).expect("the process starts");
        }
        _ => {
            request_status(fleet.ops_addresses[n], "POST", "/-/drain").await;
            sleep(duration / 2).await;
            request_status(fleet.ops_addresses[n], "POST", "/-/resume").await;
        }
    }
}
