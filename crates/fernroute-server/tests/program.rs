//! Starting, following the list, and ending.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    balancer, connect, ok, read_message, rpc_head, run, send, send_and_read, start_stub, station, wait_until,
    Reply,
};
use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::{serve, shutdown};
use fernroute_server::protocol::list::{self as lists, State};
use fernroute_server::protocol::load::{self, LoadFields};
use process::{folder, Program};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

fn list(version: u64, full: bool, entries: &str) -> Reply {
    ok(&format!(r#"{{"version":{version},"full":{full},"servers":[{entries}]}}"#))
}

#[test]
fn follows_the_list_through_half_answers_and_bad_entries() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let address = up.address;
        let entry = move |id: &str, state: &str| {
            format!(
                r#"{{"id":"{id}","addr":"{address}","zone":"z","cell":1,"state":"{state}","started_ms":0}}"#
            )
        };
        let discovery = start_stub(move |n, _| match n {
            0 => Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":8".to_vec()),
            1 => ok("{}"),
            2 => {
                let bad = r#"{"id":"s-8","state":"SERVING","addr":"nowhere"},5,"#;
                list(8, true, &format!("{bad}{}", entry("s-9", "SERVING")))
            }
            3 => list(9, false, ""),
            4 => list(10, false, &entry("s-9", "DRAINING")),
            _ => Reply::NoReply,
        })
        .await;
        let b = serve::start(station(&[], discovery.address, &[])).await.expect("it starts");
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        wait_until(|| discovery.received.borrow().len() == 6).await;
        let first = |n: usize| discovery.received.borrow()[n].head.lines().next().map(str::to_owned);
        for (n, version) in [7, 7, 7, 8, 9, 10].iter().enumerate() {
            let line = first(n).expect("a first line");
            assert!(line.starts_with(&format!("GET /api/targets?index={version}&wait=")), "{line}");
        }
        // It drains: nothing is sent, and there is nothing to be ready with.
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        let bytes = rpc_head("POST", "/pay", "Content-Length: 0\r\n").replace("4000", "300");
        assert_eq!(send_and_read(b.address, bytes).await.status(), 503);
        assert!(up.received.borrow().is_empty());
    });
}

/// Guards against a list that shrinks to nothing for a moment, and against an older one that would bring back what
/// drains: either is asked for again, whole, and believed if it stays.
#[test]
fn a_doubtful_list_is_asked_for_again_and_believed_if_it_stays() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let address = up.address;
        let entry = move |state: &str| {
            format!(r#"{{"id":"s-9","addr":"{address}","state":"{state}","started_ms":0}}"#)
        };
        let discovery = start_stub(move |n, _| match n {
            0 => list(8, true, &entry("SERVING")),
            1 => list(9, true, ""),
            2 => list(10, true, &entry("SERVING")),
            // What was before the last list is no news.
            3 => list(5, false, &entry("DRAINING")),
            4 => list(5, true, &entry("SERVING")),
            5 => list(12, true, &entry("DRAINING")),
            6 => list(12, true, ""),
            _ => Reply::NoReply,
        })
        .await;
        let b = serve::start(station(&[], discovery.address, &[])).await.expect("it starts");
        let mut most = 0;
        wait_until(|| {
            let seen = discovery.received.borrow().len();
            // Never without upstreams from the first list on, up to the answer that confirms the end.
            if (2..=6).contains(&seen) {
                assert!(b.board.is_ready(), "after {seen} calls");
                most = most.max(seen);
            }
            seen == 8
        })
        .await;
        assert!(most >= 5, "looked at after {most}");
        wait_until(|| !b.board.is_ready()).await;
        let asked: Vec<bool> =
            discovery.received.borrow().iter().map(|m| m.head.contains("?index=")).collect();
        assert_eq!(asked, [true, true, false, true, false, true, false, true]);
        assert!(discovery.received.borrow()[5].head.contains("?index=5&"));
    });
}

/// Both kinds of files end in one value: an installation's own says by other names what the platform's says.
#[test]
fn a_file_of_ones_own_and_the_platforms_make_the_same_station() {
    let theirs = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
        "ops":"127.0.0.1:9600","limits":{"sockets":512},
        "known":{"version":0,"full":true,"servers":[
            {"id":"s-1","addr":"127.0.0.1:9001","zone":"a","cell":"2","state":"SERVING","started_ms":0}]},
        "settings":{"n-instances":2,"me":1,"layer":1,"zone":"a","quantum-s":0.005,"orgs":[{"name":"acme","quota-per-s":7.5}],
        "methods":[{"name":"put","effect":"idempotency_key","group":"zone","window-s":5,"soft-deadline-s":1.5,
            "hard-deadline-s":3.0,"gain":2}],
        "feedback":{"names":["cpu","err_rps"]},"membership-mode":"subscribe",
        "ceilings":{"max-transmissions":3,"cancel":true,"retry-after":true,"connect-timeout-s":0.25,"keepalive-s":30.0,
            "max-retry-after-s":2.0},
        "contract":{"must-ask-in-s":4,"drain-grace-s":0.3,"cold-from":0.3,"warm-within-s":8,"tip-multiple":2.5,
            "overload-for-s":3}}}"#;
    let ours = r#"
        name = "n0"
        listen = "127.0.0.1:9000"
        discovery = "127.0.0.1:8500"
        ops = "127.0.0.1:9600"
        seed = "1f"
        descriptors = 512
        place = { instances = 2, number = 1, tier = 1, zone = "a", tick_ms = 5 }
        list = { mode = "ask", ask_within_s = 4 }
        load = { reports = ["utilisation", "errors"] }
        limits = { transmissions = 3, cancel = true, retry_after = true, connect_ms = 250, keep_alive_s = 30, retry_after_s = 2 }
        rules = { drain_grace_ms = 300, cold_from = 0.3, warm_within_s = 8, cold_multiple = 2.5, cold_window_s = 3 }
        [[method]]
        name = "put"
        effect = "deduped"
        group = "zone"
        window_s = 5
        soft_ms = 1500
        hard_ms = 3000
        gain = 2
        [[tenant]]
        name = "acme"
        rate = 7.5
        [[upstream]]
        id = "s-1"
        address = "127.0.0.1:9001"
        zone = "a"
        cell = "2""#;
    let (mut theirs, ours) = (
        InstanceConfig::decode_json(theirs).expect("theirs"),
        InstanceConfig::decode_toml(ours).expect("ours"),
    );
    assert_eq!(theirs.settings, ours.settings);
    // What a file of one's own names has no version: the whole list is asked for.
    assert_eq!((theirs.list_version.take(), ours.list_version), (Some(0), None));
    assert_eq!(format!("{theirs:?}"), format!("{ours:?}"));
    ours.check().expect("a balancer can start with it");
}

/// Guards against two entries of one id, of which the later would bring back one that drains.
#[test]
fn an_id_that_is_named_twice_counts_as_the_least_ready() {
    let entry = |state: &str| format!(r#"{{"id":"s-9","addr":"127.0.0.1:1","state":"{state}"}}"#);
    for (first, second) in [("SERVING", "DRAINING"), ("DRAINING", "SERVING"), ("DELETED", "DRAINING")] {
        let text = format!(r#"{{"version":1,"full":true,"servers":[{},{}]}}"#, entry(first), entry(second));
        let list = lists::decode(&serde_json::from_str(&text).expect("it is JSON")).expect("a list");
        let states: Vec<State> = list.entries.iter().map(|e| e.state).collect();
        assert_eq!(states, [if first == "DELETED" { State::Removed } else { State::Draining }]);
    }
}

/// Guards against an upstream that gets a connection which was made for the one that stood at its address before,
/// and against connections to upstreams that are gone, kept open until they are in the way.
#[test]
fn a_new_upstream_at_an_old_address_gets_connections_of_its_own() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let address = up.address;
        let entry = move |id: &str| format!(r#"{{"id":"{id}","addr":"{address}","state":"SERVING"}}"#);
        // The first call waits until an RPC has been served.
        let discovery = start_stub(move |n, _| match n {
            0 => Reply::NoReply,
            1 => list(8, true, &entry("s-9")),
            _ => Reply::NoReply,
        });
        let discovery = discovery.await;
        let b = serve::start(station(&[up.address], discovery.address, &[])).await.expect("it starts");
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        common::rested().await;
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        assert_eq!((up.connections.get(), up.closed.get()), (1, 0));
        b.set_discovery(discovery.address);
        wait_until(|| up.closed.get() == 1).await;
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        assert_eq!(up.connections.get(), 2);
    });
}

/// Guards against a fleet whose balancers, turned away by discovery, ask on and on.
#[test]
fn asks_when_the_decisions_say_so() {
    run(async {
        let discovery = start_stub(|n, _| match n {
            0 => common::status_reply("503 No"),
            1 => list(8, true, ""),
            _ => Reply::NoReply,
        })
        .await;
        let ask = [
            ("\"membership-mode\":\"automatic\"", "\"membership-mode\":\"subscribe\""),
            ("\"cold-from\"", "\"must-ask-in-s\":4,\"cold-from\""),
        ];
        // The decisions wait for up to a twentieth of the four seconds at the start, a tenth after a failure.
        let from = Instant::now();
        let b = serve::start(station(&[], discovery.address, &ask)).await.expect("it starts");
        wait_until(|| discovery.received.borrow().len() == 3).await;
        assert!(from.elapsed() >= Duration::from_millis(300), "{:?}", from.elapsed());
        drop(b);
    });
}

#[test]
fn starts_from_the_list_it_knew() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        assert_eq!(send_and_read(b.address, READY).await.status(), 200);
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
    });
}

/// Told to stop: still answers who comes and who is here, ends what is idle, and loses nothing that it has taken.
#[test]
fn ends_when_all_is_answered() {
    run(async {
        let up = start_stub(|n, _| if n < 2 { Reply::NoReply } else { ok("whole") }).await;
        // Killed a second and 0.7 after it is told; what is silent is not sent again meanwhile.
        let changes = [
            (r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":1.0"#),
            (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":1.0"#),
            (r#""max-transmissions":3"#, r#""max-transmissions":1"#),
        ];
        let b = balancer(&[&up], &changes).await;
        let mut idle = connect(b.address).await;
        let mut busy = send(b.address, rpc_head("GET", "/look", "").replace("4000", "1100")).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        let mut open = send(b.address, rpc_head("GET", "/look", "").replace("4000", "90000")).await;
        wait_until(|| up.received.borrow().len() == 2).await;
        let (board, server, from) = (b.board.clone(), b.server.clone(), Instant::now());
        let end = actix_rt::spawn(async move { shutdown::shut_down(&board, &server).await });
        wait_until(|| b.board.phase.get().is_shutting_down()).await;
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        let late = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
        assert!(late.status() == 200 && late.header("connection").is_none(), "{}", late.head);
        assert_eq!(idle.read(&mut [0; 1]).await.expect("an orderly end"), 0);
        let last = read_message(&mut busy).await.expect("an answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        let last = read_message(&mut open).await.expect("an answer");
        assert_eq!((last.status(), last.header("connection")), (502, Some("close")));
        assert!(from.elapsed() < Duration::from_millis(1700), "{:?}", from.elapsed());
        end.await.expect("it ends");
        assert!(TcpStream::connect(b.address).await.is_err());
    });
}

/// Guards against callers that are sent away while another balancer is not back yet.
#[test]
fn callers_are_kept_as_long_as_they_may_be_served() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let mut kept = connect(b.address).await;
        let (board, server, from) = (b.board.clone(), b.server.clone(), Instant::now());
        let end = actix_rt::spawn(async move { shutdown::shut_down(&board, &server).await });
        let mut served = from.elapsed();
        // Until it ends the connection.
        while kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.is_ok() {
            let Some(answer) = read_message(&mut kept).await else { break };
            assert_eq!(answer.status(), 200);
            served = from.elapsed();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(served > Duration::from_millis(1500), "{served:?}");
        end.await.expect("it ends");
        assert!(from.elapsed() < Duration::from_millis(3700), "{:?}", from.elapsed());
    });
}

#[test]
fn a_signal_ends_it_with_code_0() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let program = Program::start(&folder("signal"), &common::page(&[up.address], up.address, &[])).await;
        let mut kept = connect(program.address).await;
        for n in 0..2 {
            kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("it reads");
            assert_eq!(read_message(&mut kept).await.expect("an answer").status(), 200);
            if n == 0 {
                program.term();
                // Read again or not, it goes on ending.
                program.signal(rustix::process::Signal::HUP);
            }
        }
        program.ends_well().await;
    });
}

/// Guards against a program that ends on SIGHUP, that forgets its upstreams over a new discovery, or that asks
/// the new one for what is newer than a version of the old one's.
#[test]
fn turns_to_another_discovery_when_its_file_names_one() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let old = start_stub(|_, _| Reply::NoReply).await;
        let entry = format!(r#"{{"id":"s-2","addr":"{}","state":"SERVING"}}"#, two.address);
        let new = start_stub(move |n, _| if n == 1 { list(3, true, &entry) } else { Reply::NoReply }).await;
        let page = |discovery| common::page(&[one.address], discovery, &[]);
        let program = Program::start(&folder("reload"), &page(old.address)).await;
        let body = || async { send_and_read(program.address, rpc_head("GET", "/look", "")).await.body };
        wait_until(|| old.received.borrow().len() == 1).await;
        program.reload("no page at all");
        program.reload(&page(old.address));
        assert_eq!(body().await, b"one");
        program.reload(&page(new.address));
        wait_until(|| old.closed.get() == 1).await;
        wait_until(|| new.received.borrow().len() == 1).await;
        // Silent so far: what it has stands.
        assert_eq!(body().await, b"one");
        wait_until(|| new.received.borrow().len() == 3).await;
        for (n, line) in ["GET /api/targets HTTP", "GET /api/targets HTTP", "GET /api/targets?index=3&wait="]
            .iter()
            .enumerate()
        {
            assert!(new.received.borrow()[n].head.starts_with(line), "{}", new.received.borrow()[n].head);
        }
        assert_eq!((body().await, old.connections.get()), (b"two".to_vec(), 1));
        program.term();
        program.ends_well().await;
    });
}

/// Counts the breakers that open; no other test in this file opens any.
struct Openings(&'static AtomicUsize);

static OPENINGS: AtomicUsize = AtomicUsize::new(0);

impl<S: tracing::Subscriber> tracing_subscriber::Layer<S> for Openings {
    fn on_event(&self, event: &tracing::Event<'_>, _: tracing_subscriber::layer::Context<'_, S>) {
        event.record(&mut |_: &tracing::field::Field, value: &dyn std::fmt::Debug| {
            self.0.fetch_add(usize::from(format!("{value:?}").contains("-> Open")), Ordering::Relaxed);
        });
    }
}

/// All connections busy is no fault of the upstream: the RPC never left.
#[test]
fn too_few_connections_exhaust_and_open_no_breaker() {
    use tracing_subscriber::layer::SubscriberExt as _;
    let counts = tracing_subscriber::registry().with(Openings(&OPENINGS));
    tracing::subscriber::set_global_default(counts).expect("the only one");
    run(async {
        let up = start_stub(|n, _| if n < 12 { Reply::NoReply } else { ok("whole") }).await;
        let b = balancer(&[&up, &up, &up, &up], &[("\"sockets\":1024", "\"sockets\":73")]).await;
        let mut waiting = Vec::new();
        for n in 0..12 {
            waiting.push(send(b.address, rpc_head("GET", "/look", "")).await);
            wait_until(|| up.received.borrow().len() > n).await;
        }
        for _ in 0..12 {
            let answer = send_and_read(b.address, rpc_head("POST", "/pay", "Content-Length: 0\r\n")).await;
            assert_eq!(answer.status(), 503);
        }
        assert_eq!(OPENINGS.load(Ordering::Relaxed), 0);
        waiting.clear();
        wait_until(|| up.closed.get() == 12).await;
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
    });
}

#[test]
fn load_reports_are_read_by_name() {
    let gauges = LoadFields(vec!["service_time".to_owned(), "errors".to_owned(), "utilisation".to_owned()]);
    let loads = load::decode("inflight=7, util=0.61,latency_ms=much,queue,eps=2", &gauges);
    assert!(loads[0].is_nan());
    assert_eq!(&loads[1..], [2.0, 0.61]);
    for noise in
        ["", "{\"", "=", "util", "util=NaN", "util=-inf", "util=1e999", "util=-0.2", "util=0.1,util=0.9"]
    {
        assert!(load::decode(noise, &gauges).iter().all(|v| v.is_nan()), "{noise}");
    }
}

#[test]
fn bad_use_is_one_line_and_exit_code_2() {
    let run = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        command.args(words).env_remove("NODE_CONFIG").env_remove("NODE_OPS").output().expect("it runs")
    };
    let folder = std::env::temp_dir().join(format!("fernroute-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_str().expect("a path").to_owned()
    };
    let start = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":"#;
    let (empty, words) = (file("empty", ""), file("words", "not\nJSON"));
    let bare = file("bare", &format!("{start}{{}}}}"));
    let missing = folder.join("missing").to_str().expect("a path").to_owned();
    let door = |at: &str| {
        let page = common::page(&[], "127.0.0.1:1".parse().expect("an address"), &[]);
        page.replace("\"ops\":\"127.0.0.1:0\"", &format!("\"ops\":\"{at}\""))
            .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:9\"")
    };
    let (unread, same) = (file("unread", &door("nowhere")), file("same", &door("127.0.0.1:9")));
    // What is there and can't be used never passes for what is not there.
    let unusable = [
        (r#""effect":"read_like""#, r#""effect":"perhaps""#),
        (r#""group":"all""#, r#""group":"some""#),
        (r#""membership-mode":"automatic""#, r#""membership-mode":"now and then""#),
        (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":"soon""#),
        (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":0"#),
        (r#""keepalive-s":30.0"#, r#""keepalive-s":-1"#),
        (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":-6.0"#),
        (r#""cancel":true"#, r#""cancel":"maybe""#),
    ];
    let unusable = unusable.iter().enumerate().map(|(n, change)| {
        let page = common::page(&[], "127.0.0.1:1".parse().expect("an address"), &[*change]);
        file(&format!("unusable-{n}"), &page)
    });
    let unusable: Vec<String> = unusable.collect();
    for path in [&empty, &words, &bare, &missing, &unread, &same].into_iter().chain(&unusable) {
        for command in ["serve", "check"] {
            let out = run(&[command, "--config", path]);
            let text = String::from_utf8_lossy(&out.stderr).into_owned();
            assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{command} {path}: {text}");
        }
    }
    for words in [&["serve"][..], &["fly"][..], &[][..]] {
        let out = run(words);
        assert_eq!((out.status.code(), out.stderr.iter().filter(|b| **b == b'\n').count()), (Some(2), 1));
    }
    // The environment comes before the file; where a door is open already no other is opened.
    let (good, taken) =
        (file("good", &door("127.0.0.1:0")), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let taken = taken.local_addr().map(|at| (taken, at.to_string())).expect("an address");
    let free = file("free", &common::page(&[], "127.0.0.1:1".parse().expect("an address"), &[]));
    for (command, path, named) in
        [("check", &good, "nowhere"), ("check", &good, "127.0.0.1:9"), ("serve", &free, taken.1.as_str())]
    {
        let mut program = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        let out = program.args([command, "--config", path]).env("NODE_OPS", named).output().expect("it runs");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        let told = text.lines().filter(|line| line.starts_with("fernroute: ")).count();
        assert_eq!((out.status.code(), told), (Some(2), 1), "{command} {named}: {text}");
    }
    assert!(run(&["check", "--config", &good]).status.success());
    let out = run(&["version"]);
    assert!(out.status.success() && out.stdout.starts_with(b"fernroute "));
    std::fs::remove_dir_all(folder).expect("it was there");
}

/// Guards against a list that trickles and never gets through, and against an agent that falls silent in the middle of one
/// and is waited for while upstreams leave.
#[test]
fn a_list_that_trickles_is_heard_out_and_one_that_stalls_is_asked_for_again() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = std::rc::Rc::clone(&calls);
        // Which calls' lists came whole, and how many calls were out then.
        let whole = std::rc::Rc::<std::cell::RefCell<Vec<(i32, i32)>>>::default();
        let came = std::rc::Rc::clone(&whole);
        actix_rt::spawn(async move {
            let entry = r#"{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING"}"#;
            let body = format!(r#"{{"version":9,"full":true,"servers":[{entry}]}}"#);
            while let Ok((mut stream, _)) = listener.accept().await {
                let (body, counted) = (body.clone(), std::rc::Rc::clone(&counted));
                let came = std::rc::Rc::clone(&came);
                actix_rt::spawn(async move {
                    while read_message(&mut stream).await.is_some() {
                        counted.set(counted.get() + 1);
                        let call = counted.get();
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        stream.write_all(head.as_bytes()).await.unwrap_or(());
                        if call == 1 {
                            // Half of it, and then nothing.
                            stream.write_all(&body.as_bytes()[..20]).await.unwrap_or(());
                            std::future::pending::<()>().await;
                        }
                        // By the clock: a busy machine doesn't add to each byte.
                        let begun = Instant::now();
                        for (n, byte) in (1..).zip(body.as_bytes()) {
                            stream.write_all(&[*byte]).await.unwrap_or(());
                            let next = begun + n * Duration::from_millis(45);
                            actix_rt::time::sleep_until(next.into()).await;
                        }
                        came.borrow_mut().push((call, counted.get() - call));
                    }
                });
            }
        });
        let from = Instant::now();
        let b = serve::start(station(&[], address, &[])).await.expect("it starts");
        wait_until(|| calls.get() >= 2).await;
        assert!(from.elapsed() < Duration::from_millis(2500), "{:?}", from.elapsed());
        wait_until(|| b.board.is_ready()).await;
        // Longer in coming than a silent agent is waited for: the first call whose list trickles is heard out. Others are made
        // beside it, two at the most, since what changes as it begins counts as told before it is whole.
        assert!(from.elapsed() > Duration::from_millis(4000), "{:?}", from.elapsed());
        wait_until(|| !whole.borrow().is_empty()).await;
        let (first, beside) = whole.borrow()[0];
        assert!(first == 2 && (1..=2).contains(&beside), "{first} {beside}");
    });
}

/// A page of other settings: keys that are known, other reports, the effects of `look` and `put` exchanged with the
/// places of the methods, other deadlines.
fn moved(upstreams: &[std::net::SocketAddr], discovery: std::net::SocketAddr) -> String {
    let changes = [
        (r#""name":"look","effect":"read_like""#, r#""name":"other","effect":"read_like""#),
        (r#""name":"put","effect":"idempotency_key""#, r#""name":"look","effect":"read_like""#),
        (r#""names":["avg_ms","cpu"]"#, r#""names":["cpu","waiting"]"#),
        (r#""orgs":[]"#, r#""orgs":[],"family-info":{"warm-keys":true},"tariffs":{"cross-zone":0.03}"#),
        (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":5.0"#),
    ];
    common::page(upstreams, discovery, &changes)
}

/// Guards against a switch that needs a restart, that loses or repeats what is open, or that a bad file leaves half done.
#[test]
fn new_settings_are_taken_over_under_load_there_and_back() {
    run(async {
        let upstream = || async {
            start_stub(|_, message| match message.head.contains("/pay") {
                true => ok("paid"),
                false => ok("whole"),
            })
            .await
        };
        let (one, two) = (upstream().await, upstream().await);
        let agent = start_stub(|_, _| Reply::NoReply).await;
        let ups = [one.address, two.address];
        let before = common::page(&ups, agent.address, &[]);
        let program = Program::start(&folder("switch"), &before).await;
        let stop = std::rc::Rc::new(std::cell::Cell::new(false));
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let (stop, address) = (std::rc::Rc::clone(&stop), program.address);
                actix_rt::spawn(async move {
                    let mut ends = Vec::new();
                    while !stop.get() {
                        let answer =
                            send_and_read(address, rpc_head("POST", "/pay", "Content-Length: 0\r\n")).await;
                        ends.push(answer.status());
                    }
                    ends
                })
            })
            .collect();
        let put = "Idempotency-Key: k\r\nContent-Length: 0\r\n";
        let status = |verb: &'static str, path: &'static str, more: &'static str| async move {
            send_and_read(program.address, rpc_head(verb, path, more)).await.status()
        };
        for turn in 0..3 {
            assert_eq!(status("POST", "/put", put).await, 200, "turn {turn}");
            assert_eq!(status("GET", "/other", "").await, 404, "turn {turn}");
            let after = moved(&ups, agent.address);
            program.reload(&after);
            wait_until(|| program.log_count("new settings are in effect") == 2 * turn + 1).await;
            assert_eq!(status("GET", "/other", "").await, 200, "turn {turn}");
            assert_eq!(status("POST", "/put", put).await, 404, "turn {turn}");
            // Half a file, and one that contradicts itself.
            program.reload(&before[..before.len() / 2]);
            wait_until(|| program.log_count("nothing has changed") == 2 * turn + 1).await;
            program.reload(&after.replace(r#""cold-from":0.3"#, r#""cold-from":3"#));
            wait_until(|| program.log_count("out of range contract.cold-from") == turn + 1).await;
            assert_eq!(status("GET", "/other", "").await, 200, "turn {turn}");
            // Two in quick succession: the last counts.
            program.reload(&after);
            program.reload(&before);
            wait_until(|| program.log_count("new settings are in effect") == 2 * turn + 2).await;
        }
        stop.set(true);
        let mut ends = Vec::new();
        for caller in callers {
            ends.extend(caller.await.expect("it ends"));
        }
        assert!(ends.len() > 20 && ends.iter().all(|end| *end == 200), "{ends:?}");
        let seen =
            [&one, &two].map(|up| up.received.borrow().iter().filter(|m| m.head.contains("/pay")).count());
        assert_eq!(seen[0] + seen[1], ends.len(), "each once");
        program.term();
        program.ends_well().await;
    });
}
