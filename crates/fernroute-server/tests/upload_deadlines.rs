//! RPCs with long bodies are answered by their deadline, which counts from the last byte that the caller has written, although the
//! balancer may read that byte much later.

mod common;

use common::{balancer_at, connect, read_message, rpc_head, run};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket};

const DEADLINE: Duration = Duration::from_millis(1500);
/// An answer is lost half a second after its deadline; each limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// Some of these are longer than what the sockets to the upstream take, and short enough for those from the caller.
const BODY_SIZES: [usize; 6] = [1 << 20, 2 << 20, 3 << 20, 4 << 20, 5 << 20, 6 << 20];

/// How one request ended.
struct End {
    body_bytes: usize,
    status: u16,
    after_last_byte: Duration,
}

/// Sends a long body. Returns none if its last byte could not be written: the balancer has not taken it then.
async fn send_body(address: SocketAddr, body_bytes: usize, chunked: bool) -> Option<End> {
    let mut stream = connect(address).await;
    let framing = match chunked {
        true => "Transfer-Encoding: chunked\r\n".to_owned(),
        false => format!("Content-Length: {body_bytes}\r\n"),
    };
    let head = rpc_head("POST", "/put", &format!("Idempotency-Key: k\r\n{framing}"));
    let head = head.replace("Ms: 4000", &format!("Ms: {}", DEADLINE.as_millis()));
    let body = vec![b'x'; body_bytes];
    let bytes = match chunked {
        true => [head.as_bytes(), format!("{body_bytes:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n"].concat(),
        false => [head.as_bytes(), &body].concat(),
    };
    stream.write_all(&bytes).await.ok()?;
    let last_byte = Instant::now();
    let answer = read_message(&mut stream).await.expect("a whole answer");
    Some(End { body_bytes, status: answer.status(), after_last_byte: last_byte.elapsed() })
}

/// Sends bodies of all sizes at once, and checks that those that were sent whole are answered in time with one of `statuses`.
async fn check_ends(address: SocketAddr, chunked: bool, statuses: &[u16]) {
    let requests = BODY_SIZES.map(|body_bytes| send_body(address, body_bytes, chunked));
    let ends: Vec<End> = futures_util::future::join_all(requests).await.into_iter().flatten().collect();
    assert!(!ends.is_empty());
    for end in ends {
        let End { body_bytes, status, after_last_byte } = end;
        assert!(
            after_last_byte <= DEADLINE + SLACK,
            "{body_bytes} bytes: {status} after {after_last_byte:?}"
        );
        assert!(statuses.contains(&status), "{body_bytes} bytes: {status}");
    }
}

/// A listener whose connections take little before they are read.
fn upstream_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(4096).expect("set the receive buffer size");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
    socket.listen(64).expect("listen on the socket")
}

/// Guards against a body whose caller has sent it whole, and whose upstream reads nothing: the balancer waited for the upstream
/// for 5 s, whatever the deadline was (review case 3).
#[test]
fn body_to_an_upstream_that_reads_nothing_is_answered_by_its_deadline() {
    for chunked in [false, true] {
        run(async move {
            let listener = upstream_listener();
            let b = balancer_at(&[listener.local_addr().expect("local address")], &[]).await;
            // What the sockets took whole has been written, so it may have run.
            check_ends(b.address, chunked, &[502, 503]).await;
        });
    }
}

/// Guards against a deadline that starts again when the balancer reads the last byte, long after the caller has sent it.
#[test]
fn body_that_is_read_late_is_answered_by_its_deadline() {
    for chunked in [false, true] {
        run(async move {
            let listener = upstream_listener();
            let b = balancer_at(&[listener.local_addr().expect("local address")], &[]).await;
            actix_rt::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.expect("accept a connection");
                    actix_rt::spawn(async move {
                        tokio::time::sleep(DEADLINE * 2 / 3).await;
                        // Reads everything, and never answers.
                        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
                    });
                }
            });
            check_ends(b.address, chunked, &[502, 503]).await;
        });
    }
}
