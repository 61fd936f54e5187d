//! What the cases of this review share: processes, stand-ins and the record. The standard library alone, one thread for each task.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The most that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn pause(milliseconds: u64) {
    thread::sleep(ms(milliseconds));
}

/// Whether the disruption takes place.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, and its end.
#[derive(Clone)]
pub struct Case {
    started: Instant,
    record: Arc<Mutex<File>>,
    pub folder: PathBuf,
}

impl Case {
    /// `number` is the folder of the case. The current folder is the root of the repository.
    pub fn start(number: u32) -> Case {
        let record = File::create(format!("review/{number}/record.txt")).expect("create record.txt");
        let folder = std::env::temp_dir().join(format!("fernroute-review-{number}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("create a temporary folder");
        let case = Case { started: Instant::now(), record: Arc::new(Mutex::new(record)), folder };
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            watched.cannot_run("the time is over");
        });
        case.note(if with_trouble() { "with the disruption" } else { "without the disruption" });
        case
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let _ = writeln!(lock(&self.record), "{:>8.3} {line}", self.started.elapsed().as_secs_f64());
    }

    /// Ends the run: 1 where the rule was broken.
    pub fn end(&self, breaks: &[String], summary: &str) -> ! {
        for line in breaks {
            self.note(&format!("BROKEN {line}"));
        }
        self.finish(
            i32::from(!breaks.is_empty()),
            &format!("{summary}; breaks of the rule: {}", breaks.len()),
        )
    }

    pub fn cannot_run(&self, why: &str) -> ! {
        self.finish(2, &format!("could not run: {why}"))
    }

    fn finish(&self, code: i32, summary: &str) -> ! {
        self.note(summary);
        println!("{summary}");
        for child in lock(&CHILDREN).iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }

    /// Starts a program; its output goes to a file in the temporary folder. Returns its process id.
    pub fn spawn(&self, command: &mut Command, log: &str) -> u32 {
        let log = File::options().create(true).append(true).open(self.folder.join(log)).expect("open a log");
        let errors = log.try_clone().expect("share the log");
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let Ok(child) = child else { self.cannot_run("a program does not start: run the builds first") };
        let id = child.id();
        lock(&CHILDREN).push(child);
        id
    }

    /// Starts a balancer with the deploy file's `run`.
    pub fn balancer(&self, name: &str, config: &str, ops: Option<SocketAddr>) -> u32 {
        self.balancer_in(&self.folder, name, config, ops)
    }

    /// The same with this folder as `$TMPDIR`.
    pub fn balancer_in(&self, temporary: &Path, name: &str, config: &str, ops: Option<SocketAddr>) -> u32 {
        let ending = if config.starts_with('{') { "json" } else { "toml" };
        let path = self.folder.join(format!("{name}.{ending}"));
        fs::write(&path, config).expect("write a configuration");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_command("run")).env("NODE_CONFIG", &path).env("TMPDIR", temporary);
        if let Some(ops) = ops {
            command.env("NODE_OPS", ops.to_string());
        }
        self.spawn(&mut command, &format!("{name}.log"))
    }

    pub fn wait_until_ready(&self, address: SocketAddr) {
        let from = Instant::now();
        while from.elapsed() < ms(10_000) {
            if call(address, "GET", "/-/ready").is_some_and(|answer| answer.status == 200) {
                return;
            }
            pause(20);
        }
        self.cannot_run("a balancer is not ready within 10 s")
    }
}

/// Ends or signals a process that the case started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

/// Waits for the end of a process that the case started.
pub fn wait_for(id: u32) {
    let mut children = lock(&CHILDREN);
    if let Some(child) = children.iter_mut().find(|child| child.id() == id) {
        let _ = child.wait();
    }
}

/// A command of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("read deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("the command");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    listener.local_addr().expect("its address")
}

/// A message of HTTP/1.1, request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub status: u16,
    headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what has been read of the next message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> Option<Connection> {
        TcpStream::connect_timeout(&address, ms(1_000)).ok().map(Connection::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads more bytes; false at the end of the connection, an error or a time-out.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(bytes) => {
                self.buffer.extend_from_slice(&chunk[..bytes]);
                true
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// The next whole message.
    pub fn read(&mut self) -> Option<Message> {
        let first_line = self.line()?;
        let status = first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let mut message = Message { first_line, status, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.bytes(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.bytes(length)?;
        }
        Some(message)
    }

    /// Whether bytes of another message have come.
    pub fn has_more(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        !self.buffer.is_empty() || !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// A short call on a connection of its own.
pub fn call(address: SocketAddr, verb: &str, path: &str) -> Option<Message> {
    let mut connection = Connection::open(address)?;
    let _ = connection.stream.set_read_timeout(Some(ms(1_000)));
    connection.send(format!("{verb} {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n").as_bytes());
    connection.read()
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Serves each connection on a thread of its own.
pub fn serve(handle: impl Fn(Connection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}

/// The stand-in for discovery, which pushes nothing: each watch waits for a newer version, and the list never changes.
pub fn discovery(entries: Vec<String>) -> SocketAddr {
    serve(move |mut connection| {
        while let Some(request) = connection.read() {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let query = |name: &str| -> Option<u64> {
                let text = target.split_once('?')?.1;
                text.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let list = match query("index") {
                Some(index) if index >= 1 => {
                    pause(query("wait").unwrap_or(0).min(60_000));
                    r#"{"version":1,"full":false,"servers":[]}"#.to_owned()
                }
                _ => list(&entries),
            };
            if !connection.send(&answer("200 OK", "", &list)) {
                return;
            }
        }
    })
}

/// The whole list in discovery's form.
pub fn list(entries: &[String]) -> String {
    format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, entries.join(","))
}

pub fn list_entry(id: &str, address: SocketAddr, zone: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"m1","cell":0,"state":"SERVING","weight":1.0,"started_ms":0}}"#
    )
}

/// A network path with this latency each way.
pub fn delayed(target: SocketAddr, latency: Duration) -> SocketAddr {
    serve(move |near| {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.stream.try_clone(), far.try_clone()) else { return };
        carry(near_in, far, latency);
        carry(far_in, near.stream, latency);
    })
}

/// Passes on what comes, later by the latency, and the end of the stream.
fn carry(mut from: TcpStream, mut to: TcpStream, latency: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    thread::spawn(move || pump(&mut from, latency, &sender));
}

fn pump(from: &mut TcpStream, latency: Duration, sender: &Sender<(Instant, Vec<u8>)>) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let bytes = from.read(&mut chunk).unwrap_or(0);
        let sent = sender.send((Instant::now() + latency, chunk[..bytes].to_vec()));
        if bytes == 0 || sent.is_err() {
            return;
        }
    }
}

/// A network path that can be cut: open connections stay open and silent, and new ones say nothing.
pub fn cuttable(target: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let cut = Arc::clone(cut);
    serve(move |near| {
        while cut.load(Ordering::SeqCst) {
            pause(10);
        }
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.stream.try_clone(), far.try_clone()) else { return };
        carry_unless_cut(near_in, far, &cut);
        carry_unless_cut(far_in, near.stream, &cut);
    })
}

fn carry_unless_cut(mut from: TcpStream, mut to: TcpStream, cut: &Arc<AtomicBool>) {
    let cut = Arc::clone(cut);
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let bytes = from.read(&mut chunk).unwrap_or(0);
            while cut.load(Ordering::SeqCst) {
                pause(10);
            }
            if bytes == 0 || to.write_all(&chunk[..bytes]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    });
}

/// The program of the coordinators, which review/build-2.sh builds.
pub const COORDINATOR: &str = "target/release/fernroute-coordinator";

/// A coordinator's file. `extra` stands before its tables.
pub fn coordinator_file(case: &Case, name: usize, addresses: &[SocketAddr], extra: &str) -> String {
    let folder = case.folder.join(format!("s{name}")).display().to_string();
    let mut text = format!(
        "cluster = \"shop\"\nname = \"s{name}\"\nfolder = \"{folder}\"\nmembers = 10\nshares_ms = 2000\nfloors_s = 60\nbeat_ms = 250\n{extra}\n"
    );
    for (other, address) in addresses.iter().enumerate() {
        text += &format!("[[steward]]\nname = \"s{other}\"\naddress = \"{address}\"\n");
    }
    text + "[[budget]]\nname = \"acme\"\nwhole = 200\nfloors = 0.2\n[[duty]]\nname = \"planner\"\n"
}

pub fn start_coordinator(case: &Case, name: usize, addresses: &[SocketAddr], extra: &str) -> u32 {
    let path = case.folder.join(format!("s{name}.toml"));
    fs::write(&path, coordinator_file(case, name, addresses, extra)).expect("write a configuration");
    let mut command = Command::new(COORDINATOR);
    case.spawn(command.args(["serve", "--first", "--config"]).arg(path), &format!("s{name}.log"))
}

/// The file of a balancer of a fleet, in the project's own format. `extra` belongs to its `[fleet]`.
pub fn member_file(
    name: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    upstream: SocketAddr,
    stewards: &[SocketAddr],
    extra: &str,
) -> String {
    let stewards: Vec<String> = stewards.iter().map(|address| format!("\"{address}\"")).collect();
    let stewards = stewards.join(", ");
    format!(
        r#"name = "b{name}"
listen = "{listen}"
discovery = "{discovery}"
[fleet]
cluster = "shop"
stewards = [{stewards}]
beat_ms = 250
{extra}
[place]
instances = 3
number = {name}
zone = "a"
[rules]
cold_from = 0.3
warm_within_s = 10
cold_multiple = 3
cold_window_s = 2
[[method]]
name = "look"
effect = "retriable"
hard_ms = 3_000
[[tenant]]
name = "acme"
rate = 200
[[upstream]]
id = "s-1"
address = "{upstream}"
zone = "a"
cell = "0"
"#
    )
}

/// An upstream that answers at once.
pub fn quick_upstream() -> SocketAddr {
    serve(
        |mut connection| {
            while connection.read().is_some() && connection.send(&answer("200 OK", "", "looked")) {}
        },
    )
}

/// The term under which a balancer says that it holds the duty.
pub fn held_term(ops: SocketAddr) -> Option<u64> {
    let figures = call(ops, "GET", "/-/metrics")?.text();
    let (_, duty) = figures.split_once("\"planner\":")?;
    let (_, term) = duty.split_once("\"term\":")?;
    term.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// The platform's configuration of a balancer.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}
