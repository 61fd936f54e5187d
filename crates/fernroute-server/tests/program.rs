//! Start, discovery, reload and shutdown of a balancer, and the program's command line.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    balancer, connect, instance_config, ok, read_message, rpc_head, run, send, send_and_read, start_stub,
    wait_until, Reply,
};
use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::{serve, shutdown};
use fernroute_server::protocol::list::{self as lists, State};
use fernroute_server::protocol::load::{self, LoadFields};
use process::{temp_dir, Program};
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
fn follows_the_target_list_through_truncated_answers_and_bad_entries() {
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
        let b = serve::start(instance_config(&[], discovery.address, &[])).await.expect("start the balancer");
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        wait_until(|| discovery.received.borrow().len() == 6).await;
        let first = |n: usize| discovery.received.borrow()[n].head.lines().next().map(str::to_owned);
        for (n, version) in [7, 7, 7, 8, 9, 10].iter().enumerate() {
            let line = first(n).expect("request line");
            assert!(line.starts_with(&format!("GET /api/targets?index={version}&wait=")), "{line}");
        }
        // The only upstream drains: nothing is sent to it, and the balancer is not ready.
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        let bytes = rpc_head("POST", "/pay", "Content-Length: 0\r\n").replace("4000", "300");
        assert_eq!(send_and_read(b.address, bytes).await.status(), 503);
        assert!(up.received.borrow().is_empty());
    });
}

/// Guards against a list that is empty for a moment, and against an older list that would bring back a draining upstream: for
/// either, the full list is requested again, and applied if the second answer confirms it.
#[test]
fn doubtful_list_is_applied_only_after_confirmation() {
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
            // A partial list older than the last one is ignored.
            3 => list(5, false, &entry("DRAINING")),
            4 => list(5, true, &entry("SERVING")),
            5 => list(12, true, &entry("DRAINING")),
            6 => list(12, true, ""),
            _ => Reply::NoReply,
        })
        .await;
        let b = serve::start(instance_config(&[], discovery.address, &[])).await.expect("start the balancer");
        let mut most = 0;
        wait_until(|| {
            let seen = discovery.received.borrow().len();
            // From the first list on there are upstreams, until an answer confirms that there are none.
            if (2..=6).contains(&seen) {
                assert!(b.dispatcher.is_ready(), "after {seen} calls");
                most = most.max(seen);
            }
            seen == 8
        })
        .await;
        assert!(most >= 5, "last observed after {most} calls");
        wait_until(|| !b.dispatcher.is_ready()).await;
        let asked: Vec<bool> =
            discovery.received.borrow().iter().map(|m| m.head.contains("?index=")).collect();
        assert_eq!(asked, [true, true, false, true, false, true, false, true]);
        assert!(discovery.received.borrow()[5].head.contains("?index=5&"));
    });
}

/// Guards against a difference between the two configuration formats, which name the same settings differently: the platform's
/// JSON file and an operator's TOML file.
#[test]
fn toml_and_json_files_give_the_same_configuration() {
    let json = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
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
    let toml = r#"
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
    let (mut json, toml) = (
        InstanceConfig::decode_json(json).expect("valid JSON file"),
        InstanceConfig::decode_toml(toml).expect("valid TOML file"),
    );
    assert_eq!(json.settings, toml.settings);
    // Upstreams in a TOML file have no list version, so the full list is requested.
    assert_eq!((json.list_version.take(), toml.list_version), (Some(0), None));
    assert_eq!(format!("{json:?}"), format!("{toml:?}"));
    toml.check().expect("settings accepted by a balancer");
}

/// Guards against two entries with one id where the later one would bring back a draining upstream.
#[test]
fn duplicate_upstream_id_takes_the_least_ready_state() {
    let entry = |state: &str| format!(r#"{{"id":"s-9","addr":"127.0.0.1:1","state":"{state}"}}"#);
    for (first, second) in [("SERVING", "DRAINING"), ("DRAINING", "SERVING"), ("DELETED", "DRAINING")] {
        let text = format!(r#"{{"version":1,"full":true,"servers":[{},{}]}}"#, entry(first), entry(second));
        let list =
            lists::decode(&serde_json::from_str(&text).expect("valid JSON")).expect("valid target list");
        let states: Vec<State> = list.entries.iter().map(|e| e.state).collect();
        assert_eq!(states, [if first == "DELETED" { State::Removed } else { State::Draining }]);
    }
}

/// Guards against a new upstream that inherits connections made for the previous upstream at its address, and against
/// connections to removed upstreams that stay open.
#[test]
fn new_upstream_at_a_reused_address_gets_new_connections() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let address = up.address;
        let entry = move |id: &str| format!(r#"{{"id":"{id}","addr":"{address}","state":"SERVING"}}"#);
        // The first call is never answered; the list comes once discovery is set again below.
        let discovery = start_stub(move |n, _| match n {
            0 => Reply::NoReply,
            1 => list(8, true, &entry("s-9")),
            _ => Reply::NoReply,
        });
        let discovery = discovery.await;
        let b = serve::start(instance_config(&[up.address], discovery.address, &[]))
            .await
            .expect("start the balancer");
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        common::until_reusable().await;
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        assert_eq!((up.connections.get(), up.closed.get()), (1, 0));
        b.set_discovery(discovery.address);
        wait_until(|| up.closed.get() == 1).await;
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        assert_eq!(up.connections.get(), 2);
    });
}

/// Guards against balancers that, refused by discovery, keep calling it without a pause.
#[test]
fn polls_discovery_at_the_decided_times() {
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
        // The decisions wait for up to a twentieth of the four seconds at the start, and a tenth after a failure.
        let from = Instant::now();
        let b =
            serve::start(instance_config(&[], discovery.address, &ask)).await.expect("start the balancer");
        wait_until(|| discovery.received.borrow().len() == 3).await;
        assert!(from.elapsed() >= Duration::from_millis(300), "{:?}", from.elapsed());
        drop(b);
    });
}

#[test]
fn starts_from_the_configured_list() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        assert_eq!(send_and_read(b.address, READY).await.status(), 200);
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
    });
}

/// During shutdown the balancer still answers new and open RPCs, closes idle connections, and loses no RPC that it accepted.
#[test]
fn shutdown_completes_once_all_rpcs_are_answered() {
    run(async {
        let up = start_stub(|n, _| if n < 2 { Reply::NoReply } else { ok("whole") }).await;
        // The shutdown lasts at most 1.7 s (a deadline of 1 s and 0.7 s more); an unanswered RPC is not sent again meanwhile.
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
        let (dispatcher, server, from) = (b.dispatcher.clone(), b.server.clone(), Instant::now());
        let end = actix_rt::spawn(async move { shutdown::shut_down(&dispatcher, &server).await });
        wait_until(|| b.dispatcher.phase.get().is_shutting_down()).await;
        assert_eq!(send_and_read(b.address, READY).await.status(), 503);
        let late = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
        assert!(late.status() == 200 && late.header("connection").is_none(), "{}", late.head);
        assert_eq!(idle.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        let last = read_message(&mut busy).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        let last = read_message(&mut open).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (502, Some("close")));
        assert!(from.elapsed() < Duration::from_millis(1700), "{:?}", from.elapsed());
        end.await.expect("task completes");
        assert!(TcpStream::connect(b.address).await.is_err());
    });
}

/// Guards against closing callers' connections early, while another balancer has not come back from its own restart.
#[test]
fn callers_are_served_until_the_end_of_the_shutdown_grace() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let mut kept = connect(b.address).await;
        let (dispatcher, server, from) = (b.dispatcher.clone(), b.server.clone(), Instant::now());
        let end = actix_rt::spawn(async move { shutdown::shut_down(&dispatcher, &server).await });
        let mut served = from.elapsed();
        // Until the balancer closes the connection.
        while kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.is_ok() {
            let Some(answer) = read_message(&mut kept).await else { break };
            assert_eq!(answer.status(), 200);
            served = from.elapsed();
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(served > Duration::from_millis(1500), "{served:?}");
        end.await.expect("task completes");
        assert!(from.elapsed() < Duration::from_millis(3700), "{:?}", from.elapsed());
    });
}

#[test]
fn sigterm_exits_with_code_0() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let program =
            Program::start(&temp_dir("signal"), &common::config_json(&[up.address], up.address, &[])).await;
        let mut kept = connect(program.address).await;
        for n in 0..2 {
            kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            assert_eq!(read_message(&mut kept).await.expect("read the answer").status(), 200);
            if n == 0 {
                program.terminate();
                // A reload does not interrupt the shutdown.
                program.signal(rustix::process::Signal::HUP);
            }
        }
        program.exits_cleanly().await;
    });
}

/// Guards against a program that exits on SIGHUP, that forgets its upstreams when discovery changes, or that sends the new
/// discovery a list version of the old one.
#[test]
fn reload_switches_to_another_discovery() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let old = start_stub(|_, _| Reply::NoReply).await;
        let entry = format!(r#"{{"id":"s-2","addr":"{}","state":"SERVING"}}"#, two.address);
        let new = start_stub(move |n, _| if n == 1 { list(3, true, &entry) } else { Reply::NoReply }).await;
        let config = |discovery| common::config_json(&[one.address], discovery, &[]);
        let program = Program::start(&temp_dir("reload"), &config(old.address)).await;
        let body = || async { send_and_read(program.address, rpc_head("GET", "/look", "")).await.body };
        wait_until(|| old.received.borrow().len() == 1).await;
        program.reload("no page at all");
        program.reload(&config(old.address));
        assert_eq!(body().await, b"one");
        program.reload(&config(new.address));
        wait_until(|| old.closed.get() == 1).await;
        wait_until(|| new.received.borrow().len() == 1).await;
        // The new discovery has not answered yet: the known upstreams stay.
        assert_eq!(body().await, b"one");
        wait_until(|| new.received.borrow().len() == 3).await;
        for (n, line) in ["GET /api/targets HTTP", "GET /api/targets HTTP", "GET /api/targets?index=3&wait="]
            .iter()
            .enumerate()
        {
            assert!(new.received.borrow()[n].head.starts_with(line), "{}", new.received.borrow()[n].head);
        }
        assert_eq!((body().await, old.connections.get()), (b"two".to_vec(), 1));
        program.terminate();
        program.exits_cleanly().await;
    });
}

/// Counts circuit breakers that open; no other test in this file opens any.
struct OpenedBreakers(&'static AtomicUsize);

static OPENED_BREAKERS: AtomicUsize = AtomicUsize::new(0);

impl<S: tracing::Subscriber> tracing_subscriber::Layer<S> for OpenedBreakers {
    fn on_event(&self, event: &tracing::Event<'_>, _: tracing_subscriber::layer::Context<'_, S>) {
        event.record(&mut |_: &tracing::field::Field, value: &dyn std::fmt::Debug| {
            self.0.fetch_add(usize::from(format!("{value:?}").contains("-> Open")), Ordering::Relaxed);
        });
    }
}

/// A lack of free connections is not the upstream's failure: the RPC was never sent.
#[test]
fn connection_shortage_opens_no_circuit_breaker() {
    use tracing_subscriber::layer::SubscriberExt as _;
    let counts = tracing_subscriber::registry().with(OpenedBreakers(&OPENED_BREAKERS));
    tracing::subscriber::set_global_default(counts).expect("no other global subscriber");
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
        assert_eq!(OPENED_BREAKERS.load(Ordering::Relaxed), 0);
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
fn invalid_usage_prints_one_line_and_exits_with_2() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        command
            .args(arguments)
            .env_remove("NODE_CONFIG")
            .env_remove("NODE_OPS")
            .output()
            .expect("run the program")
    };
    let folder = std::env::temp_dir().join(format!("fernroute-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("access the test directory");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("access the test file");
        path.to_str().expect("valid path").to_owned()
    };
    let start = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":"#;
    let (empty, words) = (file("empty", ""), file("words", "not\nJSON"));
    let bare = file("bare", &format!("{start}{{}}}}"));
    let missing = folder.join("missing").to_str().expect("valid path").to_owned();
    let with_ops = |at: &str| {
        let config = common::config_json(&[], "127.0.0.1:1".parse().expect("valid address"), &[]);
        config
            .replace("\"ops\":\"127.0.0.1:0\"", &format!("\"ops\":\"{at}\""))
            .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:9\"")
    };
    let (unread, same) = (file("unread", &with_ops("nowhere")), file("same", &with_ops("127.0.0.1:9")));
    // An invalid value is an error and never treated as an absent one.
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
        let config = common::config_json(&[], "127.0.0.1:1".parse().expect("valid address"), &[*change]);
        file(&format!("unusable-{n}"), &config)
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
    // `NODE_OPS` overrides the file; an operations address that is in use is an error.
    let (good, taken) =
        (file("good", &with_ops("127.0.0.1:0")), TcpListener::bind("127.0.0.1:0").expect("bind a listener"));
    let taken = taken.local_addr().map(|at| (taken, at.to_string())).expect("local address");
    let free = file("free", &common::config_json(&[], "127.0.0.1:1".parse().expect("valid address"), &[]));
    for (command, path, named) in
        [("check", &good, "nowhere"), ("check", &good, "127.0.0.1:9"), ("serve", &free, taken.1.as_str())]
    {
        let mut program = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        let out = program
            .args([command, "--config", path])
            .env("NODE_OPS", named)
            .output()
            .expect("run the program");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        let errors = text.lines().filter(|line| line.starts_with("fernroute: ")).count();
        assert_eq!((out.status.code(), errors), (Some(2), 1), "{command} {named}: {text}");
    }
    assert!(run(&["check", "--config", &good]).status.success());
    let out = run(&["version"]);
    assert!(out.status.success() && out.stdout.starts_with(b"fernroute "));
    std::fs::remove_dir_all(folder).expect("remove the test directory");
}

/// Guards against a list that arrives slowly and is never accepted, and against waiting for discovery that stalls in the middle
/// of a list while upstreams leave.
#[test]
fn slow_list_is_read_to_the_end_and_stalled_list_is_requested_again() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        let calls = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = std::rc::Rc::clone(&calls);
        // The calls whose list was sent completely, each with the number of later calls made by then.
        let completed = std::rc::Rc::<std::cell::RefCell<Vec<(i32, i32)>>>::default();
        let noted = std::rc::Rc::clone(&completed);
        actix_rt::spawn(async move {
            let entry = r#"{"id":"s-9","addr":"127.0.0.1:1","state":"SERVING"}"#;
            let body = format!(r#"{{"version":9,"full":true,"servers":[{entry}]}}"#);
            while let Ok((mut stream, _)) = listener.accept().await {
                let (body, counted) = (body.clone(), std::rc::Rc::clone(&counted));
                let noted = std::rc::Rc::clone(&noted);
                actix_rt::spawn(async move {
                    while read_message(&mut stream).await.is_some() {
                        counted.set(counted.get() + 1);
                        let call = counted.get();
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        stream.write_all(head.as_bytes()).await.unwrap_or(());
                        if call == 1 {
                            // A part of the list, and then nothing.
                            stream.write_all(&body.as_bytes()[..20]).await.unwrap_or(());
                            std::future::pending::<()>().await;
                        }
                        // Paced by absolute times, so that delays of a busy machine do not add up.
                        let begun = Instant::now();
                        for (n, byte) in (1..).zip(body.as_bytes()) {
                            stream.write_all(&[*byte]).await.unwrap_or(());
                            let next = begun + n * Duration::from_millis(45);
                            actix_rt::time::sleep_until(next.into()).await;
                        }
                        noted.borrow_mut().push((call, counted.get() - call));
                    }
                });
            }
        });
        let from = Instant::now();
        let b = serve::start(instance_config(&[], address, &[])).await.expect("start the balancer");
        wait_until(|| calls.get() >= 2).await;
        assert!(from.elapsed() < Duration::from_millis(2500), "{:?}", from.elapsed());
        wait_until(|| b.dispatcher.is_ready()).await;
        // The slow list takes longer than the time-out for silent discovery, and the first slow call is still read to its end. At
        // most two further calls are made meanwhile, so that a change after its start is learned before it is complete.
        assert!(from.elapsed() > Duration::from_millis(4000), "{:?}", from.elapsed());
        wait_until(|| !completed.borrow().is_empty()).await;
        let (first, beside) = completed.borrow()[0];
        assert!(first == 2 && (1..=2).contains(&beside), "{first} {beside}");
    });
}

/// A configuration file with other settings: warm keys, other load reports, other methods and effects at the same positions,
/// other deadlines.
fn changed_config(upstreams: &[std::net::SocketAddr], discovery: std::net::SocketAddr) -> String {
    let changes = [
        (r#""name":"look","effect":"read_like""#, r#""name":"other","effect":"read_like""#),
        (r#""name":"put","effect":"idempotency_key""#, r#""name":"look","effect":"read_like""#),
        (r#""names":["avg_ms","cpu"]"#, r#""names":["cpu","waiting"]"#),
        (r#""orgs":[]"#, r#""orgs":[],"family-info":{"warm-keys":true},"tariffs":{"cross-zone":0.03}"#),
        (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":5.0"#),
    ];
    common::config_json(upstreams, discovery, &changes)
}

/// Guards against a settings change that needs a restart, that loses or repeats open RPCs, or that an invalid file leaves half
/// applied.
#[test]
fn settings_reload_under_load_in_both_directions() {
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
        let before = common::config_json(&ups, agent.address, &[]);
        let program = Program::start(&temp_dir("switch"), &before).await;
        let stop = std::rc::Rc::new(std::cell::Cell::new(false));
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let (stop, address) = (std::rc::Rc::clone(&stop), program.address);
                actix_rt::spawn(async move {
                    let mut statuses = Vec::new();
                    while !stop.get() {
                        let answer =
                            send_and_read(address, rpc_head("POST", "/pay", "Content-Length: 0\r\n")).await;
                        statuses.push(answer.status());
                    }
                    statuses
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
            let after = changed_config(&ups, agent.address);
            program.reload(&after);
            wait_until(|| program.log_count("new settings are in effect") == 2 * turn + 1).await;
            assert_eq!(status("GET", "/other", "").await, 200, "turn {turn}");
            assert_eq!(status("POST", "/put", put).await, 404, "turn {turn}");
            // A truncated file, and one with a value out of range.
            program.reload(&before[..before.len() / 2]);
            wait_until(|| program.log_count("nothing has changed") == 2 * turn + 1).await;
            program.reload(&after.replace(r#""cold-from":0.3"#, r#""cold-from":3"#));
            wait_until(|| program.log_count("out of range contract.cold-from") == turn + 1).await;
            assert_eq!(status("GET", "/other", "").await, 200, "turn {turn}");
            // Two in quick succession: the last one takes effect.
            program.reload(&after);
            program.reload(&before);
            wait_until(|| program.log_count("new settings are in effect") == 2 * turn + 2).await;
        }
        stop.set(true);
        let mut statuses = Vec::new();
        for caller in callers {
            statuses.extend(caller.await.expect("task completes"));
        }
        assert!(statuses.len() > 20 && statuses.iter().all(|status| *status == 200), "{statuses:?}");
        let seen =
            [&one, &two].map(|up| up.received.borrow().iter().filter(|m| m.head.contains("/pay")).count());
        assert_eq!(seen[0] + seen[1], statuses.len(), "each RPC must run once");
        program.terminate();
        program.exits_cleanly().await;
    });
}
