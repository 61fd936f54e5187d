//! No attempt may begin for a client that has closed its connection, also where it has sent much and gone.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a full upstream keeps a request waiting before it turns it away.
const QUEUED: Duration = Duration::from_millis(800);
const WORK: Duration = Duration::from_millis(40);
/// The rule: an attempt that begins so long after the close is a break. The slack of the rules on sockets is added.
const GONE: Duration = Duration::from_millis(100 + 50);
const CLIENTS: usize = 6;
/// What a client sends behind its request.
const MUCH: usize = 3 << 20;

fn settings() -> String {
    r#"{"n-instances":1,"me":0,"layer":0,"zone":"bog-1","zones":["bog-1"],"quantum-s":0.005,
    "methods":[{"name":"payout-run","effect":"non_idempotent","group":"all","window-s":5.0,"soft-deadline-s":2.5,"hard-deadline-s":6.0,"gain":5.0,"late-gain":0.0,"stream":false}],
    "feedback":{"names":["avg_ms","err_rps","cpu"],"source":"piggyback"},"membership-mode":"automatic",
    "ceilings":{"max-transmissions":6,"cancel":true,"connect-timeout-s":0.25,"keepalive-s":30.0,"second-copies":true},
    "contract":{"answer-slack-s":0.02,"cold-from":0.32,"warm-within-s":8.7,"drain-grace-s":0.3,"tip-multiple":2.5,"overload-for-s":3.0}}"#
        .to_owned()
}

/// When each request reached an upstream, and which.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<(Instant, &'static str)>>>>;

/// It turns away the first attempt of each request, and serves the others.
fn upstream(case: &Case, id: &'static str, attempts: &Attempts) -> SocketAddr {
    let (case, attempts) = (case.clone(), Arc::clone(attempts));
    serve(move |mut connection| {
        while let Some(request) = connection.read() {
            let rpc = request.header("req-id").to_owned();
            let number = {
                let mut attempts = lock(&attempts);
                let all = attempts.entry(rpc.clone()).or_default();
                all.push((Instant::now(), id));
                all.len()
            };
            case.note(&format!(
                "{id} gets attempt {number} of {rpc}, {} ms left",
                request.header("req-deadline-ms")
            ));
            let reply = if number == 1 {
                thread::sleep(QUEUED);
                answer("503 Service Unavailable", "Srv-Declined: 1\r\n", "")
            } else {
                thread::sleep(WORK);
                case.note(&format!("{id} has run {rpc}"));
                answer("200 OK", "", &format!("answer to {rpc}"))
            };
            if !connection.send(&reply) {
                return;
            }
        }
    })
}

fn main() {
    let case = Case::start(10);
    let attempts = Attempts::default();
    let ids = ["s-1", "s-2", "s-3"];
    let entries: Vec<String> = ids.map(|id| list_entry(id, upstream(&case, id, &attempts), "bog-1")).to_vec();
    let known = list(&entries);
    let agent = discovery(entries);
    let listen = free_address();
    case.balancer("n0", &config("n0", listen, agent, &known, &settings()), None);
    case.wait_until_ready(listen);
    let mut left = Vec::new();
    for number in 0..CLIENTS {
        let Some(mut connection) = Connection::open(listen) else {
            case.cannot_run("the balancer accepts nobody")
        };
        let rpc = format!("c{number}");
        connection.send(
            format!(
                "POST /payout-run HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {rpc}\r\nReq-Kind: payout-run\r\nReq-Owner: eco-andino\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 6\r\n\r\npayout"
            )
            .as_bytes(),
        );
        let mut sent = 0;
        if with_trouble() {
            let _ = connection.stream.set_nonblocking(true);
            let from = Instant::now();
            while sent < MUCH && from.elapsed() < ms(200) {
                match connection.stream.write(&[b'x'; 32 * 1024]) {
                    Ok(bytes) => sent += bytes,
                    Err(_) => pause(5),
                }
            }
        }
        thread::sleep(QUEUED / 4);
        drop(connection);
        case.note(&format!(
            "{rpc} has sent its request and {sent} bytes behind it, and has closed its connection"
        ));
        left.push((rpc, Instant::now()));
        pause(400);
    }
    thread::sleep(QUEUED * 2);
    let attempts = lock(&attempts);
    let mut breaks = Vec::new();
    for (rpc, closed) in &left {
        let Some(all) = attempts.get(rpc) else { case.cannot_run("a request reached no upstream") };
        for (begun, upstream) in all.iter().filter(|(begun, _)| *begun > *closed + GONE) {
            let after = (*begun - *closed).as_millis();
            breaks.push(format!(
                "payout-run {rpc} reached {upstream} {after} ms after its client had closed its connection"
            ));
        }
    }
    case.end(&breaks, &format!("{} clients have left", left.len()));
}
