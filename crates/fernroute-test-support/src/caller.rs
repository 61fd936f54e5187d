//! Test callers that write raw HTTP bytes, and a load generator built from them.

use crate::http::{read_message, Message};
use crate::wait_until;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Builds the request head of an RPC with a unique id.
pub fn rpc_head(verb: &str, path: &str, more: &str) -> String {
    static IDS: AtomicUsize = AtomicUsize::new(0);
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let method = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    format!(
        "{verb} {path} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r{id}\r\nReq-Kind: {method}\r\n\
        Req-Deadline-Ms: 4000\r\n{more}\r\n"
    )
}

pub async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the server accepts the connection")
}

/// Sends bytes on a new connection.
pub async fn send(address: SocketAddr, bytes: impl AsRef<[u8]>) -> TcpStream {
    let mut stream = connect(address).await;
    stream.write_all(bytes.as_ref()).await.expect("the server reads the request");
    stream
}

/// Sends bytes on a new connection and reads one response.
pub async fn send_and_read(address: SocketAddr, bytes: impl AsRef<[u8]>) -> Message {
    read_message(&mut send(address, bytes).await).await.expect("a complete response")
}

/// Sends a request without a body, for example to the operations port, and returns the response status.
pub async fn request_status(at: SocketAddr, verb: &str, path: &str) -> u16 {
    send_and_read(at, format!("{verb} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")).await.status()
}

pub async fn is_ready(at: SocketAddr) -> bool {
    request_status(at, "GET", "/-/ready").await == 200
}

pub async fn until_ready(at: SocketAddr) {
    while !is_ready(at).await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A closed-loop load: each caller sends one non-retriable RPC after another on a persistent connection until stopped.
#[derive(Default)]
pub struct CallerLoad {
    stop: Cell<bool>,
    pub answered: Cell<usize>,
    /// Idle connections that the server closed while an RPC was being written. The caller sends again on a new one.
    pub closed_on_write: Cell<usize>,
    pub failures: RefCell<Vec<String>>,
    running: Cell<usize>,
    /// Finished RPCs of each caller, whatever the outcome.
    ended: RefCell<Vec<usize>>,
}

impl CallerLoad {
    pub fn start(callers: usize, at: SocketAddr) -> Rc<Self> {
        let ended = RefCell::new(vec![0; callers]);
        let load = Rc::new(CallerLoad { running: Cell::new(callers), ended, ..CallerLoad::default() });
        for caller in 0..callers {
            let load = Rc::clone(&load);
            spawn_local(async move {
                let mut kept: Option<TcpStream> = None;
                while !load.stop.get() {
                    kept = load.one(at, kept).await;
                    load.ended.borrow_mut()[caller] += 1;
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                load.running.set(load.running.get() - 1);
            });
        }
        load
    }

    async fn one(&self, at: SocketAddr, kept: Option<TcpStream>) -> Option<TcpStream> {
        let fail = |failure: String| self.failures.borrow_mut().push(failure);
        let request = rpc_head("POST", "/pay", "Content-Length: 0\r\n");
        let again = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => match TcpStream::connect(at).await {
                Ok(stream) => stream,
                Err(why) => {
                    fail(format!("connect: {why}"));
                    return None;
                }
            },
        };
        let answer = match stream.write_all(request.as_bytes()).await {
            Ok(()) => read_message(&mut stream).await,
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.status() == 200 && answer.body == b"whole" => {
                self.answered.set(self.answered.get() + 1);
                (!answer.closes_connection()).then_some(stream)
            }
            Some(answer) => {
                fail(answer.head + &String::from_utf8_lossy(&answer.body));
                None
            }
            None if again => {
                self.closed_on_write.set(self.closed_on_write.get() + 1);
                None
            }
            None => {
                fail("a new connection ended without a complete response".to_owned());
                None
            }
        }
    }

    /// Waits until this many further RPCs have been answered, or one has failed.
    pub async fn wait_for_answers(&self, answers: usize) {
        let goal = self.answered.get() + answers;
        wait_until(|| self.answered.get() >= goal || !self.failures.borrow().is_empty()).await;
    }

    /// Waits until each caller has finished the RPC it has in flight; any later result belongs to an RPC sent after this call.
    pub async fn wait_for_in_flight(&self) {
        let before = self.ended.borrow().clone();
        wait_until(|| self.ended.borrow().iter().zip(&before).all(|(now, before)| now > before)).await;
    }

    pub async fn finish(&self) {
        self.stop.set(true);
        wait_until(|| self.running.get() == 0).await;
        assert!(self.failures.borrow().is_empty(), "{:?}", self.failures.borrow());
    }
}
