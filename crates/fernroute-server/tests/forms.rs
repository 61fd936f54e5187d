//! All forms that HTTP/1.1 knows, on either side, and large bodies both ways.

mod common;

use common::{
    balancer, balancer_at, connect, ok, read_message, rpc_head, run, send, send_and_read, start_stub,
    wait_until, Reply,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Everything up to the end of the connection.
async fn to_the_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all).await;
    all
}

#[test]
fn callers_may_write_an_rpc_in_any_form() {
    run(async {
        let up = start_stub(|_, message| {
            ok(if message.head.starts_with("GET /look") && message.body.is_empty() { "whole" } else { "odd" })
        })
        .await;
        let b = balancer(&[&up], &[]).await;
        let good = || rpc_head("GET", "/look/a?b=c", "");
        let cases = [
            good(),
            good().replace("GET /look", "GET http://app.svc/look"),
            good().replace("GET /look", "GET http://app.svc:80/look"),
            good().replace("Host: app.svc", "hOsT:app.svc"),
            good().replace(
                "Host: app.svc\r\n",
                "Host: app.svc\r\nConnection: keep-alive, X-One\r\nX-One: 1\r\n",
            ),
            good().replace("HTTP/1.1", "HTTP/1.0"),
            good().replace("HTTP/1.1", "HTTP/1.0").replace("Host: app.svc\r\n", ""),
            good().replace("HTTP/1.1", "HTTP/1.0").replace("Host: app.svc\r\n", "Connection: keep-alive\r\n"),
            good().replace("Host: app.svc\r\n", "Host: app.svc\r\nContent-Length: 0\r\n"),
            good().replace("Host: app.svc\r\n", "Host: app.svc\r\nTransfer-Encoding: chunked\r\n")
                + "0\r\n\r\n",
            good().replace("Host: app.svc\r\n", "Host: app.svc\r\nTransfer-Encoding: chunked\r\n")
                + "0;last=yes\r\nTrailer: 1\r\n\r\n",
            good().replace("Host: app.svc\r\n", "Host: app.svc\r\nExpect: 100-continue\r\n"),
            good().replace("Host: app.svc\r\n", "Host: app.svc\r\nAccept: */*\r\nTE: trailers\r\n"),
            "\r\n".to_owned() + &good(),
            good().replace(": ", ":\t "),
        ];
        for bytes in cases {
            let mut stream = connect(b.address).await;
            // Byte by byte, as the poorest line would.
            for byte in bytes.as_bytes() {
                stream.write_all(&[*byte]).await.expect("it reads");
            }
            let mut answer = read_message(&mut stream).await.expect("an answer");
            if answer.status() == 100 {
                answer = read_message(&mut stream).await.expect("an answer");
            }
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"whole"[..]), "{bytes}");
        }
    });
}

/// An upstream that takes whatever comes, answers with these bytes, and ends the connection.
async fn plain_upstream(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            actix_rt::spawn(async move {
                if read_message(&mut stream).await.is_some() {
                    let _ = stream.write_all(&answer).await;
                }
            });
        }
    });
    address
}

#[test]
fn upstreams_may_write_an_answer_in_any_form() {
    run(async {
        let cases = [
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 200\r\ncontent-length:5\r\n\r\nwhole",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nTrailer: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: X-One, close\r\nX-One: 1\r\n\r\nwhole",
            "HTTP/1.0 200 OK\r\n\r\nwhole",
            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        ];
        for answer in cases {
            let b = balancer_at(&[plain_upstream(answer.as_bytes().to_vec()).await], &[]).await;
            let got = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
            assert_eq!((got.status(), got.body.as_slice()), (200, &b"whole"[..]), "{answer}");
            assert!(got.header("x-one").is_none() && got.header("connection").is_none(), "{}", got.head);
        }
        // Nothing tells where these end, or they end too early: never an answer.
        for answer in [
            "HTTP/1.1 200 OK\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        ] {
            let b = balancer_at(&[plain_upstream(answer.as_bytes().to_vec()).await], &[]).await;
            let got = send_and_read(b.address, rpc_head("POST", "/pay", "Content-Length: 0\r\n")).await;
            assert_eq!(got.status(), 502, "{answer}");
        }
    });
}

const LARGE: usize = 32 << 20;

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() * 2);
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// The body of a message in chunks.
fn out_of_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = bytes.iter().position(|b| *b == b'\n')?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..line]).ok()?.trim(), 16).ok()?;
        bytes = &bytes[line + 1..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size + 2..)?;
    }
}

/// Sends bytes and reads to the end at the same time.
async fn exchange(at: SocketAddr, bytes: Vec<u8>) -> (String, Vec<u8>) {
    let stream = connect(at).await;
    let (mut from, mut to) = stream.into_split();
    let writing = actix_rt::spawn(async move {
        let _ = to.write_all(&bytes).await;
        to
    });
    let mut all = Vec::new();
    let _ = from.read_to_end(&mut all).await;
    let _ = writing.await;
    let head = all.windows(4).position(|w| w == b"\r\n\r\n").map_or(all.len(), |at| at + 4);
    (String::from_utf8_lossy(&all[..head]).into_owned(), all.split_off(head))
}

/// Guards against bodies that are held back, cut, mixed up or kept in memory: 32 MB both ways, of stated length and in
/// chunks down to a few bytes.
#[test]
fn large_bodies_go_both_ways_whole() {
    run(async {
        let body = pattern(LARGE);
        for (size, answer_in) in [(None, Some(7)), (Some(1 << 16), None)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let (sized, sent) = (size.is_none(), body.clone());
            actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a call");
                let mut all = Vec::new();
                while !(all.ends_with(b"0\r\n\r\n")
                    || sized && all.len() > LARGE + 100 && {
                        let head = all.windows(4).position(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
                        all.len() - head == LARGE
                    })
                {
                    assert!(stream.read_buf(&mut all).await.expect("more") > 0);
                }
                let head = all.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
                let came =
                    if sized { all[head..].to_vec() } else { out_of_chunks(&all[head..]).expect("whole") };
                assert!(came == sent, "{} bytes came", came.len());
                let answer = match answer_in {
                    Some(size) => [
                        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
                        &in_chunks(&sent, size)[..],
                    ]
                    .concat(),
                    None => {
                        [format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes(), &sent[..]]
                            .concat()
                    }
                };
                stream.write_all(&answer).await.expect("it reads");
                let _ = stream.read(&mut [0; 1]).await;
            });
            let b = balancer_at(&[address], &[]).await;
            let request = match size {
                Some(size) => {
                    let head =
                        rpc_head("POST", "/pay", "Transfer-Encoding: chunked\r\nConnection: close\r\n");
                    [head.as_bytes(), &in_chunks(&body, size)].concat()
                }
                None => {
                    let head = rpc_head(
                        "POST",
                        "/pay",
                        &format!("Content-Length: {LARGE}\r\nConnection: close\r\n"),
                    );
                    [head.as_bytes(), &body[..]].concat()
                }
            };
            let (head, got) = exchange(b.address, request).await;
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            let got =
                if head.to_ascii_lowercase().contains("chunked") { out_of_chunks(&got) } else { Some(got) };
            assert!(got.is_some_and(|got| got == body));
            let told = b.board.metrics();
            assert_eq!((told.ends["pay"].completed, told.outstanding, told.attempts), (1, 0, 1));
        }
    });
}

/// Guards against a long answer that is held back until it is whole, that a time-out cuts while the upstream still
/// gives, whose cut end passes for whole, or that is sent for again.
#[test]
fn a_long_answer_is_handed_on_as_it_comes() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let half = pattern(100_000);
        let sent = half.clone();
        let calls = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = std::rc::Rc::clone(&calls);
        let go = std::rc::Rc::new(tokio::sync::Notify::new());
        let going = std::rc::Rc::clone(&go);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                read_message(&mut stream).await.expect("a message");
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
                stream.write_all(&[head.as_bytes(), &sent].concat()).await.expect("it reads");
                going.notified().await;
                if counted.get() == 1 {
                    stream.write_all(&sent).await.expect("it reads");
                }
            }
        });
        let b = balancer_at(&[address], &[]).await;
        for whole in [true, false] {
            let mut caller = send(b.address, rpc_head("GET", "/look", "").replace("4000", "300")).await;
            let mut first = vec![0; 100_000];
            caller.read_exact(&mut first).await.expect("it has begun");
            assert_eq!(b.board.metrics().outstanding, 1);
            // Long past its deadline it is still open.
            actix_rt::time::sleep(Duration::from_millis(600)).await;
            go.notify_one();
            let rest = if whole {
                let mut rest = vec![0; 100_000 - 1000];
                caller.read_exact(&mut rest).await.expect("all of it");
                rest
            } else {
                to_the_end(&mut caller).await
            };
            assert_eq!(rest.len() > 50_000, whole, "{}", rest.len());
            wait_until(|| b.board.metrics().outstanding == 0).await;
        }
        let told = b.board.metrics().ends["look"];
        assert_eq!((told.completed, told.errored, calls.get()), (1, 1, 2));
    });
}

/// Guards against an upload that is answered only after its last byte, that runs on an upstream that never had it whole,
/// or that is held on to for who stopped to send it.
#[test]
fn an_upload_ends_early_where_it_can_come_to_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    let mut some = [0; 4096];
                    let n = stream.read(&mut some).await.expect("a head");
                    if String::from_utf8_lossy(&some[..n]).contains("/early") {
                        let _ = stream
                            .write_all(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                            .await;
                    }
                    while stream.read(&mut some).await.is_ok_and(|n| n > 0) {}
                });
            }
        });
        let b = balancer_at(&[address], &[]).await;
        let head = |path: &str| rpc_head("POST", path, "Content-Length: 9000000\r\n");
        // Turned away by the upstream while it comes: refused at once, and the rest is no RPC.
        let mut early = send(b.address, [head("/pay/early").as_bytes(), &pattern(200_000)].concat()).await;
        assert_eq!(read_message(&mut early).await.expect("an answer").status(), 503);
        // Its caller stops: told so in time, and nothing has run.
        let mut stops = send(b.address, [head("/pay").as_bytes(), &pattern(200_000)].concat()).await;
        let from = std::time::Instant::now();
        let told = read_message(&mut stops).await.expect("an answer").status();
        assert!(told >= 400 && from.elapsed() < Duration::from_secs(3), "{told} {:?}", from.elapsed());
        // Its caller goes.
        drop(send(b.address, [head("/pay").as_bytes(), &pattern(200_000)].concat()).await);
        wait_until(|| b.board.metrics().left == 1 && b.board.open.borrow().is_empty()).await;
        // More than any RPC may hold, said or not.
        let (said, _) =
            exchange(b.address, rpc_head("POST", "/pay", "Content-Length: 33554433\r\n").into_bytes()).await;
        assert!(said.starts_with("HTTP/1.1 413"), "{said}");
        let chunks = in_chunks(&pattern(LARGE + 1), 1 << 20);
        let request =
            [rpc_head("POST", "/pay", "Transfer-Encoding: chunked\r\n").as_bytes(), &chunks].concat();
        let (said, _) = exchange(b.address, request).await;
        assert!(said.starts_with("HTTP/1.1 413"), "{said}");
        assert_eq!(b.board.metrics().attempts, 0);
    });
}

/// Guards against a caller that is cut off because it is slow, and one that holds a connection without an end.
#[test]
fn a_slow_upload_is_judged_by_its_progress_and_its_deadline_counts_from_its_last_byte() {
    run(async {
        let up =
            start_stub(|_, message| if message.body.len() == 100_000 { ok("whole") } else { Reply::NoReply })
                .await;
        let b = balancer(&[&up], &[]).await;
        let body = pattern(100_000);
        let head = rpc_head("POST", "/pay", "Content-Length: 100000\r\n").replace("4000", "500");
        let mut caller = send(b.address, head).await;
        for part in body.chunks(10_000) {
            caller.write_all(part).await.expect("it reads");
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"whole"[..]));
    });
}
