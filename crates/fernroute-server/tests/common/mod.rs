//! Stand-ins on loopback: upstreams and discovery that follow a script, callers that write plain bytes.

// Each file of tests uses a part of these.
#![allow(dead_code)]

use fernroute_server::program::serve::{self, Running};
use fernroute_server::program::station::Station;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Runs a test on one thread, as the program runs; it must end.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = actix_rt::Runtime::new().expect("a runtime");
    let end = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), test).await });
    end.expect("the test ends");
}

/// Comes true, or the test ends by its own time-out.
pub async fn until(mut what: impl FnMut() -> bool) {
    while !what() {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

/// One HTTP message: its head, lower case and whole, and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line =
            |l: &'_ str| l.to_ascii_lowercase().starts_with(&format!("{}:", name.to_ascii_lowercase()));
        self.head.lines().find(|l| line(l)).and_then(|l| l.split_once(':')).map(|(_, v)| v.trim())
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message of stated length; none at the end of the connection.
pub async fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let mut message = Message { head: String::from_utf8(head).expect("a head"), body: Vec::new() };
    let length = message.header("content-length").map_or(0, |n| n.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// What a stand-in does with one message.
pub enum Deed {
    Say(Vec<u8>),
    SayAndClose(Vec<u8>),
    /// Nothing, and it notes when the other side has closed.
    Silence,
}

pub fn ok(body: &str) -> Deed {
    Deed::Say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

pub fn say(status: &str) -> Deed {
    Deed::Say(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

/// A stand-in's address and what it saw.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: RefCell<Vec<Message>>,
    pub connections: Cell<usize>,
    pub left: Cell<usize>,
}

/// Answers messages as the script says, which is told how many came before.
pub async fn stand_in(script: impl Fn(usize, &Message) -> Deed + 'static) -> Rc<StandIn> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let this =
        Rc::new(StandIn { address, seen: RefCell::default(), connections: Cell::new(0), left: Cell::new(0) });
    let (stand, script) = (Rc::clone(&this), Rc::new(script));
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (stand, script) = (Rc::clone(&stand), Rc::clone(&script));
            stand.connections.set(stand.connections.get() + 1);
            actix_rt::spawn(async move {
                while let Some(message) = read(&mut stream).await {
                    let deed = script(stand.seen.borrow().len(), &message);
                    stand.seen.borrow_mut().push(message);
                    match deed {
                        Deed::Say(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
                        Deed::SayAndClose(bytes) => return stream.write_all(&bytes).await.unwrap_or(()),
                        Deed::Silence => {}
                    }
                }
                stand.left.set(stand.left.get() + 1);
            });
        }
    });
    this
}

/// A deployment of the tests' own: a method of each kind, and whatever `changes` puts in place of a text.
pub fn page(upstreams: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> String {
    let entry = |(n, a): (usize, &SocketAddr)| {
        format!(r#"{{"id":"s-{n}","addr":"{a}","zone":"z","cell":0,"state":"SERVING","started_ms":0}}"#)
    };
    let list: Vec<String> = upstreams.iter().enumerate().map(entry).collect();
    let method = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","window-s":5,"soft-deadline-s":2.5,
            "hard-deadline-s":6.0,"gain":1.0,"late-gain":0.5}}"#
        )
    };
    let mut text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "ops":"127.0.0.1:0",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{{"version":7,"full":true,"servers":[{}]}},
        "settings":{{"n-instances":1,"me":0,"layer":0,"zone":"z","quantum-s":0.005,"orgs":[],
        "feedback":{{"names":["avg_ms","cpu"],"source":"piggyback"}},"membership-mode":"automatic",
        "ceilings":{{"cancel":true,"connect-timeout-s":0.25,"keepalive-s":30.0,"max-transmissions":3,
        "retry-after":true,"max-retry-after-s":2.0}},
        "contract":{{"cold-from":0.3,"warm-within-s":8,"tip-multiple":2.5,"overload-for-s":3}},
        "methods":[{},{},{}]}}}}"#,
        list.join(","),
        method("look", "read_like"),
        method("put", "idempotency_key"),
        method("pay", "non_idempotent"),
    );
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    text
}

pub fn station(upstreams: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> Station {
    Station::decode(&page(upstreams, discovery, changes)).expect("the file is whole")
}

/// A balancer before these upstreams, with discovery silent.
pub async fn balancer(upstreams: &[&StandIn], changes: &[(&str, &str)]) -> Running {
    balancer_at(&upstreams.iter().map(|u| u.address).collect::<Vec<_>>(), changes).await
}

pub async fn balancer_at(upstreams: &[SocketAddr], changes: &[(&str, &str)]) -> Running {
    let discovery = stand_in(|_, _| Deed::Silence).await;
    serve::start(station(upstreams, discovery.address, changes)).await.expect("it starts")
}

/// The head of an RPC with a new id.
pub fn rpc(verb: &str, path: &str, more: &str) -> String {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static IDS: AtomicUsize = AtomicUsize::new(0);
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let method = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    format!(
        "{verb} {path} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r{id}\r\nReq-Kind: {method}\r\n\
        Req-Deadline-Ms: 4000\r\n{more}\r\n"
    )
}

pub async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("it accepts")
}

/// Sends bytes on a connection of their own.
pub async fn send(address: SocketAddr, bytes: impl AsRef<[u8]>) -> TcpStream {
    let mut stream = connect(address).await;
    stream.write_all(bytes.as_ref()).await.expect("it reads");
    stream
}

/// The same, and reads the answer.
pub async fn ask(address: SocketAddr, bytes: impl AsRef<[u8]>) -> Message {
    read(&mut send(address, bytes).await).await.expect("an answer")
}
