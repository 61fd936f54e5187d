//! Rolling restart of several balancer processes while an upstream hangs and callers reconnect at once. Checks the answers that
//! callers got and the RPCs that upstreams ran.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{ok, read_message, rpc_head, run, start_stub, wait_until, Reply, StubServer};
use process::{temp_dir, Program};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const BALANCERS: usize = 3;
const CALLERS: usize = 12;

/// The time for which callers still open connections to a balancer after its SIGTERM.
const NOTICE: Duration = Duration::from_millis(300);

/// The longest deadline and 0.7 s more, after which the platform kills the process.
const KILL_AFTER: Duration = Duration::from_millis(1700);

/// The address of each balancer, or none while callers do not use it.
type Addresses = Rc<RefCell<Vec<Option<SocketAddr>>>>;

#[derive(Default)]
struct CallerResults {
    stop: Cell<bool>,
    running: Cell<usize>,
    by_status: RefCell<BTreeMap<u16, usize>>,
    /// Connections that were closed as an RPC was written to them; it is sent once more, as callers do.
    closed_while_writing: Cell<usize>,
    lost: RefCell<Vec<String>>,
}

async fn call(results: Rc<CallerResults>, addresses: Addresses, caller: usize) {
    let mut kept: Option<TcpStream> = None;
    for n in caller.. {
        if results.stop.get() {
            break;
        }
        let (verb, path, more) =
            if n % 2 == 0 { ("GET", "/look", "") } else { ("POST", "/pay", "Content-Length: 0\r\n") };
        let bytes = rpc_head(verb, path, more).replace("Ms: 4000", "Ms: 1000");
        let reused = kept.is_some();
        let stream = match kept.take() {
            Some(stream) => Some(stream),
            None => {
                let at = addresses.borrow()[n % BALANCERS];
                match at {
                    // A refused connection has lost no RPC.
                    Some(at) => TcpStream::connect(at).await.ok(),
                    None => None,
                }
            }
        };
        let Some(mut stream) = stream else {
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        let answer = match stream.write_all(bytes.as_bytes()).await {
            Ok(()) => timeout(Duration::from_millis(1900), read_message(&mut stream)).await.ok().flatten(),
            Err(_) => None,
        };
        match answer {
            Some(answer) => {
                *results.by_status.borrow_mut().entry(answer.status()).or_default() += 1;
                kept = (!answer.closes_connection()).then_some(stream);
            }
            None if reused => results.closed_while_writing.set(results.closed_while_writing.get() + 1),
            None => results.lost.borrow_mut().push(bytes),
        }
    }
    results.running.set(results.running.get() - 1);
}

fn config(upstreams: &[Rc<StubServer>], discovery: SocketAddr, hard: &str) -> String {
    let at: Vec<SocketAddr> = upstreams.iter().map(|up| up.address).collect();
    let hard = format!(r#""hard-deadline-s":{hard}"#);
    let changes = [
        (r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":0.4"#),
        (r#""hard-deadline-s":6.0"#, hard.as_str()),
    ];
    common::config_json(&at, discovery, &changes)
}

/// Guards against RPCs that a restart loses: accepted and not answered, answered with another status than 200, 502 or 503, or run
/// twice.
#[test]
fn rolling_restart_during_upstream_hang_loses_no_rpcs() {
    run(async {
        let hangs = Rc::new(Cell::new(false));
        let mut upstreams = Vec::new();
        for n in 0..4 {
            let hangs = Rc::clone(&hangs);
            let script = move |_: usize, message: &fernroute_test_support::http::Message| match n == 0
                && hangs.get()
            {
                true => Reply::NoReply,
                false => ok(message.header("req-id").unwrap_or("")),
            };
            upstreams.push(start_stub(script).await);
        }
        let discovery = start_stub(|_, _| Reply::NoReply).await;
        let text = config(&upstreams, discovery.address, "1.0");
        let mut programs = Vec::new();
        for n in 0..BALANCERS {
            programs.push(Program::start(&temp_dir(&format!("rolling-{n}")), &text).await);
        }
        let addresses: Addresses = Rc::new(RefCell::new(programs.iter().map(|p| Some(p.address)).collect()));
        let results = Rc::new(CallerResults { running: Cell::new(CALLERS), ..CallerResults::default() });
        for caller in 0..CALLERS {
            spawn_local(call(Rc::clone(&results), Rc::clone(&addresses), caller));
        }
        // Kept running until the end of the test.
        let mut restarted = Vec::new();
        let answered = |results: &CallerResults| results.by_status.borrow().values().sum::<usize>();
        for (n, program) in programs.into_iter().enumerate() {
            let goal = answered(&results) + 100;
            wait_until(|| answered(&results) >= goal).await;
            hangs.set(true);
            if n == 1 {
                // New RPCs get shorter deadlines, while open ones have longer ones.
                program.reload(&config(&upstreams, discovery.address, "0.5"));
                wait_until(|| program.log_contains("new settings")).await;
            }
            program.terminate();
            sleep(NOTICE).await;
            addresses.borrow_mut()[n] = None;
            // A second SIGTERM has no effect.
            program.terminate();
            if timeout(KILL_AFTER - NOTICE, async { wait_until(|| !program.is_running()).await })
                .await
                .is_err()
            {
                program.kill();
            }
            hangs.set(false);
            let restarted_program = Program::start(&temp_dir(&format!("rolling-again-{n}")), &text).await;
            addresses.borrow_mut()[n] = Some(restarted_program.address);
            restarted.push(restarted_program);
        }
        let goal = answered(&results) + 100;
        wait_until(|| answered(&results) >= goal).await;
        results.stop.set(true);
        wait_until(|| results.running.get() == 0).await;
        assert!(results.lost.borrow().is_empty(), "{:?}", results.lost.borrow());
        let mut ran: BTreeMap<String, usize> = BTreeMap::new();
        for up in &upstreams {
            for message in up.received.borrow().iter().filter(|m| m.target == "/pay") {
                *ran.entry(message.header("req-id").unwrap_or("").to_owned()).or_insert(0) += 1;
            }
        }
        assert!(ran.len() > 50, "{}", ran.len());
        ran.retain(|_, times| *times > 1);
        assert!(ran.is_empty(), "{ran:?}");
        let by_status = results.by_status.borrow();
        assert!(by_status.keys().all(|status| [200, 502, 503].contains(status)), "{by_status:?}");
        // Most RPCs are served; only attempts at the hanging upstream fail.
        let served = by_status.get(&200).copied().unwrap_or(0);
        assert!(served * 10 >= answered(&results) * 9, "{by_status:?}");
    });
}

/// Guards against a SIGTERM that is mishandled during the start, during a reload, or when repeated. RPCs accepted before it are
/// answered.
#[test]
fn sigterm_during_start_or_reload_exits_cleanly() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let discovery = start_stub(|_, _| Reply::NoReply).await;
        let upstreams = [Rc::clone(&up)];
        let text = config(&upstreams, discovery.address, "0.5");
        let starts = temp_dir("starts");
        let starting = Program::launch(&starts, &text, Some(&starts)).await;
        starting.terminate();
        starting.exits_cleanly().await;
        let reads = temp_dir("reads");
        let reading = Program::start(&reads, &text).await;
        // The open RPC gets a final answer although its upstream never answers.
        let mut open =
            common::send(reading.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 9000")).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        reading.reload(&config(&upstreams, discovery.address, "1.0"));
        reading.terminate();
        reading.reload("no page at all");
        reading.terminate();
        assert_eq!(read_message(&mut open).await.expect("read the answer").status(), 502);
        drop(open);
        reading.exits_cleanly().await;
    });
}
