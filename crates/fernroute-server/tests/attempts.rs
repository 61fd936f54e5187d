//! What is said of an attempt against what its upstream had of it: whatever ends it, one that passes for never run was not whole
//! at its upstream, by the upstream's own count of bytes.

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

/// Numbers by chance, the same ones every run.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % most.max(1)
    }
}

/// How an upstream ends an attempt once it has read so many bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    Close,
    TurnAway,
    Errored,
    /// It says nothing more, and reads nothing.
    Silence,
}

const ENDS: [End; 5] = [End::Reset, End::Close, End::TurnAway, End::Errored, End::Silence];

/// An upstream that takes little at once, and ends each connection in a way of its own.
struct Upstream {
    address: SocketAddr,
    /// Bytes that it has read of the last attempt, heads and all.
    had: Rc<Cell<usize>>,
    /// How many attempts came.
    attempts: Rc<Cell<usize>>,
}

fn upstream(reads: usize, end: End) -> Upstream {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("set the socket buffer size");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
    let listener = socket.listen(16).expect("listen on the socket");
    let address = listener.local_addr().expect("local address");
    let (had, attempts): (Rc<Cell<usize>>, Rc<Cell<usize>>) = Default::default();
    actix_rt::spawn(take(listener, reads, end, Rc::clone(&had), Rc::clone(&attempts)));
    Upstream { address, had, attempts }
}

async fn take(
    listener: TcpListener,
    reads: usize,
    end: End,
    had: Rc<Cell<usize>>,
    attempts: Rc<Cell<usize>>,
) {
    // Kept open where nothing ends them.
    let mut silent = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        attempts.set(attempts.get() + 1);
        had.set(0);
        while had.get() < reads {
            let mut piece = [0; 3_000];
            let some = piece.len().min(reads - had.get());
            match stream.read(&mut piece[..some]).await {
                Ok(bytes) if bytes > 0 => had.set(had.get() + bytes),
                _ => break,
            }
        }
        match end {
            End::Reset => stream.set_zero_linger().expect("set SO_LINGER"),
            End::Close => {}
            End::TurnAway => say(&mut stream, "503 Busy", "Srv-Declined: 1\r\n").await,
            End::Errored => say(&mut stream, "500 Broken", "").await,
            End::Silence => silent.push(stream),
        }
    }
}

async fn say(stream: &mut TcpStream, status: &str, headers: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n");
    // Whoever has gone need not hear it.
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Guards against an attempt that is given up, reset or ended between its last byte and the note of it, and passes for one that
/// could not connect: a non-retriable RPC would be sent again.
#[test]
fn an_attempt_that_passes_for_never_run_was_not_whole_at_its_upstream() {
    const CASES: usize = 250;
    run(async {
        let mut chance = Chance(7);
        let (mut whole, mut parts) = (0, 0);
        for case in 0..CASES {
            let body = [1, 700, 16_000, 64_000, 300_000, 6_000_000][chance.below(6)];
            // The head is some 80 bytes; about the last byte most often.
            let about = body + 60 + chance.below(60);
            let reads = [0, chance.below(body), about, body + 4_000][chance.below(4)];
            let end = ENDS[chance.below(ENDS.len())];
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
            // Given up at some moment, most often while it is being written.
            let given_up = Duration::from_micros(chance.below(20_000) as u64);
            let line = client.upstream(up.address);
            let ended = timeout(given_up, line.send(call, &attempt)).await;
            let reached = attempt.progress();
            drop(ended);
            // What had left by then comes still.
            let before = up.had.get();
            actix_rt::time::sleep(Duration::from_millis(4)).await;
            // Nothing but the body and a head of at least fifty bytes is a whole RPC.
            let is_whole = before.max(up.had.get()) > body + 50;
            whole += usize::from(is_whole);
            parts += usize::from(!is_whole);
            let told = format!("case {case}: {body} bytes, {end:?} after {reads}, {reached:?}");
            assert!(!is_whole || reached >= AttemptProgress::RequestWritten, "{told}");
        }
        assert!(whole > CASES / 10 && parts > CASES / 10, "{whole} whole, {parts} in part");
    });
}

/// Guards against a second run, or a word that trying again is harmless, where the upstream had all of an RPC whose body was
/// handed on as it came; also where it answered in the moment in which the last byte left.
#[test]
fn what_was_whole_at_an_upstream_is_neither_sent_again_nor_exhausted_unless_turned_away() {
    const BODY: usize = 150_000;
    const CASES: usize = 60;
    run(async {
        let mut chance = Chance(11);
        let mut whole = 0;
        for case in 0..CASES {
            let end = [End::Reset, End::Close, End::TurnAway, End::Errored][chance.below(4)];
            let reads = [chance.below(BODY), BODY - 1, BODY + 1_000_000][chance.below(3)];
            let up = upstream(reads, end);
            let b = balancer_at(&[up.address], &[]).await;
            let mut caller = connect(b.address).await;
            let head = common::rpc_head("POST", "/pay", &format!("Content-Length: {BODY}\r\n"));
            caller.write_all(head.as_bytes()).await.expect("complete transfer");
            let (mut answers, mut sends) = caller.split();
            let sending = async {
                for piece in vec![b'x'; BODY].chunks(40_000) {
                    if sends.write_all(piece).await.is_err() {
                        return;
                    }
                    tokio::task::yield_now().await;
                }
                // An upstream that waits for more than there is gives up.
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
            let had_all = up.had.get() > BODY + 50;
            whole += usize::from(had_all);
            let told = format!("case {case}: {end:?} after {reads}, {} attempts", up.attempts.get());
            assert!(!had_all || up.attempts.get() == 1 || matches!(end, End::TurnAway), "{told}");
            assert!(!had_all || !exhausted || matches!(end, End::TurnAway), "{told}");
            drop(caller);
            wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        }
        assert!(whole > 0, "some were whole");
    });
}
