//! Connections to upstreams that are kept: each carries one RPC at a time, and its answer is that RPC's.

mod common;

use actix_http::header::HeaderMap;
use actix_http::Method;
use bytes::Bytes;
use common::run;
use fernroute_rig::http::{answer, Peer};
use fernroute_server::transport::client::{Answered, Body, Broken, Call, Client, UpstreamClient};
use fernroute_server::transport::outbound::AttemptState;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longer than what is held of an answer before it is handed on, short enough that the machine takes it at once.
const LONG: usize = 150_000;

/// An upstream takes so long over a short answer; other calls are made meanwhile.
const WORK: Duration = Duration::from_millis(150);

/// Answers each RPC on its own connection in order: `/long` with a long body at once, others with their path after [`WORK`].
async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut connection = Peer::new(stream);
                while let Ok(Some(message)) = connection.read().await {
                    let path = message.target.clone();
                    let body = if path == "/long" { "x".repeat(LONG) } else { path };
                    if body.len() < LONG {
                        tokio::time::sleep(WORK).await;
                    }
                    // Whoever has closed it does not want it.
                    let _ = connection.write(&answer(200, "", &body)).await;
                }
            });
        }
    });
    address
}

async fn call(line: &UpstreamClient, path: &str) -> Result<Answered, Broken> {
    let uri = format!("http://{}{path}", line.address);
    let body = Body::Whole(Bytes::new());
    let call = Call { verb: Method::POST, uri, headers: HeaderMap::new(), body, fresh: false };
    line.call(call, &AttemptState::of(None, &Rc::default())).await
}

async fn body_of(line: &UpstreamClient, path: &str) -> String {
    let answered = call(line, path).await.unwrap_or_else(|why| panic!("{path}: {why}"));
    let (_, body) = answered.whole().await.expect("a whole answer");
    String::from_utf8_lossy(&body).into_owned()
}

/// Guards against one RPC's answer given to another, and against what follows from it: an RPC that is sent again since the
/// answer to another one says that it was turned away. The end of a long answer comes with its last bytes; while a slow
/// caller takes these, other RPCs are sent to the same upstream.
#[test]
fn what_is_sent_while_the_end_of_a_long_answer_is_handed_on_gets_its_own_answer() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let line = Rc::new(client.upstream(upstream().await));
        let answered = call(&line, "/long").await.unwrap_or_else(|why| panic!("{why}"));
        let mut rest = answered.rest.expect("a long answer has a rest");
        let mut came = answered.first.len();
        while came < LONG {
            // What is there, its end with it.
            tokio::time::sleep(Duration::from_millis(20)).await;
            came += rest.next(2 * LONG).await.expect("more of it").expect("more of it").len();
        }
        let second = actix_rt::spawn({
            let line = Rc::clone(&line);
            async move { body_of(&line, "/second").await }
        });
        tokio::time::sleep(WORK / 3).await;
        assert!(rest.next(LONG).await.expect("its whole end").is_none());
        // Past the rest that a connection has between two RPCs.
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(body_of(&line, "/third").await, "/third");
        assert_eq!(second.await.expect("the second call ends"), "/second");
    });
}

/// Guards against a connection that is lost with an answer nobody takes to its end: its end has come, and the next RPC is
/// sent on the same one.
#[test]
fn a_long_answer_whose_end_has_come_leaves_its_connection_to_the_next() {
    run(async {
        let client = Client::new(Duration::from_secs(1), Duration::from_secs(10), 8, 1 << 20);
        let line = client.upstream(upstream().await);
        let answered = call(&line, "/long").await.unwrap_or_else(|why| panic!("{why}"));
        let mut rest = answered.rest.expect("a long answer has a rest");
        let mut came = answered.first.len();
        while came < LONG {
            tokio::time::sleep(Duration::from_millis(20)).await;
            came += rest.next(2 * LONG).await.expect("more of it").expect("more of it").len();
        }
        drop(rest);
        tokio::time::sleep(WORK / 5).await;
        assert_eq!(body_of(&line, "/next").await, "/next");
        assert_eq!(client.connections(), 1, "the one that is kept");
    });
}
