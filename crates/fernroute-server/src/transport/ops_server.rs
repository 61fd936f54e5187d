//! The operators' HTTP server: a few connections, each for one request.

use crate::protocol::ops::{Call, Reply, MAX_HEAD_BYTES};
use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Enough for monitoring tools that poll every second and for an operator at the same time. A further connection closes the oldest one,
/// so that idle connections do not keep operators out.
pub const MAX_CONNECTIONS: usize = 8;

/// Time limit for one connection, from its start until the answer has been read. Long enough for a person who types a
/// request.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// After the answer, input is read and discarded for this long: closing a socket with unread bytes would reset the
/// connection, and the operator might lose the answer.
const LINGER: Duration = Duration::from_millis(500);

/// Serves operators until the program ends.
pub async fn run(listener: TcpListener, answer: impl Fn(Call) -> Reply + 'static) {
    let answer = Rc::new(answer);
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                connections.retain(|connection| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    connections.pop_front().into_iter().for_each(|oldest| oldest.abort());
                }
                let answer = Rc::clone(&answer);
                connections.push_back(actix_rt::spawn(async move {
                    let _ = timeout(CONNECTION_TIMEOUT, serve_connection(stream, &*answer)).await;
                }));
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!("cannot accept an operator's connection: {error}");
                }
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection(mut stream: TcpStream, answer: &impl Fn(Call) -> Reply) {
    let mut received = BytesMut::with_capacity(1024);
    let call = loop {
        if let Some(call) = Call::decode(&received) {
            break call;
        }
        received.reserve(1024);
        // A connection closed before any byte has made no request.
        if !stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {
            if received.is_empty() {
                return;
            }
            break Err(StatusCode::BAD_REQUEST);
        }
        debug_assert!(received.len() <= 2 * MAX_HEAD_BYTES);
    };
    let reply = call.map_or_else(|status| Reply::plain(status, "no such call"), answer);
    if stream.write_all(&reply.encode()).await.is_ok() && stream.shutdown().await.is_ok() {
        let mut buffer = [0; 1024];
        let drain = async { while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {} };
        let _ = timeout(LINGER, drain).await;
    }
}
