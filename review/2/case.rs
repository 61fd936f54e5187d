//! Case 2: long bodies, many at a time. The platform ends a balancer that is over its limit of memory.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits that the operators' bench gives on its day with long bodies (`bulk+slow+pieces`).
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 1024;
/// An eighth of the descriptors; the pages allow clients a third for requests.
const CLIENTS: usize = SOCKETS as usize / 8;
/// A quarter of the longest body that the pages name.
const LONG_BODY_BYTES: usize = 8 << 20;
/// A body without the trouble.
const SHORT_BODY_BYTES: usize = 16 << 10;
const UPSTREAMS: usize = 4;
const DEADLINE_MS: u64 = 6000;
const RUN: Duration = Duration::from_secs(60);

/// One client with one request.
fn request(deployment: &Deployment, id: &str, body_bytes: usize, record: &Record) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(deployment.listen)?;
    stream.set_write_timeout(Some(RUN))?;
    let head = format!(
        "POST /episode-publish HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Kind: episode-publish\r\n\
         Req-Deadline-Ms: {DEADLINE_MS}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; body_bytes])?;
    record.line(&format!("client: id {id} is sent whole, {body_bytes} bytes"));
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 550)))?;
    let answer = read_answer(&stream)?;
    record.line(&format!("client: id {id} is answered {}: {}", answer.status, answer.body.trim()));
    Ok(answer.status)
}

fn run(root: PathBuf, folder: PathBuf, record: Record, trouble: bool) -> std::io::Result<i32> {
    let reading = Arc::new(Reading::default());
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        upstreams.push(start_upstream(number, &record, Arc::clone(&reading))?);
    }
    let servers = entries(&upstreams);
    let deployment = Arc::new(Deployment {
        listen: format!("127.0.0.1:{}", free_port()).parse().expect("address"),
        discovery: start_discovery(servers.clone())?,
        servers,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        settings: BOGOTA_MAIN,
    });
    let mut balancer = start_balancer(&root, &folder, &deployment)?;
    record.say(&format!("balancer ready, {} kB resident", balancer.resident_kb().unwrap_or(0)));
    if request(&deployment, "first", SHORT_BODY_BYTES, &record)? != 200 {
        record.say("the first request was not served");
        return Ok(NOT_RUN);
    }
    let body_bytes = if trouble { LONG_BODY_BYTES } else { SHORT_BODY_BYTES };
    record.say(&format!("{CLIENTS} clients send a body of {body_bytes} bytes each"));
    let (left, failed) = (Arc::new(AtomicUsize::new(CLIENTS)), Arc::new(AtomicUsize::new(0)));
    for number in 0..CLIENTS {
        let (deployment, record) = (Arc::clone(&deployment), record.clone());
        let (left, failed) = (Arc::clone(&left), Arc::clone(&failed));
        thread::spawn(move || {
            if let Err(error) = request(&deployment, &format!("r{number}"), body_bytes, &record) {
                record.line(&format!("client: id r{number} has no answer: {error}"));
                failed.fetch_add(1, Ordering::SeqCst);
            }
            left.fetch_sub(1, Ordering::SeqCst);
        });
    }
    // The platform: a balancer over its limit of memory is killed, and has crashed.
    let (started, mut peak_kb, mut killed) = (Instant::now(), 0, false);
    while left.load(Ordering::SeqCst) > 0 && started.elapsed() < RUN {
        let resident_kb = balancer.resident_kb().unwrap_or(0);
        if resident_kb >= peak_kb + 5_000 {
            record.line(&format!("platform: the balancer has {resident_kb} kB resident"));
        }
        peak_kb = peak_kb.max(resident_kb);
        if !killed && resident_kb > MEMORY_MB * 1024 {
            killed = true;
            record.say(&format!("platform: {resident_kb} kB resident, the limit is {MEMORY_MB} MB: killed"));
            let _ = balancer.child.kill();
        }
        if let Some(status) = balancer.has_ended().filter(|_| !killed) {
            record.say(&format!("the balancer ended by itself: {status}"));
            return Ok(BROKEN);
        }
        thread::sleep(Duration::from_millis(5));
    }
    let failed = failed.load(Ordering::SeqCst);
    record.say(&format!("peak {peak_kb} kB resident; {failed} of {CLIENTS} clients got no answer"));
    Ok(if killed { BROKEN } else { HELD })
}

fn main() {
    run_case(run);
}
