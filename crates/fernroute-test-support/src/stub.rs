//! Stub servers with scripted replies.

use crate::http::{read_message, response, Connection, Message};
use crate::Traffic;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// What a stub does on a message.
pub enum Reply {
    Send(Vec<u8>),
    SendAndClose(Vec<u8>),
    /// Sends nothing and leaves the connection open until the peer closes it.
    NoReply,
}

pub fn ok(body: &str) -> Reply {
    Reply::Send(response(200, "", body))
}

pub fn status_reply(status: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

/// A stub server: its address and what it has received.
pub struct StubServer {
    pub address: SocketAddr,
    pub received: RefCell<Vec<Message>>,
    pub connections: Cell<usize>,
    pub closed: Cell<usize>,
}

/// Starts a stub that replies to messages by the script, which gets the number of messages received before.
pub async fn start_stub(script: impl Fn(usize, &Message) -> Reply + 'static) -> Rc<StubServer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    serve_on(listener, address, script)
}

fn serve_on(
    listener: TcpListener,
    address: SocketAddr,
    script: impl Fn(usize, &Message) -> Reply + 'static,
) -> Rc<StubServer> {
    let this = Rc::new(StubServer {
        address,
        received: RefCell::default(),
        connections: Cell::new(0),
        closed: Cell::new(0),
    });
    let (stub, script) = (Rc::clone(&this), Rc::new(script));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (stub, script) = (Rc::clone(&stub), Rc::clone(&script));
            stub.connections.set(stub.connections.get() + 1);
            spawn_local(async move {
                let answer = |message: Message| {
                    let reply = script(stub.received.borrow().len(), &message);
                    stub.received.borrow_mut().push(message);
                    reply
                };
                answer_all(stream, answer).await;
                stub.closed.set(stub.closed.get() + 1);
            });
        }
    });
    this
}

/// Starts a stub at this address and returns the bound one. It does not record messages.
pub async fn serve_stub(
    at: SocketAddr,
    script: impl Fn(&Message) -> Reply + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at).await?;
    let (address, script) = (listener.local_addr()?, Rc::new(script));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = Rc::clone(&script);
            spawn_local(async move { answer_all(stream, |message| script(&message)).await });
        }
    });
    Ok(address)
}

async fn answer_all(mut stream: TcpStream, mut script: impl FnMut(Message) -> Reply) {
    while let Some(message) = read_message(&mut stream).await {
        match script(message) {
            Reply::Send(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
            Reply::SendAndClose(bytes) => return stream.write_all(&bytes).await.unwrap_or(()),
            Reply::NoReply => {}
        }
    }
}

/// The JSON entry of an upstream in a discovery list.
pub fn list_entry(id: &str, at: SocketAddr, zone: &str, state: &str) -> String {
    format!(r#"{{"id":"{id}","addr":"{at}","zone":"{zone}","cell":0,"state":"{state}","started_ms":0}}"#)
}

/// A stub of the discovery service with a single list. A watch waits for the next version.
pub struct StubDiscovery {
    pub address: SocketAddr,
    list: RefCell<(u64, String)>,
    changed: Notify,
    traffic: Cell<Traffic>,
}

impl StubDiscovery {
    /// `entries` are the JSON entries, separated by commas and without the enclosing brackets.
    pub async fn start(at: SocketAddr, entries: String) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(at).await?;
        let (address, list) = (listener.local_addr()?, RefCell::new((1, entries)));
        let this = Rc::new(StubDiscovery { address, list, changed: Notify::new(), traffic: Cell::default() });
        let serving = Rc::clone(&this);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(Rc::clone(&serving).serve(Connection::new(stream)));
            }
        });
        Ok(this)
    }

    /// Traffic of requests and responses since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Publishes a new version of the list and wakes all watches.
    pub fn publish(&self, entries: String) {
        let version = self.list.borrow().0 + 1;
        self.list.replace((version, entries));
        self.changed.notify_waiters();
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Ok(Some(message)) = connection.read().await {
            let query = |name: &str| {
                let text = message.target.split_once('?')?.1;
                text.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            if let (Some(after), Some(wait)) = (query("index"), query("wait")) {
                let next_version = async {
                    while self.list.borrow().0 <= after {
                        self.changed.notified().await;
                    }
                };
                // A watch that times out gets an empty update.
                let _ = timeout(Duration::from_millis(wait), next_version).await;
            }
            let list = {
                let (version, entries) = &*self.list.borrow();
                // Single changes are not kept: a watch gets the full list if the version is new, otherwise an empty update.
                let changed = query("index").is_none_or(|after| after < *version);
                let entries = if changed { entries } else { "" };
                format!(r#"{{"version":{version},"full":{changed},"servers":[{entries}]}}"#)
            };
            let answer = response(200, "", &list);
            let bytes = (message.head.len() + message.body.len() + answer.len()) as u64;
            self.traffic.set(self.traffic.get() + Traffic { bytes, messages: 2 });
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }
}

/// A listening address on which connection attempts hang: the accept queue is full and nothing accepts.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the queue.
    fill: Vec<TcpStream>,
}

impl FullBacklog {
    pub async fn new() -> io::Result<Self> {
        /// Well above the time of a connect on loopback while the queue has room.
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(0)?;
        let address = listener.local_addr()?;
        let mut fill = Vec::new();
        while let Ok(stream) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            fill.push(stream?);
        }
        Ok(FullBacklog { address, listener, fill })
    }

    /// Empties the queue and serves by the script. Pending connects succeed at the next SYN retransmission, one second after
    /// the first.
    pub fn release(self, script: impl Fn(usize, &Message) -> Reply + 'static) -> Rc<StubServer> {
        drop(self.fill);
        serve_on(self.listener, self.address, script)
    }
}
