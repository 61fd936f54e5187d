//! Real balancers and real stewards on loopback, duties that one balancer alone holds, and faults between them. An observer that
//! is no part of what decides asks all balancers, by one clock, what they act on.

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

/// As the stewards' files say it.
const LEASE: Duration = Duration::from_secs(2);

/// How often each balancer is asked what it acts on.
const LOOK: Duration = Duration::from_millis(15);

const WITHIN: Duration = Duration::from_secs(1);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let end = LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(100), test).await });
    end.expect("the test ends");
}

/// «I act as holder of this duty, under this term», said at some moment between the two.
#[derive(Clone, Debug)]
struct Statement {
    balancer: usize,
    duty: String,
    term: u64,
    asked: Instant,
    heard: Instant,
}

/// Asks all balancers for as long as it is there.
struct Observer {
    said: Rc<RefCell<Vec<Statement>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Observer {
    fn new(fleet: &Fleet) -> Self {
        let said: Rc<RefCell<Vec<Statement>>> = Rc::default();
        let watch =
            |(balancer, door): (usize, &SocketAddr)| spawn_local(watch(balancer, *door, Rc::clone(&said)));
        let tasks = fleet.ops_addresses.iter().enumerate().map(watch).collect();
        Observer { said, tasks }
    }

    /// Who said last that it acts on a duty, in a statement asked for after this moment.
    fn holder_since(&self, duty: &str, since: Instant) -> Option<Statement> {
        let said = self.said.borrow();
        said.iter().rev().find(|s| s.duty == duty && s.asked > since).cloned()
    }

    /// The first one to act on a duty after this moment that is not this balancer.
    async fn next_holder(&self, duty: &str, since: Instant, not: usize) -> Statement {
        loop {
            let found = self
                .said
                .borrow()
                .iter()
                .find(|s| s.duty == duty && s.asked > since && s.balancer != not)
                .cloned();
            if let Some(statement) = found {
                return statement;
            }
            sleep(LOOK).await;
        }
    }

    async fn holder(&self, duty: &str) -> Statement {
        self.next_holder(duty, Instant::now(), usize::MAX).await
    }

    /// What contradicts one holder at a time: a lower term acted on after a higher one was seen, or a term of two balancers.
    fn violation(&self) -> Option<String> {
        let mut terms: BTreeMap<(&str, u64), (usize, Instant, Instant)> = BTreeMap::new();
        let said = self.said.borrow();
        for s in said.iter() {
            let (balancer, last_asked, first_heard) =
                terms.entry((&s.duty, s.term)).or_insert((s.balancer, s.asked, s.heard));
            if *balancer != s.balancer {
                return Some(format!(
                    "{} term {} is that of b{balancer} and of b{}",
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

async fn watch(balancer: usize, door: SocketAddr, said: Rc<RefCell<Vec<Statement>>>) {
    loop {
        let asked = Instant::now();
        let terms = timeout(Duration::from_secs(30), terms(door)).await.ok().flatten().unwrap_or_default();
        let heard = Instant::now();
        let statement = |(duty, term)| Statement { balancer, duty, term, asked, heard };
        said.borrow_mut().extend(terms.into_iter().map(statement));
        sleep(LOOK).await;
    }
}

/// What a balancer says at its operators' door that it holds.
async fn terms(door: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let mut stream = TcpStream::connect(door).await.ok()?;
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
    let fleet = Fleet::start(program, folder, config).await.expect("it starts");
    let observer = Observer::new(&fleet);
    (fleet, observer)
}

/// What the leading steward answers, once one does.
async fn ask<A: serde::de::DeserializeOwned>(
    fleet: &Fleet,
    path: &str,
    what: &impl serde::Serialize,
) -> Result<A, RequestError> {
    let peers = Peers::new("c", &[]);
    loop {
        for at in &fleet.coordinator_addresses {
            let said: Result<Result<A, RequestError>, String> =
                peers.send(&at.to_string(), path, 0, what, WITHIN).await;
            match said {
                Ok(Err(RequestError::NotLeader(_))) | Err(_) => {}
                Ok(said) => return said,
            }
        }
        sleep(LOOK).await;
    }
}

async fn note(fleet: &Fleet, duty: &str, term: u64) -> Result<(), RequestError> {
    let note =
        fernroute_fleet::duties::table::DutyNote { duty: duty.to_owned(), term, text: "at work".to_owned() };
    ask(fleet, NOTE_PATH, &note).await
}

/// Guards against a duty that stays with the dead, and against one that a drain leaves to nobody for as long as a lease.
#[test]
fn a_duty_goes_on_from_a_killed_holder_and_at_once_from_one_that_drains() {
    run(async {
        let (mut fleet, observer) = start("killed", 3, 3, 1).await;
        let first = observer.holder("d0").await;
        let killed = Instant::now();
        fleet.balancers[first.balancer].kill();
        let second = observer.next_holder("d0", killed, first.balancer).await;
        let without = second.heard - killed;
        assert!(without <= LEASE * 3 / 2, "{without:?} without a holder after a death");
        fleet.start_balancer(first.balancer).await.expect("it serves");
        let drained = Instant::now();
        assert_eq!(request_status(fleet.ops_addresses[second.balancer], "POST", "/-/drain").await, 200);
        let third = observer.next_holder("d0", drained, second.balancer).await;
        let without = third.heard - drained;
        assert!(without <= LEASE / 2, "{without:?} without a holder after a drain");
        println!("without a holder: {:?} after a death, {without:?} after a drain", second.heard - killed);
        assert!(first.term < second.term && second.term < third.term);
        let status: DutiesStatus = ask(&fleet, STATUS_PATH, &()).await.expect("the leader's word");
        assert_eq!(
            status.duties[0].holder.as_ref().map(|holder| holder.term),
            Some(third.term),
            "{status:?}"
        );
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against a holder that stood still, and orders something under its old term as it wakes.
#[test]
fn a_stopped_holder_is_followed_and_its_old_term_orders_nothing() {
    run(async {
        let (fleet, observer) = start("stopped", 3, 3, 1).await;
        let first = observer.holder("d0").await;
        assert_eq!(note(&fleet, "d0", first.term).await, Ok(()));
        let stopped = Instant::now();
        fleet.balancers[first.balancer].pause();
        let second = observer.next_holder("d0", stopped, first.balancer).await;
        // For longer than two leases; whoever followed is stopped, too.
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

/// Guards against a holder that goes on because it is heard and hears nothing, or the other way round.
#[test]
fn a_holder_that_is_cut_off_one_way_stops_and_another_follows() {
    for (name, there, back) in
        [("unheard", LinkMode::Stall, LinkMode::Forward), ("unanswered", LinkMode::Forward, LinkMode::Stall)]
    {
        run(async move {
            let (fleet, observer) = start(name, 3, 3, 1).await;
            let first = observer.holder("d0").await;
            let cut = Instant::now();
            fleet.balancer_links[first.balancer].iter().for_each(|link| link.set_modes(there, back));
            let second = observer.next_holder("d0", cut, first.balancer).await;
            let without = second.heard - cut;
            println!("{name}: {without:?} until another one holds it");
            // One that is heard of is told of its duty for half a lease more.
            assert!(without <= LEASE * 7 / 4, "{name}: {without:?}");
            fleet.balancer_links[first.balancer].iter().for_each(|link| link.restore());
            observer.holder("d0").await;
            assert_eq!(observer.violation(), None);
        });
    }
}

/// Guards against two holders as the leader is killed just when it gives a duty away, and against terms that begin anew when
/// all stewards do.
#[test]
fn a_leader_killed_as_a_duty_is_given_and_all_coordinators_restarted_give_no_term_twice() {
    run(async {
        let (mut fleet, observer) = start("leader", 3, 3, 2).await;
        let first = observer.holder("d0").await;
        let killed = Instant::now();
        fleet.balancers[first.balancer].kill();
        // Its lease lapses about now.
        sleep(LEASE + Duration::from_millis(20)).await;
        let leader = fleet.leader().await;
        fleet.coordinators[leader].kill();
        let second = observer.next_holder("d0", killed, first.balancer).await;
        assert!(second.term > first.term);
        fleet.start_coordinator(leader).expect("it starts");
        fleet.start_balancer(first.balancer).await.expect("it serves");
        for n in 0..fleet.coordinators.len() {
            fleet.coordinators[n].kill();
        }
        for n in 0..fleet.coordinators.len() {
            fleet.start_coordinator(n).expect("it starts");
        }
        let again = Instant::now();
        observer.next_holder("d0", again, usize::MAX).await;
        fleet.balancers[second.balancer].kill();
        let third = observer.next_holder("d0", Instant::now(), second.balancer).await;
        assert!(third.term > second.term);
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against a holder that goes on though the stewards can't know who holds what.
#[test]
fn without_a_majority_for_longer_than_a_lease_nobody_acts() {
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
            assert!(observer.holder_since(&duty, since).is_none(), "{duty} is acted on");
        }
        lost.iter().for_each(|n| fleet.start_coordinator(*n).expect("it starts"));
        for duty in names(3) {
            observer.holder(&duty).await;
        }
        assert_eq!(observer.violation(), None);
    });
}

/// Guards against whatever the tests above did not think of: faults by chance, the same ones every run.
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
        // Not all on one: the fair part is three or four.
        let status: DutiesStatus = ask(&fleet, STATUS_PATH, &()).await.expect("the leader's word");
        let mut held: BTreeMap<String, usize> = BTreeMap::new();
        for holder in status.duties.iter().filter_map(|line| line.holder.as_ref()) {
            *held.entry(holder.name.clone()).or_insert(0) += 1;
        }
        assert!(held.len() == BALANCERS && held.values().all(|count| *count <= 8), "{held:?}");
        let mut chance = nanorand::WyRand::new_seed(7);
        let from = Instant::now();
        while from.elapsed() < FAULTS_FOR {
            fault(&mut fleet, &mut chance).await;
        }
        fleet.heal();
        for n in 0..BALANCERS {
            assert_eq!(request_status(fleet.ops_addresses[n], "POST", "/-/resume").await, 200);
        }
        for duty in names(DUTIES) {
            observer.holder(&duty).await;
        }
        assert_eq!(observer.violation(), None);
        assert!(observer.said.borrow().len() > 1_000);
    });
}

/// One fault, and its end.
async fn fault(fleet: &mut Fleet, chance: &mut nanorand::WyRand) {
    use nanorand::Rng as _;
    let n = chance.generate_range(0..fleet.balancers.len());
    let while_ms = chance.generate_range(200..3_500);
    let lasts = Duration::from_millis(while_ms);
    match chance.generate_range(0..6u8) {
        0 => {
            fleet.balancers[n].kill();
            sleep(lasts).await;
            fleet.start_balancer(n).await.expect("it serves");
        }
        1 => {
            fleet.balancers[n].pause();
            sleep(lasts).await;
            fleet.balancers[n].resume();
        }
        2 => {
            fleet.balancer_links[n]
                .iter()
                .for_each(|link| link.set_modes(LinkMode::Stall, LinkMode::Forward));
            sleep(lasts).await;
            fleet.balancer_links[n].iter().for_each(|link| link.restore());
        }
        3 => {
            fleet.balancer_links[n]
                .iter()
                .for_each(|link| link.set_modes(LinkMode::Forward, LinkMode::Delay(lasts / 4)));
            sleep(lasts).await;
            fleet.balancer_links[n].iter().for_each(|link| link.restore());
        }
        4 => {
            let leader = fleet.leader().await;
            fleet.coordinators[leader].kill();
            sleep(lasts / 2).await;
            fleet.start_coordinator(leader).expect("it starts");
        }
        _ => {
            request_status(fleet.ops_addresses[n], "POST", "/-/drain").await;
            sleep(lasts / 2).await;
            request_status(fleet.ops_addresses[n], "POST", "/-/resume").await;
        }
    }
}
