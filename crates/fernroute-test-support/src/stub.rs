//! Stand-ins that follow a script.

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

/// What a stand-in does with one message.
pub enum Reply {
    Send(Vec<u8>),
    SendAndClose(Vec<u8>),
    /// Nothing, and it notes when the other side has closed.
    NoReply,
}

pub fn ok(body: &str) -> Reply {
    Reply::Send(response(200, "", body))
}

pub fn status_reply(status: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

/// A stand-in's address and what it saw.
pub struct StubServer {
    pub address: SocketAddr,
    pub received: RefCell<Vec<Message>>,
    pub connections: Cell<usize>,
    pub closed: Cell<usize>,
}

/// Answers messages as the script says, which is told how many came before.
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
    let (stand, script) = (Rc::clone(&this), Rc::new(script));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (stand, script) = (Rc::clone(&stand), Rc::clone(&script));
            stand.connections.set(stand.connections.get() + 1);
            spawn_local(async move {
                let answer = |message: Message| {
                    let deed = script(stand.received.borrow().len(), &message);
                    stand.received.borrow_mut().push(message);
                    deed
                };
                answer_all(stream, answer).await;
                stand.closed.set(stand.closed.get() + 1);
            });
        }
    });
    this
}

/// The same at an address, or at port 0 of one's own choice; nothing is kept of what came.
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

/// One upstream of a list, as discovery tells it.
pub fn list_entry(id: &str, at: SocketAddr, zone: &str, state: &str) -> String {
    format!(r#"{{"id":"{id}","addr":"{at}","zone":"{zone}","cell":0,"state":"{state}","started_ms":0}}"#)
}

/// StubDiscovery that has one list, and says it; a watch waits for the next one.
pub struct StubDiscovery {
    pub address: SocketAddr,
    list: RefCell<(u64, String)>,
    changed: Notify,
    traffic: Cell<Traffic>,
}

impl StubDiscovery {
    /// `entries` as in the list's own form, without its brackets.
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

    /// What was asked and answered since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Tells all who wait.
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
                let news = async {
                    while self.list.borrow().0 <= after {
                        self.changed.notified().await;
                    }
                };
                // Nothing new is an answer too.
                let _ = timeout(Duration::from_millis(wait), news).await;
            }
            let list = {
                let (version, entries) = &*self.list.borrow();
                // What changed since is not kept: the whole list says it too, but only where something did.
                let news = query("index").is_none_or(|after| after < *version);
                let entries = if news { entries } else { "" };
                format!(r#"{{"version":{version},"full":{news},"servers":[{entries}]}}"#)
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

/// An address whose connections do not come up: its queue is full, and nobody is taken from it.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What fills the queue.
    fill: Vec<TcpStream>,
}

impl FullBacklog {
    pub async fn new() -> io::Result<Self> {
        /// A connection to this machine that the queue has room for comes up in far less.
        const FULL: Duration = Duration::from_millis(200);
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(0)?;
        let address = listener.local_addr()?;
        let mut fill = Vec::new();
        while let Ok(stream) = timeout(FULL, TcpStream::connect(address)).await {
            fill.push(stream?);
        }
        Ok(FullBacklog { address, listener, fill })
    }

    /// Whoever still tries to connect comes up at its machine's next try, a second after its first, and is answered as the
    /// script says.
    pub fn release(self, script: impl Fn(usize, &Message) -> Reply + 'static) -> Rc<StubServer> {
        drop(self.fill);
        serve_on(self.listener, self.address, script)
    }
}
