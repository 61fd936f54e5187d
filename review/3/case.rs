//! Case 3: long bodies while one upstream of four hangs: it accepts connections and reads nothing.

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

const UPSTREAMS: usize = 4;
/// Clients send at once, and again when all have their answers.
const ROUNDS: usize = 3;
const CLIENTS: usize = 33;
const PAUSE: Duration = Duration::from_millis(500);
/// Bodies of 3 to 8 MiB in turn. Of a body to an upstream that reads nothing, the kernel's buffers on the way there take
/// some megabytes; a few more fit into those between client and balancer, so the client has sent its last byte.
const BODY_STEP_BYTES: usize = 512 << 10;
const MIN_BODY_STEPS: usize = 6;
const BODY_SIZES: usize = 11;
/// Half of the class's hard deadline: the site's clients give a try up after 50 to 100% of it.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Half a second after its time a request is lost; each time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// How long a client stays, to see when the answer comes.
const PATIENCE: Duration = Duration::from_secs(15);

/// Sends one request; whether it is lost: sent whole, and no whole answer by its time.
fn request(deployment: &Deployment, id: &str, body_bytes: usize, record: &Record) -> bool {
    let sent = TcpStream::connect(deployment.listen).and_then(|mut stream| {
        stream.set_write_timeout(Some(PATIENCE))?;
        let head = format!(
            "POST /episode-publish HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Kind: episode-publish\r\n\
             Req-Deadline-Ms: {}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {body_bytes}\r\n\r\n",
            DEADLINE.as_millis()
        );
        let started = Instant::now();
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'x'; body_bytes])?;
        let took = started.elapsed().as_millis();
        record.line(&format!("client: id {id} has sent its last byte of {body_bytes}, after {took} ms"));
        Ok(stream)
    });
    let last_byte = Instant::now();
    let stream = match sent {
        Ok(stream) => stream,
        Err(error) => {
            // Its last byte was never written, so the balancer has not taken it.
            record.line(&format!("client: id {id} was not sent whole: {error}"));
            return false;
        }
    };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let answer = read_answer(&stream);
    let took = last_byte.elapsed();
    let text = match &answer {
        Ok(answer) => format!("is answered {}: {}", answer.status, answer.body.trim()),
        Err(error) => format!("got no whole answer: {error}"),
    };
    let is_lost = answer.is_err() || took > DEADLINE + SLACK;
    let verdict = if is_lost { ": LOST" } else { "" };
    record.line(&format!("client: id {id} {text}, {} ms after its last byte{verdict}", took.as_millis()));
    is_lost
}

fn run(root: PathBuf, folder: PathBuf, record: Record, trouble: bool) -> std::io::Result<i32> {
    let mut upstreams = Vec::new();
    let mut readings = Vec::new();
    for number in 0..UPSTREAMS {
        let reading = Arc::new(Reading::default());
        upstreams.push(start_upstream(number, &record, Arc::clone(&reading))?);
        readings.push(reading);
    }
    let servers = entries(&upstreams);
    let deployment = Arc::new(Deployment {
        listen: format!("127.0.0.1:{}", free_port()).parse().expect("address"),
        discovery: start_discovery(servers.clone())?,
        servers,
        memory_mb: 192,
        sockets: 1024,
        settings: BOGOTA_MAIN,
    });
    let mut balancer = start_balancer(&root, &folder, &deployment)?;
    if request(&deployment, "first", 1 << 20, &record) {
        record.say("the first request was not answered");
        return Ok(NOT_RUN);
    }
    if trouble {
        readings[UPSTREAMS - 1].hangs.store(true, Ordering::Relaxed);
        record.say(&format!("trouble: s-{} of {UPSTREAMS} hangs from here on", UPSTREAMS - 1));
    }
    let lost = Arc::new(AtomicUsize::new(0));
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            let (deployment, record, lost) = (Arc::clone(&deployment), record.clone(), Arc::clone(&lost));
            let body_bytes = (MIN_BODY_STEPS + number % BODY_SIZES) * BODY_STEP_BYTES;
            clients.push(thread::spawn(move || {
                if request(&deployment, &format!("r{round}-{number}"), body_bytes, &record) {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(PAUSE);
    }
    if let Some(status) = balancer.has_ended() {
        record.say(&format!("the balancer ended: {status}"));
        return Ok(BROKEN);
    }
    let lost = lost.load(Ordering::SeqCst);
    record.say(&format!(
        "{lost} of {} requests were sent whole and not answered by their time",
        ROUNDS * CLIENTS
    ));
    Ok(if lost > 0 { BROKEN } else { HELD })
}

fn main() {
    run_case(run);
}
