//! Upgrades under load, in which a new balancer process takes over from the old one, and their failures. The tests run real
//! processes and assert counts and states, not times.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    config_json, is_ready, list_entry, ok, read_message, request_status, rpc_head, run, send_and_read,
    start_stub, until_ready, wait_until, CallerLoad, Reply, StubServer,
};
use process::{temp_dir, Program};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, UnixListener, UnixStream};

/// The handover socket of a balancer with the tests' configuration.
fn handover_socket(folder: &Path) -> PathBuf {
    folder.join("fernroute-n0-127.0.0.1_0.sock")
}

async fn upstream() -> Rc<StubServer> {
    start_stub(|_, message| if message.head.contains("/silent") { Reply::NoReply } else { ok("whole") }).await
}

/// Guards against callers that are refused, reset or unanswered in two upgrades in a row. Discovery does not answer, so the new
/// process gets the target list from the old one.
#[test]
fn upgrade_is_invisible_to_callers() {
    run(async {
        let (up, dead) = (upstream().await, start_stub(|_, _| Reply::NoReply).await);
        let folder = temp_dir("upgrade");
        let mut old = Program::start(&folder, &config_json(&[up.address], dead.address, &[])).await;
        let load = CallerLoad::start(16, old.address);
        load.wait_for_answers(200).await;
        for _ in 0..2 {
            // The new process's file has no upstreams, and discovery does not answer.
            let new = Program::start(&folder, &config_json(&[], dead.address, &[])).await;
            assert_eq!(new.address, old.address);
            until_ready(new.ops_address).await;
            old.terminate();
            load.wait_for_answers(200).await;
            old.exits_cleanly().await;
            assert!(is_ready(new.address).await);
            old = new;
            load.wait_for_answers(200).await;
        }
        load.finish().await;
        // An idle connection may be closed just as its caller writes to it.
        assert!(load.closed_on_write.get() <= 2, "{}", load.closed_on_write.get());
        old.terminate();
        old.exits_cleanly().await;
        assert!(!handover_socket(&folder).exists());
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}

/// Guards against losing answers with the old process, and against an old process that does not exit by itself.
#[test]
fn old_process_answers_its_rpcs_and_exits() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("early");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        let mut open =
            common::send(old.address, rpc_head("GET", "/look/silent", "").replace("4000", "900")).await;
        wait_until(|| up.received.borrow().iter().any(|m| m.head.contains("/silent"))).await;
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        wait_until(|| old.log_contains("a successor serves")).await;
        assert!(
            !is_ready(old.ops_address).await
                && request_status(old.ops_address, "POST", "/-/resume").await == 409
        );
        let last = read_message(&mut open).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        // No signal is sent.
        old.exits_cleanly().await;
        wait_until(|| new.log_contains("the old process has ended")).await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against an outage when a successor dies, either before it serves or after.
#[test]
fn old_process_resumes_when_its_successor_dies() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("dies");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| handover_socket(&folder).exists()).await;
        let load = CallerLoad::start(4, old.address);
        let mut early = UnixStream::connect(handover_socket(&folder)).await.expect("connect to the socket");
        early.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("write to the socket");
        wait_until(|| old.log_contains("a successor connected")).await;
        drop(early);
        wait_until(|| old.log_contains("the successor ended before it could serve")).await;
        load.wait_for_answers(50).await;
        let new = Program::start(&folder, &text).await;
        wait_until(|| old.log_contains("a successor serves")).await;
        new.kill();
        assert_eq!(new.wait_for_exit().await, None);
        wait_until(|| old.log_contains("the successor has ended, serving again")).await;
        // RPCs in the dead process are lost, and their callers may notice later than the old process does; callers that come now
        // are served.
        load.wait_for_in_flight().await;
        load.failures.borrow_mut().clear();
        load.wait_for_answers(50).await;
        load.finish().await;
        assert!(is_ready(old.address).await && is_ready(old.ops_address).await);
        // Another successor may take over.
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        old.exits_cleanly().await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against two simultaneous successors, which would exceed the resource limits of one balancer.
#[test]
fn second_successor_is_rejected_during_a_handover() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("two");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| handover_socket(&folder).exists()).await;
        let mut first = UnixStream::connect(handover_socket(&folder)).await.expect("connect to the socket");
        first.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("write to the socket");
        let mut given = String::new();
        tokio::io::BufReader::new(&mut first).read_line(&mut given).await.expect("read a line");
        assert!(given.contains("\"given\"") && given.contains(&up.address.to_string()), "{given}");
        let path = folder.join("second.json");
        std::fs::write(&path, &text).expect("access the test file");
        let mut second = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        second.args(["serve", "--config"]).arg(&path).env("TMPDIR", &folder).env_remove("NODE_OPS");
        let mut second = second.stderr(Stdio::piped()).spawn().expect("start the second successor");
        wait_until(|| second.try_wait().expect("poll the process").is_some()).await;
        let out = second.wait_with_output().expect("collect the output");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        assert!(text.contains("another process takes over already"), "{text}");
        // A process with another protocol version, or with another protocol, gets no handover.
        drop(first);
        wait_until(|| old.log_contains("the successor ended before it could serve")).await;
        for (word, answer) in [("{\"take\":{\"version\":9}}\n", "refused"), ("GET / HTTP/1.1\r\n\r\n", "")] {
            let mut peer =
                UnixStream::connect(handover_socket(&folder)).await.expect("connect to the socket");
            peer.write_all(word.as_bytes()).await.expect("write to the socket");
            let mut reply = String::new();
            peer.read_to_string(&mut reply).await.expect("read to the end of the connection");
            assert!(reply.contains(answer) && !reply.contains("given"), "{reply}");
        }
        assert!(is_ready(old.address).await);
    });
}

/// Guards against a start that fails because of the state of the handover socket: left behind by a killed process, a file that is
/// no socket, a process that does not answer, a path that is too long. Only a dead process's socket may be removed.
#[test]
fn start_succeeds_despite_unusable_handover_socket() {
    run(async {
        let up = upstream().await;
        let text = config_json(&[up.address], up.address, &[]);
        let killed = temp_dir("killed");
        let old = Program::start(&killed, &text).await;
        wait_until(|| handover_socket(&killed).exists()).await;
        old.kill();
        assert_eq!(old.wait_for_exit().await, None);
        assert!(handover_socket(&killed).exists());
        let new = Program::start(&killed, &text).await;
        until_ready(new.address).await;
        assert!(new.log_contains("left by a process that has ended"));
        // The next process connects to the socket.
        wait_until(|| std::os::unix::net::UnixStream::connect(handover_socket(&killed)).is_ok()).await;
        let next = Program::start(&killed, &text).await;
        until_ready(next.ops_address).await;
        assert_eq!(next.address, new.address);

        let foreign = temp_dir("foreign");
        std::fs::write(handover_socket(&foreign), "somebody's").expect("access the test file");
        let alone = Program::start(&foreign, &text).await;
        until_ready(alone.address).await;
        wait_until(|| alone.log_contains("no handover to a successor is possible")).await;
        assert_eq!(std::fs::read(handover_socket(&foreign)).expect("read the foreign file"), b"somebody's");

        let unresponsive = temp_dir("dumb");
        let silent = UnixListener::bind(handover_socket(&unresponsive)).expect("bind the socket");
        let alone = Program::start(&unresponsive, &text).await;
        until_ready(alone.address).await;
        assert!(alone.log_contains("no handover, starting without a predecessor: no reply"));
        assert!(silent.accept().await.is_ok() && handover_socket(&unresponsive).exists());

        let long = temp_dir(&"long".repeat(30));
        let alone = Program::start(&long, &text).await;
        until_ready(alone.address).await;
        assert!(alone.log_contains("is too long a path"));
    });
}

/// The number of sockets that listen on this address's port.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    let local = format!(":{:04X} 00000000:0000 0A ", at.port());
    table.lines().filter(|line| line.contains(&local)).count()
}

/// A discovery script that sends a list with this upstream once.
fn list_once(up: SocketAddr) -> impl Fn(usize, &common::Message) -> Reply {
    let list =
        format!(r#"{{"version":9,"full":true,"servers":[{}]}}"#, list_entry("s-0", up, "z", "SERVING"));
    move |n, _| if n == 0 { ok(&list) } else { Reply::NoReply }
}

/// Without a handover both processes listen on the address, and the new one uses the list from discovery.
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
        let discovery = start_stub(list_once(up.address)).await;
        let text = config_json(&[], discovery.address, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())]);
        let file = format!("fernroute-n0-{}.sock", at.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("access the test file");
        let new = Program::start(&folder, &text).await;
        assert_eq!(new.address, at);
        until_ready(new.ops_address).await;
        drop(old);
        // A child process that another test is starting holds a copy of the socket from fork until exec.
        wait_until(|| listeners(at) == 1).await;
        let load = CallerLoad::start(4, new.address);
        load.wait_for_answers(50).await;
        load.finish().await;
    });
}

/// Guards against a drain that is carried over to the successor, against a reload that disturbs an upgrade, and against a changed
/// shutdown where there is no successor.
#[test]
fn upgrade_during_drain_with_reload_and_killed_old_process() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("drained");
        let text = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| handover_socket(&folder).exists()).await;
        assert_eq!(request_status(old.ops_address, "POST", "/-/drain").await, 200);
        assert!(!is_ready(old.address).await);
        let new = Program::start(&folder, &text).await;
        until_ready(new.ops_address).await;
        old.reload(&text);
        new.reload(&text);
        wait_until(|| new.log_contains("reloaded")).await;
        assert!(is_ready(new.address).await);
        // Killed during its shutdown: the handover socket already belongs to the new process.
        old.kill();
        old.wait_for_exit().await;
        wait_until(|| new.log_contains("the old process has ended")).await;
        wait_until(|| handover_socket(&folder).exists()).await;
        let load = CallerLoad::start(4, new.address);
        load.wait_for_answers(50).await;
        let last = Program::start(&folder, &text).await;
        until_ready(last.ops_address).await;
        new.terminate();
        load.wait_for_answers(50).await;
        new.exits_cleanly().await;
        load.finish().await;
        last.terminate();
        last.exits_cleanly().await;
    });
}

/// Guards against callers that wait in the accept queue of a process that does not serve yet, while another one does. Neither
/// process can hand over, and discovery does not answer the new one.
#[test]
fn starting_process_does_not_accept_callers() {
    run(async {
        let up = upstream().await;
        let folder = temp_dir("queue");
        let at = TcpSocket::new_v4().expect("create a socket");
        at.set_reuseport(true).expect("set SO_REUSEPORT");
        at.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
        // Bound for the whole test, to reserve the port; it never listens.
        let address = at.local_addr().expect("local address");
        let listen = format!("\"listen\":\"{address}\"");
        let file = format!("fernroute-n0-{}.sock", address.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("access the test file");
        let discovery = start_stub(list_once(up.address)).await;
        let silent = start_stub(|_, _| Reply::NoReply).await;
        let list_of = |discovery| {
            config_json(&[up.address], discovery, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())])
        };
        let old = Program::start(&folder, &list_of(discovery.address)).await;
        let new = Program::launch(&folder, &list_of(silent.address), Some(&folder)).await;
        let (mut asked, mut failures) = (0, Vec::new());
        while !new.log_contains("serving on ") {
            assert!(
                listeners(address) == 1 || new.log_contains("serving on "),
                "two listeners while only one process serves"
            );
            let rpc = rpc_head("GET", "/look", "Connection: close\r\n").replace("4000", "500");
            let answer = tokio::time::timeout(Duration::from_secs(1), send_and_read(address, rpc)).await;
            asked += 1;
            match answer {
                Ok(answer) if answer.status() == 200 => {}
                Ok(answer) => failures.push(answer.head),
                Err(_) => failures.push("no answer within twice the deadline".to_owned()),
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(failures.is_empty() && asked > 20, "{asked}: {failures:?}");
        let new = new.until_serving().await;
        assert!(new.address == address && is_ready(old.ops_address).await && is_ready(new.ops_address).await);
        drop(at);
    });
}

/// Guards against a first process that keeps callers waiting for discovery, and against two processes that do not find each
/// other because `$TMPDIR` is not set.
#[test]
fn handover_works_without_tmpdir() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await);
        let folder = temp_dir("plain");
        let name = format!("\"name\":\"plain-{}\"", std::process::id());
        let text = config_json(&[up.address], silent.address, &[("\"name\":\"n0\"", name.as_str())]);
        let old = Program::launch(&folder, &text, None).await.until_serving().await;
        let first = send_and_read(old.address, rpc_head("GET", "/look", "").replace("4000", "500")).await;
        assert_eq!(first.status(), 200, "{}", first.head);
        assert!(!old.log_contains("starting without a predecessor"));
        let load = CallerLoad::start(8, old.address);
        load.wait_for_answers(100).await;
        let new = Program::launch(&folder, &text, None).await.until_serving().await;
        assert!(new.log_contains("taking over") && new.address == old.address);
        load.wait_for_answers(100).await;
        old.exits_cleanly().await;
        load.wait_for_answers(100).await;
        load.finish().await;
        new.terminate();
        new.exits_cleanly().await;
    });
}

/// Guards against a listening socket that nobody serves: the old process is killed after it handed over its socket, before the
/// new one has a list.
#[test]
fn handed_over_socket_is_served_after_the_old_process_dies() {
    run(async {
        let silent = start_stub(|_, _| Reply::NoReply).await;
        let folder = temp_dir("given");
        let text = config_json(&[], silent.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| handover_socket(&folder).exists()).await;
        let new = Program::launch(&folder, &text, Some(&folder)).await;
        wait_until(|| new.log_contains("taking over")).await;
        assert!(!new.log_contains("serving on ") && !is_ready(new.ops_address).await);
        old.kill();
        old.wait_for_exit().await;
        let new = new.until_serving().await;
        // No upstream is known, which is answered with 503.
        assert_eq!(send_and_read(new.address, rpc_head("GET", "/look", "")).await.status(), 503);
    });
}
