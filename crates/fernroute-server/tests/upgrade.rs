//! A new process of the balancer takes over under load, and all that can go wrong with it. Real processes; what is
//! asserted are counts and states, not times.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    ask, config_json, entry, is_ready, ok, read, rpc, run, stand_in, told, until, until_ready, Deed, Load,
    StandIn,
};
use process::{temp_dir, Program};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, UnixListener, UnixStream};

/// Where the processes of a balancer with the tests' file meet.
fn meeting(folder: &Path) -> PathBuf {
    folder.join("fernroute-n0-127.0.0.1_0.sock")
}

async fn upstream() -> Rc<StandIn> {
    stand_in(|_, message| if message.head.contains("/silent") { Deed::Silence } else { ok("whole") }).await
}

/// Guards against callers refused, reset or unanswered as one process takes over from another, twice in a row; the list
/// that discovery has not told the new process comes from the old one.
#[test]
fn upgrade_is_invisible_to_callers() {
    run(async {
        let (up, dead) = (upstream().await, stand_in(|_, _| Deed::Silence).await);
        let folder = temp_dir("upgrade");
        let mut old = Program::start(&folder, &config_json(&[up.address], dead.address, &[])).await;
        let load = Load::start(16, old.address);
        load.more(200).await;
        for _ in 0..2 {
            // Its file knows no upstream, and discovery says nothing.
            let new = Program::start(&folder, &config_json(&[], dead.address, &[])).await;
            assert_eq!(new.address, old.address);
            until_ready(new.ops_address).await;
            old.terminate();
            load.more(200).await;
            old.exits_cleanly().await;
            assert!(is_ready(new.address).await);
            old = new;
            load.more(200).await;
        }
        load.end().await;
        // Of each caller's connection the one that was idle may be closed as it writes.
        assert!(load.crossed.get() <= 2, "{}", load.crossed.get());
        old.terminate();
        old.exits_cleanly().await;
        assert!(!meeting(&folder).exists());
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}

/// Guards against answers that are lost with the old process, and against an old process that stays for its own sake.
#[test]
fn old_process_answers_its_rpcs_and_exits() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("early");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        let mut open = common::send(old.address, rpc("GET", "/look/silent", "").replace("4000", "900")).await;
        until(|| up.seen.borrow().iter().any(|m| m.head.contains("/silent"))).await;
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        until(|| old.says("a successor serves")).await;
        assert!(!is_ready(old.ops_address).await && told(old.ops_address, "POST", "/-/resume").await == 409);
        let last = read(&mut open).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        // Nobody tells it to.
        old.exits_cleanly().await;
        until(|| new.says("the old process has ended")).await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against a balancer that nobody serves because its successor died: before it could serve, and after.
#[test]
fn old_process_resumes_when_its_successor_dies() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("dies");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        until(|| meeting(&folder).exists()).await;
        let load = Load::start(4, old.address);
        let mut early = UnixStream::connect(meeting(&folder)).await.expect("connect to the socket");
        early.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("write to the socket");
        until(|| old.says("a successor connected")).await;
        drop(early);
        until(|| old.says("the successor ended before it could serve")).await;
        load.more(50).await;
        let new = Program::start(&folder, &text).await;
        until(|| old.says("a successor serves")).await;
        new.kill();
        assert_eq!(new.ends().await, None);
        until(|| old.says("the successor has ended, serving again")).await;
        // What the dead process had taken is lost, and its callers may hear of that later than the old process of its end; who
        // comes now is served.
        load.settled().await;
        load.failed.borrow_mut().clear();
        load.more(50).await;
        load.end().await;
        assert!(is_ready(old.address).await && is_ready(old.ops_address).await);
        // And it may have another.
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        old.exits_cleanly().await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against two that take over at once: together they would hold more than one process may.
#[test]
fn second_successor_is_rejected_during_a_handover() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("two");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        until(|| meeting(&folder).exists()).await;
        let mut first = UnixStream::connect(meeting(&folder)).await.expect("connect to the socket");
        first.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("write to the socket");
        let mut given = String::new();
        tokio::io::BufReader::new(&mut first).read_line(&mut given).await.expect("read a line");
        assert!(given.contains("\"given\"") && given.contains(&up.address.to_string()), "{given}");
        let path = folder.join("second.json");
        std::fs::write(&path, &text).expect("access the test file");
        let mut second = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        second.args(["serve", "--config"]).arg(&path).env("TMPDIR", &folder).env_remove("NODE_OPS");
        let mut second = second.stderr(Stdio::piped()).spawn().expect("start the balancer");
        until(|| second.try_wait().expect("poll the process").is_some()).await;
        let out = second.wait_with_output().expect("collect the output");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        assert!(text.contains("another process takes over already"), "{text}");
        // Strangers of another version, or who speak something else, get nothing.
        drop(first);
        until(|| old.says("the successor ended before it could serve")).await;
        for (word, answer) in [("{\"take\":{\"version\":9}}\n", "refused"), ("GET / HTTP/1.1\r\n\r\n", "")] {
            let mut stranger = UnixStream::connect(meeting(&folder)).await.expect("connect to the socket");
            stranger.write_all(word.as_bytes()).await.expect("write to the socket");
            let mut said = String::new();
            stranger.read_to_string(&mut said).await.expect("read to the end of the connection");
            assert!(said.contains(answer) && !said.contains("given"), "{said}");
        }
        assert!(is_ready(old.address).await);
    });
}

/// Guards against a start that fails because of what lies in the folder: left by a killed process, a foreign file, a
/// process that answers nothing, a folder too deep. Nobody's file is removed but a dead process's own.
#[test]
fn start_succeeds_despite_unusable_handover_socket() {
    run(async {
        let up = upstream().await;
        let text = config_json(&[up.address], up.address, &[]);
        let killed = temp_dir("killed");
        let old = Program::start(&killed, &text).await;
        until(|| meeting(&killed).exists()).await;
        old.kill();
        assert_eq!(old.ends().await, None);
        assert!(meeting(&killed).exists());
        let new = Program::start(&killed, &text).await;
        until_ready(new.address).await;
        assert!(new.says("left by a process that has ended"));
        // It is where the next one comes to.
        until(|| std::os::unix::net::UnixStream::connect(meeting(&killed)).is_ok()).await;
        let next = Program::start(&killed, &text).await;
        until_ready(next.ops_address).await;
        assert_eq!(next.address, new.address);

        let foreign = temp_dir("foreign");
        std::fs::write(meeting(&foreign), "somebody's").expect("access the test file");
        let alone = Program::start(&foreign, &text).await;
        until_ready(alone.address).await;
        until(|| alone.says("no handover to a successor is possible")).await;
        assert_eq!(std::fs::read(meeting(&foreign)).expect("connect to the socket"), b"somebody's");

        let dumb = temp_dir("dumb");
        let silent = UnixListener::bind(meeting(&dumb)).expect("bind the socket");
        let alone = Program::start(&dumb, &text).await;
        until_ready(alone.address).await;
        assert!(alone.says("no handover, starting without a predecessor: no reply"));
        assert!(silent.accept().await.is_ok() && meeting(&dumb).exists());

        let long = temp_dir(&"long".repeat(30));
        let alone = Program::start(&long, &text).await;
        until_ready(alone.address).await;
        assert!(alone.says("is too long a path"));
    });
}

/// How many sockets listen at this address.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    let local = format!(":{:04X} 00000000:0000 0A ", at.port());
    table.lines().filter(|line| line.contains(&local)).count()
}

/// Discovery's script: the list with this upstream, once.
fn lists(up: SocketAddr) -> impl Fn(usize, &common::Message) -> Deed {
    let list = format!(r#"{{"version":9,"full":true,"servers":[{}]}}"#, entry("s-0", up, "z", "SERVING"));
    move |n, _| if n == 0 { ok(&list) } else { Deed::Silence }
}

/// Where nothing can be handed over both listen at the address; the new process serves by a list that discovery told.
#[test]
fn processes_share_the_address_when_handover_fails() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("beside");
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket.set_reuseport(true).expect("set SO_REUSEPORT");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
        let old = socket.listen(8).expect("listen on the socket");
        let at = old.local_addr().expect("local address");
        let listen = format!("\"listen\":\"{at}\"");
        let discovery = stand_in(lists(up.address)).await;
        let text = config_json(&[], discovery.address, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())]);
        let file = format!("fernroute-n0-{}.sock", at.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("access the test file");
        let new = Program::start(&folder, &text).await;
        assert_eq!(new.address, at);
        until_ready(new.ops_address).await;
        drop(old);
        // Another test may be starting a program this moment: what it forked off has the socket until it runs that.
        until(|| listeners(at) == 1).await;
        let load = Load::start(4, new.address);
        load.more(50).await;
        load.end().await;
    });
}

/// Guards against a drain that outlives the process that was drained, a reload that unsettles an upgrade, and an end
/// without a successor that is not what it was.
#[test]
fn upgrade_during_drain_with_reload_and_killed_old_process() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("drained");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        until(|| meeting(&folder).exists()).await;
        assert_eq!(told(old.ops_address, "POST", "/-/drain").await, 200);
        assert!(!is_ready(old.address).await);
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        old.reload(&text);
        new.reload(&text);
        until(|| new.says("reloaded")).await;
        assert!(is_ready(new.address).await);
        // Killed in the middle: its file is the new process's by now.
        old.kill();
        old.ends().await;
        until(|| new.says("the old process has ended")).await;
        until(|| meeting(&folder).exists()).await;
        let load = Load::start(4, new.address);
        load.more(50).await;
        let last = Program::start(&folder, &text).await;
        until_ready(last.ops_address).await;
        new.terminate();
        load.more(50).await;
        new.exits_cleanly().await;
        load.end().await;
        last.terminate();
        last.exits_cleanly().await;
    });
}

/// Guards against callers of a process that serves who wait, unread, in the queue of one that does not serve yet. Both
/// are real; neither can hand over, and discovery tells the new one nothing.
#[test]
fn starting_process_does_not_accept_callers() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("queue");
        let at = TcpSocket::new_v4().expect("create a socket");
        at.set_reuseport(true).expect("set SO_REUSEPORT");
        at.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
        // Bound for as long as the test runs, so that nobody else gets the port; it never listens.
        let address = at.local_addr().expect("local address");
        let listen = format!("\"listen\":\"{address}\"");
        let file = format!("fernroute-n0-{}.sock", address.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("access the test file");
        let told = stand_in(lists(up.address)).await;
        let silent = stand_in(|_, _| Deed::Silence).await;
        let list_of = |discovery| {
            config_json(&[up.address], discovery, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())])
        };
        let old = Program::start(&folder, &list_of(told.address)).await;
        let new = Program::launch(&folder, &list_of(silent.address), Some(&folder)).await;
        let (mut asked, mut wrong) = (0, Vec::new());
        while !new.says("serving on ") {
            assert!(listeners(address) == 1 || new.says("serving on "), "two queues, and one is served from");
            let rpc = rpc("GET", "/look", "Connection: close\r\n").replace("4000", "500");
            let answer = tokio::time::timeout(Duration::from_secs(1), ask(address, rpc)).await;
            asked += 1;
            match answer {
                Ok(answer) if answer.status() == 200 => {}
                Ok(answer) => wrong.push(answer.head),
                Err(_) => wrong.push("no answer in twice its time".to_owned()),
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(wrong.is_empty() && asked > 20, "{asked}: {wrong:?}");
        let new = new.until_serving().await;
        assert!(new.address == address && is_ready(old.ops_address).await && is_ready(new.ops_address).await);
        drop(at);
    });
}

/// Guards against a start that keeps callers waiting for discovery where no other process is, and against two processes
/// that don't find each other, because no `$TMPDIR` says where.
#[test]
fn handover_works_without_tmpdir() {
    run(async {
        let (up, silent) = (upstream().await, stand_in(|_, _| Deed::Silence).await);
        let folder = temp_dir("plain");
        let name = format!("\"name\":\"plain-{}\"", std::process::id());
        let text = config_json(&[up.address], silent.address, &[("\"name\":\"n0\"", name.as_str())]);
        let old = Program::launch(&folder, &text, None).await.until_serving().await;
        let first = ask(old.address, rpc("GET", "/look", "").replace("4000", "500")).await;
        assert_eq!(first.status(), 200, "{}", first.head);
        assert!(!old.says("starting without a predecessor"));
        let load = Load::start(8, old.address);
        load.more(100).await;
        let new = Program::launch(&folder, &text, None).await.until_serving().await;
        assert!(new.says("taking over") && new.address == old.address);
        load.more(100).await;
        old.exits_cleanly().await;
        load.more(100).await;
        load.end().await;
        new.terminate();
        new.exits_cleanly().await;
    });
}

/// Guards against a queue that nobody serves from: the old process is killed after it gave its socket away, before the
/// new one has a list.
#[test]
fn handed_over_socket_is_served_after_the_old_process_dies() {
    run(async {
        let silent = stand_in(|_, _| Deed::Silence).await;
        let folder = temp_dir("given");
        let text = config_json(&[], silent.address, &[]);
        let old = Program::start(&folder, &text).await;
        until(|| meeting(&folder).exists()).await;
        let new = Program::launch(&folder, &text, Some(&folder)).await;
        until(|| new.says("taking over")).await;
        assert!(!new.says("serving on ") && !is_ready(new.ops_address).await);
        old.kill();
        old.ends().await;
        let new = new.until_serving().await;
        // No upstream is known: that is an answer too.
        assert_eq!(ask(new.address, rpc("GET", "/look", "")).await.status(), 503);
    });
}
