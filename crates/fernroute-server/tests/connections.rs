//! Connections to upstreams that are kept: each carries one RPC at a time, and its answer is that RPC's.

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

/// Longer than what is held of an answer before it is handed on, short enough that the machine takes it at once.
const LONG: usize = 150_000;

/// An upstream takes so long over a short answer; other calls are made meanwhile.
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
                    // Whoever has closed it does not want it.
                    let _ = connection.write(&response(200, "", &body)).await;
                }
            });
        }
    });
    address
}

async fn call(line: &UpstreamClient, path: &str) -> Result<UpstreamAnswer, UpstreamError> {
    let uri = format!("http://{}{path}", line.address);
    let body = Body::Buffered(Bytes::new());
    let call =
        UpstreamRequest { method: Method::POST, uri, headers: HeaderMap::new(), body, new_connection: false };
    line.send(call, &AttemptState::new(None, &Rc::default())).await
}

async fn body_of(line: &UpstreamClient, path: &str) -> String {
    let answered = call(line, path).await.unwrap_or_else(|why| panic!("{path}: {why}"));
    let (_, body) = answered.collect().await.expect("read the complete answer");
    String::from_utf8_lossy(&body).into_owned()
}

/// A long answer of which all bytes are taken, its end with the last of them.
async fn long_answer(line: &UpstreamClient) -> AnswerStream {
    let answered = call(line, "/long").await.unwrap_or_else(|why| panic!("{why}"));
    let mut rest = answered.remaining.expect("body that continues after the first read");
    let mut came = answered.body_start.len();
    while came < LONG {
        // What is there, its end with it.
        tokio::time::sleep(Duration::from_millis(20)).await;
        came += rest
            .next(2 * LONG)
            .await
            .expect("next part of the answer")
            .expect("next part of the answer")
            .len();
    }
    rest
}

/// Guards against one RPC's answer given to another, and against what follows from it: an RPC that is sent again since the
/// answer to another one says that it was turned away. The end of a long answer comes with its last bytes; while a slow
/// caller takes these, other RPCs are sent to the same upstream.
#[test]
fn what_is_sent_while_the_end_of_a_long_answer_is_handed_on_gets_its_own_answer() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let line = Rc::new(client.upstream(upstream().await));
        let mut rest = long_answer(&line).await;
        let second = actix_rt::spawn({
            let line = Rc::clone(&line);
            async move { body_of(&line, "/second").await }
        });
        tokio::time::sleep(WORK / 3).await;
        assert!(rest.next(LONG).await.expect("end of the answer").is_none());
        // Past the rest that a connection has between two RPCs.
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(body_of(&line, "/third").await, "/third");
        assert_eq!(second.await.expect("second call completes"), "/second");
    });
}

/// Guards against a connection that is lost with an answer nobody takes to its end: its end has come, and the next RPC is
/// sent on the same one.
#[test]
fn a_long_answer_whose_end_has_come_leaves_its_connection_to_the_next() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let line = client.upstream(upstream().await);
        drop(long_answer(&line).await);
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(body_of(&line, "/next").await, "/next");
        assert_eq!(client.connections(), 1, "the one that is kept");
    });
}

/// Longer than what the machine holds of an answer that its caller takes slowly; its end comes with its last bytes.
const SLOWLY_TAKEN: usize = 400_000;

/// Slow callers, one after another at so many places.
const PLACES: usize = 5;
const EACH: usize = 8;

/// What two upstreams had and did not turn away: the keys of RPCs that ran, by the upstream.
type Ran = Rc<RefCell<[Vec<String>; 2]>>;

/// One in a zone of its own: `/look/long` has a long answer, every other RPC is turned away at the one, and runs at the other.
async fn zoned(n: usize, ran: Ran) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
    let count = Rc::new(Cell::new(0_usize));
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (ran, count) = (Rc::clone(&ran), Rc::clone(&count));
            actix_rt::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(message)) = connection.read().await {
                    let said = if message.target == "/look/long" {
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
                    let _ = connection.write(&said).await;
                }
            });
        }
    });
    address
}

/// Reads a long answer in small steps, at so many bytes each millisecond.
async fn take_slowly(balancer: SocketAddr, step: usize) {
    let socket = tokio::net::TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("set the socket buffer size");
    let mut stream = socket.connect(balancer).await.expect("connect to the balancer");
    let asked = rpc_head("GET", "/look/long", "Connection: close\r\n");
    stream.write_all(asked.as_bytes()).await.expect("complete transfer");
    let mut piece = vec![0; step];
    let mut came = 0;
    while let Ok(bytes) = stream.read(&mut piece).await {
        if bytes == 0 {
            break;
        }
        came += bytes;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(came >= SLOWLY_TAKEN, "a whole answer");
}

/// Guards against the effect twice: where the connection goes to another RPC while the end of a long answer is handed on, an RPC
/// that ran is told that it was turned away, as another one was, and runs again outside the group that drops its repeats.
#[test]
fn what_ran_beside_slow_callers_of_long_answers_is_not_sent_again_for_the_answer_of_another() {
    run(async {
        let ran: Ran = Rc::default();
        let at = [zoned(0, Rc::clone(&ran)).await, zoned(1, Rc::clone(&ran)).await];
        let b = balancer_at(&at, &[(r#""group":"all""#, r#""group":"zone""#)]).await;
        let zones = [list_entry("s-0", at[0], "z", "SERVING"), list_entry("s-1", at[1], "y", "SERVING")];
        b.dispatcher.apply_list(&decode_list(8, true, &zones), true);
        // Accepted connections have the same: with the usual megabytes a slow caller holds up the end of few answers.
        let listener = b.server.listener().expect("listen on the socket");
        rustix::net::sockopt::set_socket_send_buffer_size(&listener, 16 * 1024)
            .expect("set the socket buffer size");
        let place = |place: usize| {
            let address = b.address;
            actix_rt::spawn(async move {
                for _ in 0..EACH {
                    take_slowly(address, 1_500 + 500 * place).await;
                }
            })
        };
        let slow: Vec<_> = (0..PLACES).map(place).collect();
        let mut others = Vec::new();
        let mut n = 0;
        while !slow.iter().all(|task| task.is_finished()) {
            n += 1;
            let (address, key) = (b.address, format!("k{n}"));
            others.push(actix_rt::spawn(async move {
                let headers = format!("Idempotency-Key: {key}\r\nContent-Length: 0\r\nConnection: close\r\n");
                let said = send_and_read(address, rpc_head("POST", "/put", &headers)).await;
                assert!(
                    said.status() != 200 || said.body == key.as_bytes(),
                    "{key} has the answer of another"
                );
            }));
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        for other in others {
            other.await.expect("the RPC's own answer");
        }
        let [one, two] = &*ran.borrow();
        let both: Vec<&String> = one.iter().filter(|key| two.contains(key)).collect();
        assert!(both.is_empty(), "{both:?} ran twice, in two groups");
        assert!(one.len() > 10, "{} ran at the one", one.len());
    });
}
