//! A new process of the balancer takes over under load, and all that can go wrong with it. Real processes; what is
//! asserted are counts and states, not times.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    is_ready, list_entry, ok, page, read_message, request_status, rpc_head, run, send_and_read, start_stub,
    until_ready, wait_until, CallerLoad, Reply, StubServer,
};
use process::{folder, Program};
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

async fn upstream() -> Rc<StubServer> {
    start_stub(|_, message| if message.head.contains("/silent") { Reply::NoReply } else { ok("whole") }).await
}

/// Guards against callers refused, reset or unanswered as one process takes over from another, twice in a row; the list
/// that discovery has not told the new process comes from the old one.
#[test]
fn callers_notice_nothing_of_an_upgrade() {
    run(async {
        let (up, dead) = (upstream().await, start_stub(|_, _| Reply::NoReply).await);
        let folder = folder("upgrade");
        let mut old = Program::start(&folder, &page(&[up.address], dead.address, &[])).await;
        let load = CallerLoad::start(16, old.address);
        load.wait_for_answers(200).await;
        for _ in 0..2 {
            // Its file knows no upstream, and discovery says nothing.
            let new = Program::start(&folder, &page(&[], dead.address, &[])).await;
            assert_eq!(new.address, old.address);
            until_ready(new.door).await;
            old.term();
            load.wait_for_answers(200).await;
            old.ends_well().await;
            assert!(is_ready(new.address).await);
            old = new;
            load.wait_for_answers(200).await;
        }
        load.finish().await;
        // Of each caller's connection the one that was idle may be closed as it writes.
        assert!(load.closed_on_write.get() <= 2, "{}", load.closed_on_write.get());
        old.term();
        old.ends_well().await;
        assert!(!meeting(&folder).exists());
        std::fs::remove_dir_all(folder).expect("it was there");
    });
}

/// Guards against answers that are lost with the old process, and against an old process that stays for its own sake.
#[test]
fn the_old_process_answers_what_it_took_and_ends_by_itself() {
    run(async {
        let up = upstream().await;
        let folder = folder("early");
        let text = page(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        let mut open =
            common::send(old.address, rpc_head("GET", "/look/silent", "").replace("4000", "900")).await;
        wait_until(|| up.received.borrow().iter().any(|m| m.head.contains("/silent"))).await;
        let new = Program::start(&folder, &text).await;
        until_ready(new.door).await;
        wait_until(|| old.log_contains("a successor serves")).await;
        assert!(!is_ready(old.door).await && request_status(old.door, "POST", "/-/resume").await == 409);
        let last = read_message(&mut open).await.expect("an answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        // Nobody tells it to.
        old.ends_well().await;
        wait_until(|| new.log_contains("the old process has ended")).await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against a balancer that nobody serves because its successor died: before it could serve, and after.
#[test]
fn a_successor_that_dies_gives_back_what_it_got() {
    run(async {
        let up = upstream().await;
        let folder = folder("dies");
        let text = page(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| meeting(&folder).exists()).await;
        let load = CallerLoad::start(4, old.address);
        let mut early = UnixStream::connect(meeting(&folder)).await.expect("it is there");
        early.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("it reads");
        wait_until(|| old.log_contains("a successor connected")).await;
        drop(early);
        wait_until(|| old.log_contains("the successor ended before it could serve")).await;
        load.wait_for_answers(50).await;
        let new = Program::start(&folder, &text).await;
        wait_until(|| old.log_contains("a successor serves")).await;
        new.kill();
        assert_eq!(new.wait_for_exit().await, None);
        wait_until(|| old.log_contains("the successor has ended, serving again")).await;
        // What the dead process had taken is lost, and its callers may hear of that later than the old process of its end; who
        // comes now is served.
        load.wait_for_in_flight().await;
        load.failures.borrow_mut().clear();
        load.wait_for_answers(50).await;
        load.finish().await;
        assert!(is_ready(old.address).await && is_ready(old.door).await);
        // And it may have another.
        let new = Program::start(&folder, &text).await;
        until_ready(new.door).await;
        old.ends_well().await;
        assert!(is_ready(new.address).await);
    });
}

/// Guards against two that take over at once: together they would hold more than one process may.
#[test]
fn a_second_successor_is_refused_while_the_first_comes() {
    run(async {
        let up = upstream().await;
        let folder = folder("two");
        let text = page(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| meeting(&folder).exists()).await;
        let mut first = UnixStream::connect(meeting(&folder)).await.expect("it is there");
        first.write_all(b"{\"take\":{\"version\":1}}\n").await.expect("it reads");
        let mut given = String::new();
        tokio::io::BufReader::new(&mut first).read_line(&mut given).await.expect("a line");
        assert!(given.contains("\"given\"") && given.contains(&up.address.to_string()), "{given}");
        let path = folder.join("second.json");
        std::fs::write(&path, &text).expect("a file");
        let mut second = Command::new(env!("CARGO_BIN_EXE_fernroute"));
        second.args(["serve", "--config"]).arg(&path).env("TMPDIR", &folder).env_remove("NODE_OPS");
        let mut second = second.stderr(Stdio::piped()).spawn().expect("it starts");
        wait_until(|| second.try_wait().expect("its state").is_some()).await;
        let out = second.wait_with_output().expect("it has ended");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        assert!(text.contains("another process takes over already"), "{text}");
        // Strangers of another version, or who speak something else, get nothing.
        drop(first);
        wait_until(|| old.log_contains("the successor ended before it could serve")).await;
        for (word, answer) in [("{\"take\":{\"version\":9}}\n", "refused"), ("GET / HTTP/1.1\r\n\r\n", "")] {
            let mut stranger = UnixStream::connect(meeting(&folder)).await.expect("it is there");
            stranger.write_all(word.as_bytes()).await.expect("it reads");
            let mut said = String::new();
            stranger.read_to_string(&mut said).await.expect("an end");
            assert!(said.contains(answer) && !said.contains("given"), "{said}");
        }
        assert!(is_ready(old.address).await);
    });
}

/// Guards against a start that fails because of what lies in the folder: left by a killed process, a foreign file, a
/// process that answers nothing, a folder too deep. Nobody's file is removed but a dead process's own.
#[test]
fn whatever_lies_in_the_way_a_process_starts_and_serves() {
    run(async {
        let up = upstream().await;
        let text = page(&[up.address], up.address, &[]);
        let killed = folder("killed");
        let old = Program::start(&killed, &text).await;
        wait_until(|| meeting(&killed).exists()).await;
        old.kill();
        assert_eq!(old.wait_for_exit().await, None);
        assert!(meeting(&killed).exists());
        let new = Program::start(&killed, &text).await;
        until_ready(new.address).await;
        assert!(new.log_contains("left by a process that has ended"));
        // It is where the next one comes to.
        wait_until(|| std::os::unix::net::UnixStream::connect(meeting(&killed)).is_ok()).await;
        let next = Program::start(&killed, &text).await;
        until_ready(next.door).await;
        assert_eq!(next.address, new.address);

        let foreign = folder("foreign");
        std::fs::write(meeting(&foreign), "somebody's").expect("a file");
        let alone = Program::start(&foreign, &text).await;
        until_ready(alone.address).await;
        wait_until(|| alone.log_contains("no handover to a successor is possible")).await;
        assert_eq!(std::fs::read(meeting(&foreign)).expect("it is there"), b"somebody's");

        let dumb = folder("dumb");
        let silent = UnixListener::bind(meeting(&dumb)).expect("a place");
        let alone = Program::start(&dumb, &text).await;
        until_ready(alone.address).await;
        assert!(alone.log_contains("no handover, starting without a predecessor: no reply"));
        assert!(silent.accept().await.is_ok() && meeting(&dumb).exists());

        let long = folder(&"long".repeat(30));
        let alone = Program::start(&long, &text).await;
        until_ready(alone.address).await;
        assert!(alone.log_contains("is too long a path"));
    });
}

/// How many sockets listen at this address.
fn listeners(at: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the machine's table");
    let local = format!(":{:04X} 00000000:0000 0A ", at.port());
    table.lines().filter(|line| line.contains(&local)).count()
}

/// Discovery's script: the list with this upstream, once.
fn lists(up: SocketAddr) -> impl Fn(usize, &common::Message) -> Reply {
    let list =
        format!(r#"{{"version":9,"full":true,"servers":[{}]}}"#, list_entry("s-0", up, "z", "SERVING"));
    move |n, _| if n == 0 { ok(&list) } else { Reply::NoReply }
}

/// Where nothing can be handed over both listen at the address; the new process serves by a list that discovery told.
#[test]
fn two_listen_at_one_address_where_handing_over_fails() {
    run(async {
        let up = upstream().await;
        let folder = folder("beside");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseport(true).expect("it may be shared");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let old = socket.listen(8).expect("it listens");
        let at = old.local_addr().expect("an address");
        let listen = format!("\"listen\":\"{at}\"");
        let discovery = start_stub(lists(up.address)).await;
        let text = page(&[], discovery.address, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())]);
        let file = format!("fernroute-n0-{}.sock", at.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("a file");
        let new = Program::start(&folder, &text).await;
        assert_eq!(new.address, at);
        until_ready(new.door).await;
        drop(old);
        // Another test may be starting a program this moment: what it forked off has the socket until it runs that.
        wait_until(|| listeners(at) == 1).await;
        let load = CallerLoad::start(4, new.address);
        load.wait_for_answers(50).await;
        load.finish().await;
    });
}

/// Guards against a drain that outlives the process that was drained, a reload that unsettles an upgrade, and an end
/// without a successor that is not what it was.
#[test]
fn an_upgrade_within_a_drain_a_reload_at_either_and_a_killed_old_process() {
    run(async {
        let up = upstream().await;
        let folder = folder("drained");
        let text = page(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| meeting(&folder).exists()).await;
        assert_eq!(request_status(old.door, "POST", "/-/drain").await, 200);
        assert!(!is_ready(old.address).await);
        let new = Program::start(&folder, &text).await;
        until_ready(new.door).await;
        old.reload(&text);
        new.reload(&text);
        wait_until(|| new.log_contains("reloaded")).await;
        assert!(is_ready(new.address).await);
        // Killed in the middle: its file is the new process's by now.
        old.kill();
        old.wait_for_exit().await;
        wait_until(|| new.log_contains("the old process has ended")).await;
        wait_until(|| meeting(&folder).exists()).await;
        let load = CallerLoad::start(4, new.address);
        load.wait_for_answers(50).await;
        let last = Program::start(&folder, &text).await;
        until_ready(last.door).await;
        new.term();
        load.wait_for_answers(50).await;
        new.ends_well().await;
        load.finish().await;
        last.term();
        last.ends_well().await;
    });
}

/// Guards against callers of a process that serves who wait, unread, in the queue of one that does not serve yet. Both
/// are real; neither can hand over, and discovery tells the new one nothing.
#[test]
fn nobody_waits_in_the_queue_of_a_process_that_does_not_serve_yet() {
    run(async {
        let up = upstream().await;
        let folder = folder("queue");
        let at = TcpSocket::new_v4().expect("a socket");
        at.set_reuseport(true).expect("it may be shared");
        at.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        // Bound for as long as the test runs, so that nobody else gets the port; it never listens.
        let address = at.local_addr().expect("an address");
        let listen = format!("\"listen\":\"{address}\"");
        let file = format!("fernroute-n0-{}.sock", address.to_string().replace(':', "_"));
        std::fs::write(folder.join(file), "somebody's").expect("a file");
        let told = start_stub(lists(up.address)).await;
        let silent = start_stub(|_, _| Reply::NoReply).await;
        let list_of =
            |discovery| page(&[up.address], discovery, &[("\"listen\":\"127.0.0.1:0\"", listen.as_str())]);
        let old = Program::start(&folder, &list_of(told.address)).await;
        let new = Program::launch(&folder, &list_of(silent.address), Some(&folder)).await;
        let (mut asked, mut wrong) = (0, Vec::new());
        while !new.log_contains("serving on ") {
            assert!(
                listeners(address) == 1 || new.log_contains("serving on "),
                "two queues, and one is served from"
            );
            let rpc = rpc_head("GET", "/look", "Connection: close\r\n").replace("4000", "500");
            let answer = tokio::time::timeout(Duration::from_secs(1), send_and_read(address, rpc)).await;
            asked += 1;
            match answer {
                Ok(answer) if answer.status() == 200 => {}
                Ok(answer) => wrong.push(answer.head),
                Err(_) => wrong.push("no answer in twice its time".to_owned()),
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(wrong.is_empty() && asked > 20, "{asked}: {wrong:?}");
        let new = new.serving().await;
        assert!(new.address == address && is_ready(old.door).await && is_ready(new.door).await);
        drop(at);
    });
}

/// Guards against a start that keeps callers waiting for discovery where no other process is, and against two processes
/// that don't find each other, because no `$TMPDIR` says where.
#[test]
fn processes_without_a_tmpdir_meet_all_the_same() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await);
        let folder = folder("plain");
        let name = format!("\"name\":\"plain-{}\"", std::process::id());
        let text = page(&[up.address], silent.address, &[("\"name\":\"n0\"", name.as_str())]);
        let old = Program::launch(&folder, &text, None).await.serving().await;
        let first = send_and_read(old.address, rpc_head("GET", "/look", "").replace("4000", "500")).await;
        assert_eq!(first.status(), 200, "{}", first.head);
        assert!(!old.log_contains("starting without a predecessor"));
        let load = CallerLoad::start(8, old.address);
        load.wait_for_answers(100).await;
        let new = Program::launch(&folder, &text, None).await.serving().await;
        assert!(new.log_contains("taking over") && new.address == old.address);
        load.wait_for_answers(100).await;
        old.ends_well().await;
        load.wait_for_answers(100).await;
        load.finish().await;
        new.term();
        new.ends_well().await;
    });
}

/// Guards against a queue that nobody serves from: the old process is killed after it gave its socket away, before the
/// new one has a list.
#[test]
fn a_socket_given_by_a_process_that_dies_at_once_is_served_from() {
    run(async {
        let silent = start_stub(|_, _| Reply::NoReply).await;
        let folder = folder("given");
        let text = page(&[], silent.address, &[]);
        let old = Program::start(&folder, &text).await;
        wait_until(|| meeting(&folder).exists()).await;
        let new = Program::launch(&folder, &text, Some(&folder)).await;
        wait_until(|| new.log_contains("taking over")).await;
        assert!(!new.log_contains("serving on ") && !is_ready(new.door).await);
        old.kill();
        old.wait_for_exit().await;
        let new = new.serving().await;
        // No upstream is known: that is an answer too.
        assert_eq!(send_and_read(new.address, rpc_head("GET", "/look", "")).await.status(), 503);
    });
}
