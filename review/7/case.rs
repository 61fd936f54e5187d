//! In an upgrade both processes of a balancer together must stay within its memory.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1_024;
/// Clients before the upgrade, and those that come after it: together a third of the descriptors at most.
const CLIENTS: usize = 200;
const LATER_CLIENTS: usize = 140;
const ANSWER_BYTES: usize = 8 << 20;
/// A client reads 16 KiB each 0.1 s: 164 kB a second.
const READ_BYTES: usize = 16 * 1024;
const READ_EVERY: Duration = Duration::from_millis(100);
/// The longest deadline, 3 s at most, and 0.7 s: the old process may live so long after the new one's yes.
const OLD_PROCESS: Duration = Duration::from_millis(3_700);

fn settings() -> String {
    r#"{"n-instances":1,"me":0,"layer":0,"zone":"bog-1","zones":["bog-1"],"quantum-s":0.005,
    "methods":[{"name":"feed-fetch","effect":"read_like","group":"all","window-s":5.0,"soft-deadline-s":2.5,"hard-deadline-s":6.0,"gain":1.0,"late-gain":0.0,"stream":false}],
    "feedback":{"names":["avg_ms","err_rps","cpu"],"source":"piggyback"},"membership-mode":"automatic",
    "ceilings":{"max-transmissions":6,"cancel":true,"connect-timeout-s":0.25,"keepalive-s":30.0,"second-copies":true},
    "contract":{"answer-slack-s":0.02,"cold-from":0.32,"warm-within-s":8.7,"drain-grace-s":0.3,"tip-multiple":2.5,"overload-for-s":3.0}}"#
        .to_owned()
}

/// Answers each request with 8 MiB, as fast as they are taken.
fn upstream() -> SocketAddr {
    serve(|mut connection| {
        let part = [b'x'; 64 * 1024];
        while connection.read().is_some() {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
            let sent = connection.send(head.as_bytes())
                && (0..ANSWER_BYTES / part.len()).all(|_| connection.stream.write_all(&part).is_ok());
            if !sent {
                return;
            }
        }
    })
}

/// Asks again and again, and reads slowly and steadily.
fn client(number: usize, balancer: SocketAddr, served: &AtomicUsize) {
    let mut asked = 0;
    loop {
        let Some(mut connection) = Connection::open(balancer) else {
            pause(100);
            continue;
        };
        asked += 1;
        let request = format!(
            "GET /feed-fetch HTTP/1.1\r\nHost: app.svc\r\nReq-Id: c{number}-{asked}\r\nReq-Kind: feed-fetch\r\nReq-Owner: ruta-sur\r\nReq-Deadline-Ms: 5000\r\n\r\n"
        );
        connection.send(request.as_bytes());
        let mut part = [0; READ_BYTES];
        let mut received = 0;
        while let Ok(bytes @ 1..) = connection.stream.read(&mut part) {
            received += bytes;
            if received > READ_BYTES && received - bytes <= READ_BYTES {
                served.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(READ_EVERY);
        }
        pause(100);
    }
}

/// The resident memory of a process in KiB: its own pages, and its part of those that it shares. 0 once it has ended.
fn resident_kib(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/smaps_rollup")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Pss:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn main() {
    let case = Case::start(7);
    let entries: Vec<String> =
        ["s-1", "s-2", "s-3", "s-4"].map(|id| list_entry(id, upstream(), "bog-1")).to_vec();
    let known = list(&entries);
    let agent = discovery(entries);
    let (listen, ops) = (free_address(), [free_address(), free_address()]);
    let config = config("n0", listen, agent, &known, &settings())
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"));
    let old = case.balancer("n0", &config, Some(ops[0]));
    case.wait_until_ready(ops[0]);
    let served = Arc::new(AtomicUsize::new(0));
    let start_clients = |from: usize, count: usize| {
        for number in from..from + count {
            let served = Arc::clone(&served);
            thread::spawn(move || client(number, listen, &served));
            pause(5);
        }
    };
    start_clients(0, CLIENTS);
    let (mut peak, mut peak_alone) = (0, 0);
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(3) {
        peak_alone = resident_kib(old).max(peak_alone);
        pause(20);
    }
    case.note(&format!(
        "one process: {peak_alone} KiB at the most, {} answers begun",
        served.load(Ordering::SeqCst)
    ));
    if peak_alone > MEMORY_MB << 10 {
        case.cannot_run("one process alone takes more than its memory");
    }
    let new = if with_trouble() {
        let new = case.balancer("n0", &config, Some(ops[1]));
        case.wait_until_ready(ops[1]);
        signal(old, "TERM");
        case.note("the new process is ready, the old one gets SIGTERM");
        new
    } else {
        old
    };
    let ready = Instant::now();
    let samples = thread::spawn({
        let case = case.clone();
        move || {
            let mut over = None;
            while ready.elapsed() < OLD_PROCESS {
                let (old_kib, new_kib) = (resident_kib(old), if new == old { 0 } else { resident_kib(new) });
                let sum = old_kib + new_kib;
                if sum > MEMORY_MB << 10 && over.is_none() {
                    over = Some((ready.elapsed().as_millis(), old_kib, new_kib));
                    case.note(&format!("over the limit: {old_kib} + {new_kib} KiB"));
                }
                peak = sum.max(peak);
                pause(20);
            }
            (over, peak)
        }
    });
    start_clients(CLIENTS, LATER_CLIENTS);
    let Ok((over, peak)) = samples.join() else { case.cannot_run("the memory could not be read") };
    if with_trouble() {
        signal(old, "KILL");
    }
    if served.load(Ordering::SeqCst) < CLIENTS / 2 || peak == 0 {
        case.cannot_run("too few answers were begun");
    }
    let breaks: Vec<String> = over
        .map(|(after, old_kib, new_kib)| {
            format!("{after} ms after the new process's yes both together have {old_kib} + {new_kib} KiB, over {MEMORY_MB} MB")
        })
        .into_iter()
        .collect();
    case.end(&breaks, &format!("peak {} KiB alone, {peak} KiB after that", peak_alone));
}
