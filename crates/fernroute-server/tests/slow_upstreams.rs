//! Upstreams that write a long answer slowly, or read a long body slowly (issue 60, picture d).

mod common;

use common::{balancer_at, connect, read_message, rpc_head, run};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Guards against cutting off an answer that its upstream is still writing, far past the caller's time.
#[test]
fn long_answer_that_is_written_slowly_is_forwarded_whole() {
    const PART_BYTES: usize = 1_500;
    const PARTS: usize = 100;
    const PAUSE: Duration = Duration::from_millis(100);
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let at = listener.local_addr().expect("local address");
        let upstream = async {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            read_message(&mut stream).await.expect("read the RPC");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PART_BYTES * PARTS);
            stream.write_all(head.as_bytes()).await.expect("write the head");
            for _ in 0..PARTS {
                stream.write_all(&[b'x'; PART_BYTES]).await.expect("write a part");
                sleep(PAUSE).await;
            }
            stream
        };
        let b = balancer_at(&[at], &[]).await;
        let caller = async {
            let mut caller = connect(b.address).await;
            let request = rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 2000");
            caller.write_all(request.as_bytes()).await.expect("send the request");
            read_message(&mut caller).await.expect("the whole answer")
        };
        let (answer, _stream) = tokio::join!(caller, upstream);
        assert_eq!((answer.status(), answer.body.len()), (200, PART_BYTES * PARTS));
    });
}

/// Guards against a final answer seconds after its time, where the upstream reads the body steadily and too slowly.
#[test]
fn long_body_that_is_read_slowly_is_answered_in_time() {
    const BODY_BYTES: usize = 2 << 20;
    /// 400 kB a second.
    const READ_BYTES: usize = 8_000;
    const READ_EVERY: Duration = Duration::from_millis(20);
    const DEADLINE: Duration = Duration::from_secs(1);
    /// A request is lost if its answer comes later than this after its time.
    const LATE: Duration = Duration::from_millis(500);
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let at = listener.local_addr().expect("local address");
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    let mut part = vec![0; READ_BYTES];
                    while stream.read(&mut part).await.is_ok_and(|bytes| bytes > 0) {
                        sleep(READ_EVERY).await;
                    }
                });
            }
        });
        let b = balancer_at(&[at], &[]).await;
        let mut caller = connect(b.address).await;
        let more = format!("Idempotency-Key: k\r\nContent-Length: {BODY_BYTES}\r\n");
        let head =
            rpc_head("POST", "/put", &more).replace("Ms: 4000", &format!("Ms: {}", DEADLINE.as_millis()));
        caller.write_all(head.as_bytes()).await.expect("send the head");
        // The answer may come before the sockets have taken all of it.
        let _ = tokio::time::timeout(DEADLINE, caller.write_all(&vec![b'x'; BODY_BYTES])).await;
        let sent = Instant::now();
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!([502, 503].contains(&answer.status()), "{}", answer.status());
        assert!(sent.elapsed() < DEADLINE + LATE, "{:?}", sent.elapsed());
    });
}
