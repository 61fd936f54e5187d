//! The operators' door: a few places of its own, each for one call.

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

/// Connections at once. Tools that look every second and a person beside them hold one each, for a moment; the one that
/// came first goes when another wants its place, so that who says nothing holds none that is wanted.
pub const MAX_CONNECTIONS: usize = 8;

/// A call has come whole, and its answer is taken, within this time: a person who types one is not cut short, and
/// who says nothing leaves.
const WHOLE: Duration = Duration::from_secs(5);

/// After the answer what still comes is read and dropped for this long: closing on unread bytes would reset the
/// connection, and the caller might never see the answer.
const LINGER: Duration = Duration::from_millis(500);

/// Answers operators for as long as the program runs.
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
                    connections.pop_front().into_iter().for_each(|first| first.abort());
                }
                let answer = Rc::clone(&answer);
                connections.push_back(actix_rt::spawn(async move {
                    let _ = timeout(WHOLE, host(stream, &*answer)).await;
                }));
            }
            Err(why) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!("operators' door: {why}");
                }
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn host(mut stream: TcpStream, answer: &impl Fn(Call) -> Reply) {
    let mut heard = BytesMut::with_capacity(1024);
    let call = loop {
        if let Some(call) = Call::decode(&heard) {
            break call;
        }
        heard.reserve(1024);
        // An end before the head's end, and after it nothing: no call.
        if !stream.read_buf(&mut heard).await.is_ok_and(|n| n > 0) {
            if heard.is_empty() {
                return;
            }
            break Err(StatusCode::BAD_REQUEST);
        }
        debug_assert!(heard.len() <= 2 * MAX_HEAD_BYTES);
    };
    let reply = call.map_or_else(|status| Reply::plain(status, "no such call"), answer);
    if stream.write_all(&reply.encode()).await.is_ok() && stream.shutdown().await.is_ok() {
        let mut rest = [0; 1024];
        let rest = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
        let _ = timeout(LINGER, rest).await;
    }
}
