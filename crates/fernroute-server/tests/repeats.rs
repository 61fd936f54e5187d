//! Repeats of attempts that may have run: where upstreams drop repeats only within a window, none may start after it.

mod common;

use actix_http::header::HeaderMap;
use actix_http::Method;
use bytes::Bytes;
use common::{balancer_at, decode_list, list_entry, ok, read_message, rpc_head, run, send, wait_until};
use fernroute_server::transport::client::{Body, Client, UpstreamRequest};
use fernroute_server::transport::outbound::{AttemptProgress, AttemptState, CURRENT_ATTEMPT};
use fernroute_server::transport::upstream_connections::ConnectionTable;
use fernroute_test_support::http::response;
use fernroute_test_support::stub::FullBacklog;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Upstream connections may take long to come up.
const SLOW_CONNECT: (&str, &str) = (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#);

/// The window within which upstreams drop repeats.
const WINDOW: Duration = Duration::from_secs(2);

/// Guards against running an RPC twice when a repeat is decided within the window and its connection comes up after it. With a long
/// window the same repeat is sent, which shows that only the window prevents it.
#[test]
fn repeat_connected_after_the_window_does_not_start() {
    for (window, status) in [(r#""window-s":2"#, 502), (r#""window-s":6"#, 200)] {
        run(async move {
            let held = FullBacklog::new().await.expect("fill the accept queue");
            let first = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
            let at = first.local_addr().expect("local address");
            let b = balancer_at(&[at], &[SLOW_CONNECT, (r#""window-s":5"#, window)]).await;
            let begun = Instant::now();
            let put = rpc_head("POST", "/put", "Idempotency-Key: k\r\nContent-Length: 0\r\n");
            let mut caller = send(b.address, put).await;
            let (mut stream, _) = first.accept().await.expect("accept a connection");
            read_message(&mut stream).await.expect("read the RPC");
            // The RPC may have run there. From here on, connections to the only other upstream come up late.
            let both =
                [list_entry("s-0", at, "z", "DRAINING"), list_entry("s-1", held.address, "z", "SERVING")];
            b.dispatcher.apply_list(&decode_list(8, true, &both), true);
            stream.write_all(&response(500, "", "")).await.expect("write to the socket");
            wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts_started == 2)).await;
            assert!(
                begun.elapsed() < WINDOW,
                "the machine is too slow: the repeat must be decided within the window"
            );
            tokio::time::sleep(WINDOW.saturating_sub(begun.elapsed())).await;
            let up = held.release(|_, _| ok("whole"));
            let ended = read_message(&mut caller).await.expect("read the complete answer");
            assert!(begun.elapsed() > WINDOW, "the connection must come up after the window");
            assert_eq!(
                (ended.status() == 200, up.received.borrow().len()),
                (status == 200, (status == 200) as usize)
            );
            wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        });
    }
}

/// Guards against running an RPC twice: an attempt can run once its last byte has arrived. A body that the upstream reads slowly
/// starts within the window and would be complete after it, so its last byte must not be sent. With enough time all of it is sent.
#[test]
fn attempt_past_its_write_deadline_is_never_completed() {
    /// More than the socket buffers hold for a connection that nobody reads.
    const BODY: usize = 16 << 20;
    const PAUSE: Duration = Duration::from_millis(600);
    for (left, is_complete) in [(Duration::from_millis(300), false), (Duration::from_secs(60), true)] {
        run(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
            let address = listener.local_addr().expect("local address");
            let upstream = actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("accept a connection");
                tokio::time::sleep(PAUSE).await;
                let mut received = 0;
                let mut piece = vec![0; 1 << 20];
                while received < BODY {
                    match stream.read(&mut piece).await {
                        Ok(0) | Err(_) => return received,
                        Ok(bytes) => received += bytes,
                    }
                }
                stream.write_all(&response(200, "", "whole")).await.expect("write to the socket");
                received
            });
            let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, BODY);
            let attempt = AttemptState::new(None, &Rc::default());
            attempt.set_write_deadline(left);
            let body = Body::Buffered(Bytes::from(vec![b'x'; BODY]));
            let uri = format!("http://{address}/put");
            let call = UpstreamRequest {
                method: Method::POST,
                uri,
                headers: HeaderMap::new(),
                body,
                new_connection: true,
            };
            let answered = client.upstream(address).send(call, &attempt).await;
            let received = upstream.await.expect("upstream task completes");
            assert_eq!((answered.is_ok(), received >= BODY), (is_complete, is_complete), "{received} bytes");
            assert_eq!(
                attempt.progress() >= AttemptProgress::RequestWritten,
                is_complete,
                "the progress must tell whether the request was written completely"
            );
        });
    }
}

/// Guards against an attempt that is complete at its upstream and reported as incomplete: all of it was sent in time, and the
/// deadline passed before that was recorded.
#[test]
fn attempt_written_in_time_counts_as_written_after_its_deadline() {
    const LEFT: Duration = Duration::from_millis(100);
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let attempt = Rc::<AttemptState>::default();
        attempt.set_write_deadline(LEFT);
        let write = async {
            let table = ConnectionTable::new(1, 0);
            let address = listener.local_addr().expect("local address");
            let mut out = table.connect(address, Weak::new()).await.expect("free connection slot");
            assert_eq!(out.write(b"all of it").await.expect("write to the connection"), 9);
            tokio::time::sleep(2 * LEFT).await;
            out.flush().await.expect("flush after all bytes were written");
            assert_eq!(attempt.progress(), AttemptProgress::RequestWritten);
        };
        CURRENT_ATTEMPT.scope(Rc::clone(&attempt), write).await;
    });
}
