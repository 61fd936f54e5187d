//! Kept connections to upstreams: each carries one RPC at a time, and an answer belongs to that RPC.

mod common;

use actix_http::header::HeaderMap;
use actix_http::Method;
use bytes::Bytes;
use common::{balancer_at, decode_list, list_entry, rpc_head, run, send_and_read};
use fernroute_server::transport::client::{
    AnswerStream, Body, Client, UpstreamAnswer, UpstreamClient, UpstreamError, UpstreamRequest,
};
use fernroute_server::transport::outbound::AttemptState;
use fernroute_test_support::http::{response, Connection};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Longer than the part of an answer that is buffered before it is forwarded, and short enough for the socket buffers.
const LONG: usize = 150_000;

/// The time that an upstream takes for a short answer, during which other calls are made.
const WORK: Duration = Duration::from_millis(150);

/// Answers each RPC on its own connection in order: `/long` with a long body at once, others with their path after [`WORK`].
async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(message)) = connection.read().await {
                    let path = message.target.clone();
                    let body = if path == "/long" { "x".repeat(LONG) } else { path };
                    if body.len() < LONG {
                        tokio::time::sleep(WORK).await;
                    }
                    // A peer that has closed the connection does not need the answer.
                    let _ = connection.write(&response(200, "", &body)).await;
                }
            });
        }
    });
    address
}

async fn call(upstream_client: &UpstreamClient, path: &str) -> Result<UpstreamAnswer, UpstreamError> {
    let uri = format!("http://{}{path}", upstream_client.address);
    let body = Body::Buffered(Bytes::new());
    let call =
        UpstreamRequest { method: Method::POST, uri, headers: HeaderMap::new(), body, new_connection: false };
    upstream_client.send(call, &AttemptState::new(None, &Rc::default())).await
}

async fn answer_body(upstream_client: &UpstreamClient, path: &str) -> String {
    let answered = call(upstream_client, path).await.unwrap_or_else(|error| panic!("{path}: {error}"));
    let (_, body) = answered.collect().await.expect("read the complete answer");
    String::from_utf8_lossy(&body).into_owned()
}

/// A long answer of which all bytes have been read, with its end pending after the last of them.
async fn long_answer(upstream_client: &UpstreamClient) -> AnswerStream {
    let answered = call(upstream_client, "/long").await.unwrap_or_else(|error| panic!("{error}"));
    let mut rest = answered.remaining.expect("body that continues after the first read");
    let mut received = answered.body_start.len();
    while received < LONG {
        // Time for the remaining bytes and the end to arrive.
        tokio::time::sleep(Duration::from_millis(20)).await;
        received += rest
            .next(2 * LONG)
            .await
            .expect("next part of the answer")
            .expect("next part of the answer")
            .len();
    }
    rest
}

/// Guards against delivering one RPC's answer to another, and so against repeating an RPC because another one was declined. The end
/// of a long answer arrives with its last bytes; while a slow caller reads these, other RPCs are sent to the same upstream.
#[test]
fn rpc_sent_during_the_end_of_a_long_answer_gets_its_own_answer() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let upstream_client = Rc::new(client.upstream(upstream().await));
        let mut rest = long_answer(&upstream_client).await;
        let second = actix_rt::spawn({
            let upstream_client = Rc::clone(&upstream_client);
            async move { answer_body(&upstream_client, "/second").await }
        });
        tokio::time::sleep(WORK / 3).await;
        assert!(rest.next(LONG).await.expect("end of the answer").is_none());
        // Longer than the time for which a connection is not reused between two RPCs.
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(answer_body(&upstream_client, "/third").await, "/third");
        assert_eq!(second.await.expect("second call completes"), "/second");
    });
}

/// Guards against closing a connection because its answer was not read to the end: the end has arrived, and the next RPC must use
/// the same connection.
#[test]
fn finished_long_answer_frees_its_connection() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let upstream_client = client.upstream(upstream().await);
        drop(long_answer(&upstream_client).await);
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(answer_body(&upstream_client, "/next").await, "/next");
        assert_eq!(client.connections(), 1, "the kept connection must be reused");
    });
}

/// Longer than the part of an answer that socket buffers hold for a slow caller; its end arrives with its last bytes.
const SLOWLY_TAKEN: usize = 400_000;

/// The number of concurrent slow callers, and of answers that each reads in turn.
const SLOW_CALLERS: usize = 5;
const ANSWERS_EACH: usize = 8;

/// The keys of RPCs that two upstreams ran, that is, did not decline, by upstream.
type Ran = Rc<RefCell<[Vec<String>; 2]>>;

/// An upstream in its own zone: `/look/long` has a long answer. Upstream 0 declines every fourth other RPC and runs the rest;
/// upstream 1 runs all of them.
async fn zone_upstream(n: usize, ran: Ran) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
    let count = Rc::new(Cell::new(0_usize));
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (ran, count) = (Rc::clone(&ran), Rc::clone(&count));
            actix_rt::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(message)) = connection.read().await {
                    let reply = if message.target == "/look/long" {
                        response(200, "", &"x".repeat(SLOWLY_TAKEN))
                    } else {
                        tokio::time::sleep(WORK / 3).await;
                        count.set(count.get() + 1);
                        let key = message.header("idempotency-key").unwrap_or_default().to_owned();
                        if n == 0 && count.get().is_multiple_of(4) {
                            response(503, "Srv-Declined: 1\r\n", "")
                        } else {
                            ran.borrow_mut()[n].push(key.clone());
                            response(200, "", &key)
                        }
                    };
                    let _ = connection.write(&reply).await;
                }
            });
        }
    });
    address
}

/// Reads a long answer in steps of at most this many bytes each millisecond.
async fn read_slowly(balancer: SocketAddr, step: usize) {
    let socket = tokio::net::TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("set the socket buffer size");
    let mut stream = socket.connect(balancer).await.expect("connect to the balancer");
    let request = rpc_head("GET", "/look/long", "Connection: close\r\n");
    stream.write_all(request.as_bytes()).await.expect("write to the socket");
    let mut piece = vec![0; step];
    let mut received = 0;
    while let Ok(bytes) = stream.read(&mut piece).await {
        if bytes == 0 {
            break;
        }
        received += bytes;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(received >= SLOWLY_TAKEN, "the answer must be complete");
}

/// Guards against running an RPC twice: if a connection were reused while the end of a long answer is forwarded, an RPC that ran
/// could get another RPC's declined answer, and would run again outside the group that drops its repeats.
#[test]
fn slow_readers_of_long_answers_cause_no_repeated_rpcs() {
    run(async {
        let ran: Ran = Rc::default();
        let at = [zone_upstream(0, Rc::clone(&ran)).await, zone_upstream(1, Rc::clone(&ran)).await];
        let b = balancer_at(&at, &[(r#""group":"all""#, r#""group":"zone""#)]).await;
        let zones = [list_entry("s-0", at[0], "z", "SERVING"), list_entry("s-1", at[1], "y", "SERVING")];
        b.dispatcher.apply_list(&decode_list(8, true, &zones), true);
        // Accepted connections inherit the small buffer: with the usual megabytes, a slow caller would delay the end of few answers.
        let listener = b.server.listener().expect("listen on the socket");
        rustix::net::sockopt::set_socket_send_buffer_size(&listener, 16 * 1024)
            .expect("set the socket buffer size");
        let slow_caller = |slow_caller: usize| {
            let address = b.address;
            actix_rt::spawn(async move {
                for _ in 0..ANSWERS_EACH {
                    read_slowly(address, 1_500 + 500 * slow_caller).await;
                }
            })
        };
        let slow: Vec<_> = (0..SLOW_CALLERS).map(slow_caller).collect();
        let mut others = Vec::new();
        let mut n = 0;
        while !slow.iter().all(|task| task.is_finished()) {
            n += 1;
            let (address, key) = (b.address, format!("k{n}"));
            others.push(actix_rt::spawn(async move {
                let headers = format!("Idempotency-Key: {key}\r\nContent-Length: 0\r\nConnection: close\r\n");
                let reply = send_and_read(address, rpc_head("POST", "/put", &headers)).await;
                assert!(
                    reply.status() != 200 || reply.body == key.as_bytes(),
                    "{key} got another RPC's answer"
                );
            }));
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        for other in others {
            other.await.expect("the RPC's own answer");
        }
        let [one, two] = &*ran.borrow();
        let both: Vec<&String> = one.iter().filter(|key| two.contains(key)).collect();
        assert!(both.is_empty(), "{both:?} ran in both groups");
        assert!(one.len() > 10, "only {} ran at upstream 0", one.len());
    });
}
