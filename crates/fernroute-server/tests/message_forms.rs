//! HTTP/1.1 message forms accepted from callers and upstreams, and large bodies in both directions.

mod common;

use common::{
    balancer, balancer_at, connect, ok, read_message, rpc_head, run, send, send_and_read, start_stub,
    wait_until, Reply,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads until the end of the connection.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all).await;
    all
}

#[test]
fn requests_are_accepted_in_every_valid_form() {
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
            // Byte by byte, to exercise every partial read.
            for byte in bytes.as_bytes() {
                stream.write_all(&[*byte]).await.expect("write to the socket");
            }
            let mut answer = read_message(&mut stream).await.expect("read the answer");
            if answer.status() == 100 {
                answer = read_message(&mut stream).await.expect("read the answer");
            }
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"whole"[..]), "{bytes}");
        }
    });
}

/// An upstream that answers each first message with these bytes and closes the connection.
async fn raw_upstream(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
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
fn answers_are_accepted_in_every_valid_form() {
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
            let b = balancer_at(&[raw_upstream(answer.as_bytes().to_vec()).await], &[]).await;
            let got = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
            assert_eq!((got.status(), got.body.as_slice()), (200, &b"whole"[..]), "{answer}");
            assert!(got.header("x-one").is_none() && got.header("connection").is_none(), "{}", got.head);
        }
        // The end of these is not defined, or they end too early: never an answer.
        for answer in [
            "HTTP/1.1 200 OK\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        ] {
            let b = balancer_at(&[raw_upstream(answer.as_bytes().to_vec()).await], &[]).await;
            let got = send_and_read(b.address, rpc_head("POST", "/pay", "Content-Length: 0\r\n")).await;
            assert_eq!(got.status(), 502, "{answer}");
        }
    });
}

const LARGE: usize = 32 << 20;

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

fn encode_chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() * 2);
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Decodes a chunked body.
fn decode_chunked(mut bytes: &[u8]) -> Option<Vec<u8>> {
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

/// Sends bytes while reading to the end of the connection. Returns the head and the rest.
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

/// Guards against bodies that are held back, truncated, mixed up or kept in memory: 32 MiB in both directions, with a
/// Content-Length and in chunks down to a few bytes.
#[test]
fn large_bodies_are_forwarded_completely() {
    run(async {
        let body = pattern(LARGE);
        for (size, answer_in) in [(None, Some(7)), (Some(1 << 16), None)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
            let address = listener.local_addr().expect("local address");
            let (sized, sent) = (size.is_none(), body.clone());
            actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("accept a call");
                let mut all = Vec::new();
                while !(all.ends_with(b"0\r\n\r\n")
                    || sized && all.len() > LARGE + 100 && {
                        let head = all.windows(4).position(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
                        all.len() - head == LARGE
                    })
                {
                    assert!(stream.read_buf(&mut all).await.expect("read more bytes") > 0);
                }
                let head = all.windows(4).position(|w| w == b"\r\n\r\n").expect("message head") + 4;
                let received = if sized {
                    all[head..].to_vec()
                } else {
                    decode_chunked(&all[head..]).expect("complete chunked body")
                };
                assert!(received == sent, "{} bytes received", received.len());
                let answer = match answer_in {
                    Some(size) => [
                        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
                        &encode_chunked(&sent, size)[..],
                    ]
                    .concat(),
                    None => {
                        [format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes(), &sent[..]]
                            .concat()
                    }
                };
                stream.write_all(&answer).await.expect("write to the socket");
                let _ = stream.read(&mut [0; 1]).await;
            });
            let b = balancer_at(&[address], &[]).await;
            let request = match size {
                Some(size) => {
                    let head =
                        rpc_head("POST", "/pay", "Transfer-Encoding: chunked\r\nConnection: close\r\n");
                    [head.as_bytes(), &encode_chunked(&body, size)].concat()
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
                if head.to_ascii_lowercase().contains("chunked") { decode_chunked(&got) } else { Some(got) };
            assert!(got.is_some_and(|got| got == body));
            let metrics = b.dispatcher.metrics();
            assert_eq!((metrics.ends["pay"].completed, metrics.outstanding, metrics.attempts), (1, 0, 1));
        }
    });
}

/// Guards against a long answer that is held back until it is complete, that a time-out cuts off while the upstream is still
/// sending, that passes for complete though truncated, or that is requested again.
#[test]
fn long_answer_is_streamed() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        let half = pattern(100_000);
        let sent = half.clone();
        let calls = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = std::rc::Rc::clone(&calls);
        let go = std::rc::Rc::new(tokio::sync::Notify::new());
        let going = std::rc::Rc::clone(&go);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                read_message(&mut stream).await.expect("read the message");
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
                stream.write_all(&[head.as_bytes(), &sent].concat()).await.expect("write to the socket");
                going.notified().await;
                if counted.get() == 1 {
                    stream.write_all(&sent).await.expect("write to the socket");
                }
            }
        });
        let b = balancer_at(&[address], &[]).await;
        for complete in [true, false] {
            let mut caller = send(b.address, rpc_head("GET", "/look", "").replace("4000", "300")).await;
            let mut first = vec![0; 100_000];
            caller.read_exact(&mut first).await.expect("read the start of the answer");
            assert_eq!(b.dispatcher.metrics().outstanding, 1);
            // Still open long after its deadline.
            actix_rt::time::sleep(Duration::from_millis(600)).await;
            go.notify_one();
            let rest = if complete {
                let mut rest = vec![0; 100_000 - 1000];
                caller.read_exact(&mut rest).await.expect("read the rest of the answer");
                rest
            } else {
                read_to_end(&mut caller).await
            };
            assert_eq!(rest.len() > 50_000, complete, "{}", rest.len());
            wait_until(|| b.dispatcher.metrics().outstanding == 0).await;
        }
        let results = b.dispatcher.metrics().ends["look"];
        assert_eq!((results.completed, results.errored, calls.get()), (1, 1, 2));
    });
}

/// Guards against an upload that is answered only after its last byte, that runs on an upstream which did not receive all of it,
/// or that stays open after its caller stopped sending.
#[test]
fn failed_upload_ends_early() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    let mut some = [0; 4096];
                    let n = stream.read(&mut some).await.expect("message head");
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
        // Declined by the upstream during the upload: answered at once, and the rest is not read as an RPC.
        let mut early = send(b.address, [head("/pay/early").as_bytes(), &pattern(200_000)].concat()).await;
        assert_eq!(read_message(&mut early).await.expect("read the answer").status(), 503);
        // The caller stops sending: it gets an error in time, and nothing has run.
        let mut stops = send(b.address, [head("/pay").as_bytes(), &pattern(200_000)].concat()).await;
        let from = std::time::Instant::now();
        let status = read_message(&mut stops).await.expect("read the answer").status();
        assert!(status >= 400 && from.elapsed() < Duration::from_secs(3), "{status} {:?}", from.elapsed());
        // The caller leaves.
        drop(send(b.address, [head("/pay").as_bytes(), &pattern(200_000)].concat()).await);
        wait_until(|| b.dispatcher.metrics().left == 1 && b.dispatcher.open.borrow().is_empty()).await;
        // Larger than the limit, with and without a Content-Length.
        let (answer_head, _) =
            exchange(b.address, rpc_head("POST", "/pay", "Content-Length: 33554433\r\n").into_bytes()).await;
        assert!(answer_head.starts_with("HTTP/1.1 413"), "{answer_head}");
        let chunks = encode_chunked(&pattern(LARGE + 1), 1 << 20);
        let request =
            [rpc_head("POST", "/pay", "Transfer-Encoding: chunked\r\n").as_bytes(), &chunks].concat();
        let (answer_head, _) = exchange(b.address, request).await;
        assert!(answer_head.starts_with("HTTP/1.1 413"), "{answer_head}");
        assert_eq!(b.dispatcher.metrics().attempts, 0);
    });
}

/// Guards against cutting off a slow caller that makes progress, and against a deadline that starts before the last byte.
#[test]
fn slow_upload_is_limited_by_progress_and_deadline_starts_at_last_byte() {
    run(async {
        let up =
            start_stub(|_, message| if message.body.len() == 100_000 { ok("whole") } else { Reply::NoReply })
                .await;
        let b = balancer(&[&up], &[]).await;
        let body = pattern(100_000);
        let head = rpc_head("POST", "/pay", "Content-Length: 100000\r\n").replace("4000", "500");
        let mut caller = send(b.address, head).await;
        for part in body.chunks(10_000) {
            caller.write_all(part).await.expect("write to the socket");
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        let answer = read_message(&mut caller).await.expect("read the answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"whole"[..]));
    });
}
