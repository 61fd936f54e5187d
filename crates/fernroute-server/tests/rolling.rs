//! Several real balancers are restarted one after another, as operators do it, while an upstream hangs just then and callers
//! come again at once. Judged by what callers got and what upstreams ran.

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

/// Clients send new connections to a balancer for so long after it was told to end.
const NOTICE: Duration = Duration::from_millis(300);

/// The longest deadline and 0.7 s more: then the platform kills.
const KILL: Duration = Duration::from_millis(1700);

/// Where each balancer is; none while nobody is sent there.
type Places = Rc<RefCell<Vec<Option<SocketAddr>>>>;

#[derive(Default)]
struct Seen {
    stop: Cell<bool>,
    running: Cell<usize>,
    by_status: RefCell<BTreeMap<u16, usize>>,
    /// Connections that were closed as an RPC was written to them; it is sent once more, as clients do.
    crossed: Cell<usize>,
    lost: RefCell<Vec<String>>,
}

async fn call(seen: Rc<Seen>, places: Places, caller: usize) {
    let mut kept: Option<TcpStream> = None;
    for n in caller.. {
        if seen.stop.get() {
            break;
        }
        let (verb, path, more) =
            if n % 2 == 0 { ("GET", "/look", "") } else { ("POST", "/pay", "Content-Length: 0\r\n") };
        let bytes = rpc_head(verb, path, more).replace("Ms: 4000", "Ms: 1000");
        let again = kept.is_some();
        let stream = match kept.take() {
            Some(stream) => Some(stream),
            None => {
                let at = places.borrow()[n % BALANCERS];
                match at {
                    // Refused: nobody has taken anything.
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
                *seen.by_status.borrow_mut().entry(answer.status()).or_default() += 1;
                kept = (!answer.closes_connection()).then_some(stream);
            }
            None if again => seen.crossed.set(seen.crossed.get() + 1),
            None => seen.lost.borrow_mut().push(bytes),
        }
    }
    seen.running.set(seen.running.get() - 1);
}

fn page(upstreams: &[Rc<StubServer>], discovery: SocketAddr, hard: &str) -> String {
    let at: Vec<SocketAddr> = upstreams.iter().map(|up| up.address).collect();
    let hard = format!(r#""hard-deadline-s":{hard}"#);
    let changes = [
        (r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":0.4"#),
        (r#""hard-deadline-s":6.0"#, hard.as_str()),
    ];
    common::config_json(&at, discovery, &changes)
}

/// Guards against an RPC that is lost to a restart: taken and not answered, answered by nobody's answer, or run twice.
#[test]
fn balancers_are_restarted_one_after_another_while_upstreams_hang() {
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
        let text = page(&upstreams, discovery.address, "1.0");
        let mut programs = Vec::new();
        for n in 0..BALANCERS {
            programs.push(Program::start(&temp_dir(&format!("rolling-{n}")), &text).await);
        }
        let places: Places = Rc::new(RefCell::new(programs.iter().map(|p| Some(p.address)).collect()));
        let seen = Rc::new(Seen { running: Cell::new(CALLERS), ..Seen::default() });
        for caller in 0..CALLERS {
            spawn_local(call(Rc::clone(&seen), Rc::clone(&places), caller));
        }
        // Kept to the end of the test, which ends them.
        let mut restarted = Vec::new();
        let answered = |seen: &Seen| seen.by_status.borrow().values().sum::<usize>();
        for (n, program) in programs.into_iter().enumerate() {
            let goal = answered(&seen) + 100;
            wait_until(|| answered(&seen) >= goal).await;
            hangs.set(true);
            if n == 1 {
                // Shorter deadlines from now on, while longer ones are open.
                program.reload(&page(&upstreams, discovery.address, "0.5"));
                wait_until(|| program.log_contains("new settings")).await;
            }
            program.terminate();
            sleep(NOTICE).await;
            places.borrow_mut()[n] = None;
            // Twice told is told once.
            program.terminate();
            if timeout(KILL - NOTICE, async { wait_until(|| !program.is_running()).await }).await.is_err() {
                program.kill();
            }
            hangs.set(false);
            let again = Program::start(&temp_dir(&format!("rolling-again-{n}")), &text).await;
            places.borrow_mut()[n] = Some(again.address);
            restarted.push(again);
        }
        let goal = answered(&seen) + 100;
        wait_until(|| answered(&seen) >= goal).await;
        seen.stop.set(true);
        wait_until(|| seen.running.get() == 0).await;
        assert!(seen.lost.borrow().is_empty(), "{:?}", seen.lost.borrow());
        let mut ran: BTreeMap<String, usize> = BTreeMap::new();
        for up in &upstreams {
            for message in up.received.borrow().iter().filter(|m| m.target == "/pay") {
                *ran.entry(message.header("req-id").unwrap_or("").to_owned()).or_insert(0) += 1;
            }
        }
        assert!(ran.len() > 50, "{}", ran.len());
        ran.retain(|_, times| *times > 1);
        assert!(ran.is_empty(), "{ran:?}");
        let by_status = seen.by_status.borrow();
        assert!(by_status.keys().all(|status| [200, 502, 503].contains(status)), "{by_status:?}");
        // Most are served: only what met the upstream that hangs is not.
        let served = by_status.get(&200).copied().unwrap_or(0);
        assert!(served * 10 >= answered(&seen) * 9, "{by_status:?}");
    });
}

/// Guards against a signal that comes in the midst of something else: as it starts, as it reads its file again, and more
/// than once; what it took before is answered.
#[test]
fn told_to_end_in_the_midst_of_something_it_answers_and_ends_well() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let discovery = start_stub(|_, _| Reply::NoReply).await;
        let upstreams = [Rc::clone(&up)];
        let text = page(&upstreams, discovery.address, "0.5");
        let starts = temp_dir("starts");
        let starting = Program::launch(&starts, &text, Some(&starts)).await;
        starting.terminate();
        starting.exits_cleanly().await;
        let reads = temp_dir("reads");
        let reading = Program::start(&reads, &text).await;
        // One RPC is open; it is answered though its upstream never does.
        let mut open =
            common::send(reading.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 9000")).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        reading.reload(&page(&upstreams, discovery.address, "1.0"));
        reading.terminate();
        reading.reload("no page at all");
        reading.terminate();
        assert_eq!(read_message(&mut open).await.expect("read the answer").status(), 502);
        drop(open);
        reading.exits_cleanly().await;
    });
}
