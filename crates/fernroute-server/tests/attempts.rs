//! Compares the recorded progress of an attempt with the bytes that its upstream received: however an attempt ends, one that is
//! reported as never run must have been incomplete at its upstream.

mod common;

use actix_http::header::HeaderMap;
use actix_http::Method;
use bytes::Bytes;
use common::{balancer_at, connect, run, wait_until};
use fernroute_server::transport::client::{Body, Client, UpstreamRequest};
use fernroute_server::transport::outbound::{AttemptProgress, AttemptState};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// A pseudo-random number generator with a fixed seed.
struct Random(u64);

impl Random {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % most.max(1)
    }
}

/// How an upstream ends an attempt after reading a given number of bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    Close,
    Decline,
    Errored,
    /// Neither answers nor reads any more.
    Silence,
}

const ENDS: [End; 5] = [End::Reset, End::Close, End::Decline, End::Errored, End::Silence];

/// An upstream with a small receive buffer that ends each connection in the given way.
struct Upstream {
    address: SocketAddr,
    /// The number of bytes read of the last attempt, including its head.
    received: Rc<Cell<usize>>,
    /// The number of attempts received.
    attempts: Rc<Cell<usize>>,
}

fn upstream(reads: usize, end: End) -> Upstream {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("set the socket buffer size");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
    let listener = socket.listen(16).expect("listen on the socket");
    let address = listener.local_addr().expect("local address");
    let (received, attempts): (Rc<Cell<usize>>, Rc<Cell<usize>>) = Default::default();
    actix_rt::spawn(serve(listener, reads, end, Rc::clone(&received), Rc::clone(&attempts)));
    Upstream { address, received, attempts }
}

async fn serve(
    listener: TcpListener,
    reads: usize,
    end: End,
    received: Rc<Cell<usize>>,
    attempts: Rc<Cell<usize>>,
) {
    // Silent connections stay open.
    let mut silent = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        attempts.set(attempts.get() + 1);
        received.set(0);
        while received.get() < reads {
            let mut piece = [0; 3_000];
            let some = piece.len().min(reads - received.get());
            match stream.read(&mut piece[..some]).await {
                Ok(bytes) if bytes > 0 => received.set(received.get() + bytes),
                _ => break,
            }
        }
        match end {
            End::Reset => stream.set_zero_linger().expect("set SO_LINGER"),
            End::Close => {}
            End::Decline => send_status(&mut stream, "503 Busy", "Srv-Declined: 1\r\n").await,
            End::Errored => send_status(&mut stream, "500 Broken", "").await,
            End::Silence => silent.push(stream),
        }
    }
}

async fn send_status(stream: &mut TcpStream, status: &str, headers: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n");
    // A peer that has left does not need the answer.
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Guards against an attempt that is cancelled, reset or ended between sending its last byte and recording that, and is then
/// reported as one that could not connect: a non-retriable RPC would be sent again.
#[test]
fn attempt_reported_as_never_run_was_incomplete_at_its_upstream() {
    const CASES: usize = 250;
    run(async {
        let mut random = Random(7);
        let (mut complete, mut partial) = (0, 0);
        for case in 0..CASES {
            let body = [1, 700, 16_000, 64_000, 300_000, 6_000_000][random.below(6)];
            // The head has some 80 bytes; most cases end near the last byte.
            let about = body + 60 + random.below(60);
            let reads = [0, random.below(body), about, body + 4_000][random.below(4)];
            let end = ENDS[random.below(ENDS.len())];
            let up = upstream(reads, end);
            let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 4, 1 << 20);
            let attempt = AttemptState::new(None, &Rc::default());
            let call = UpstreamRequest {
                method: Method::POST,
                uri: format!("http://{}/pay", up.address),
                headers: HeaderMap::new(),
                body: Body::Buffered(Bytes::from(vec![b'x'; body])),
                new_connection: true,
            };
            // Cancelled at a random time, most often during the write.
            let given_up = Duration::from_micros(random.below(20_000) as u64);
            let upstream_client = client.upstream(up.address);
            let ended = timeout(given_up, upstream_client.send(call, &attempt)).await;
            let reached = attempt.progress();
            drop(ended);
            // Bytes sent by then still arrive.
            let before = up.received.get();
            actix_rt::time::sleep(Duration::from_millis(4)).await;
            // A complete RPC has the body and a head of at least fifty bytes.
            let is_complete = before.max(up.received.get()) > body + 50;
            complete += usize::from(is_complete);
            partial += usize::from(!is_complete);
            let case_text = format!("case {case}: {body} bytes, {end:?} after {reads}, {reached:?}");
            assert!(!is_complete || reached >= AttemptProgress::RequestWritten, "{case_text}");
        }
        assert!(complete > CASES / 10 && partial > CASES / 10, "{complete} complete, {partial} partial");
    });
}

/// Guards against repeating an RPC, or reporting it as exhausted, when the upstream received all of it through a streamed body;
/// also when it answered just as the last byte was sent.
#[test]
fn complete_attempt_is_neither_repeated_nor_exhausted_unless_declined() {
    const BODY: usize = 150_000;
    const CASES: usize = 60;
    run(async {
        let mut random = Random(11);
        let mut complete = 0;
        for case in 0..CASES {
            let end = [End::Reset, End::Close, End::Decline, End::Errored][random.below(4)];
            let reads = [random.below(BODY), BODY - 1, BODY + 1_000_000][random.below(3)];
            let up = upstream(reads, end);
            let b = balancer_at(&[up.address], &[]).await;
            let mut caller = connect(b.address).await;
            let head = common::rpc_head("POST", "/pay", &format!("Content-Length: {BODY}\r\n"));
            caller.write_all(head.as_bytes()).await.expect("write to the socket");
            let (mut answers, mut sends) = caller.split();
            let sending = async {
                for piece in vec![b'x'; BODY].chunks(40_000) {
                    if sends.write_all(piece).await.is_err() {
                        return;
                    }
                    tokio::task::yield_now().await;
                }
                // Long enough for an upstream that waits for more bytes than there are.
                actix_rt::time::sleep(Duration::from_millis(30)).await;
            };
            let mut answer = Vec::new();
            let reading = async {
                let mut piece = [0; 1024];
                while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
                    match answers.read(&mut piece).await {
                        Ok(bytes) if bytes > 0 => answer.extend_from_slice(&piece[..bytes]),
                        _ => break,
                    }
                }
            };
            let _ = timeout(Duration::from_millis(200), futures_util::future::join(sending, reading)).await;
            let exhausted = answer.starts_with(b"HTTP/1.1 503");
            let is_complete = up.received.get() > BODY + 50;
            complete += usize::from(is_complete);
            let case_text = format!("case {case}: {end:?} after {reads}, {} attempts", up.attempts.get());
            assert!(!is_complete || up.attempts.get() == 1 || matches!(end, End::Decline), "{case_text}");
            assert!(!is_complete || !exhausted || matches!(end, End::Decline), "{case_text}");
            drop(caller);
            wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        }
        assert!(complete > 0, "at least one RPC must be complete at its upstream");
    });
}
