//! Stand-ins for the cases of this folder: discovery, upstreams, clients and the platform. Standard library only.
//! Each follows the protocol page; what a case changes is said at the place.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// The command of the deploy file.
pub fn deploy_command(root: &Path, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| line.starts_with(&format!("{key} =")))?;
    Some(line.split_once('"')?.1.rsplit_once('"')?.0.to_owned())
}

/// A free port below those that the system gives to listeners and connections without a port of their own: nobody else
/// takes it before the balancer does.
pub fn free_port() -> u16 {
    let mut number = std::process::id() as u64 ^ Instant::now().elapsed().as_nanos() as u64;
    loop {
        number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let port = 15_000 + (number >> 33) as u16 % 15_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A process that the case started; killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts a command by `/bin/sh -c` from the root, with its process id noted in the temporary folder.
    pub fn start(
        root: &Path,
        folder: &Path,
        command: &str,
        variables: &[(&str, &str)],
        log: &str,
    ) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(folder.join(log))?;
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(root).stdin(Stdio::null());
        shell.stdout(log.try_clone()?).stderr(log);
        for (name, value) in variables {
            shell.env(name, value);
        }
        let child = shell.spawn()?;
        let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Process { child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// The resident memory in kB, without the kernel's socket buffers.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One HTTP message's start line and headers (names in lower case); none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((start.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Discovery with one list that does not change: `servers` is the JSON of its entries.
pub fn start_discovery(servers: String) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let servers = servers.clone();
            thread::spawn(move || serve_discovery(stream, &servers));
        }
    });
    Ok(address)
}

fn serve_discovery(stream: TcpStream, servers: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((start, _)) = read_head(&mut reader)? {
        if !start.contains("/api/targets") {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let body = match start.split_once("wait=") {
            None => format!("{{\"version\":1,\"full\":true,\"servers\":[{servers}]}}"),
            Some((_, wait)) => {
                let digits: String = wait.chars().take_while(char::is_ascii_digit).collect();
                thread::sleep(Duration::from_millis(digits.parse().unwrap_or(0)));
                "{\"version\":1,\"full\":false,\"servers\":[]}".to_owned()
            }
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// How an upstream reads; changed by the case while it runs.
#[derive(Default)]
pub struct Reading {
    /// It reads nothing more on any connection.
    pub hangs: AtomicBool,
    /// Bytes a second that it reads on each connection; 0 for as many as come.
    pub rate: AtomicU64,
}

/// An upstream with a number: answers each request after its last byte, unless `reading` says otherwise.
pub fn start_upstream(number: usize, record: &Record, reading: Arc<Reading>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, reading) = (record.clone(), Arc::clone(&reading));
            thread::spawn(move || {
                if let Err(error) = serve_upstream(stream, number, &record, reading) {
                    record.line(&format!("upstream s-{number}: a connection ended: {error}"));
                }
            });
        }
    });
    Ok(address)
}

/// Reads at the upstream's rate.
struct PacedStream {
    stream: TcpStream,
    reading: Arc<Reading>,
}

impl Read for PacedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.reading.hangs.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        let rate = self.reading.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return self.stream.read(buffer);
        }
        // Twenty pieces a second.
        let piece = (rate as usize / 20).clamp(1, buffer.len());
        let n = self.stream.read(&mut buffer[..piece])?;
        thread::sleep(Duration::from_micros(n as u64 * 1_000_000 / rate));
        Ok(n)
    }
}

fn serve_upstream(
    stream: TcpStream,
    number: usize,
    record: &Record,
    reading: Arc<Reading>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(64 * 1024, PacedStream { stream, reading });
    while let Some((start, headers)) = read_head(&mut reader)? {
        let Some(id) = headers.get("req-id") else {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        if headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
            read_chunks(&mut reader)?;
        } else {
            let length: u64 = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            let copied = io::copy(&mut reader.by_ref().take(length), &mut io::sink())?;
            if copied < length {
                return Err(io::Error::other(format!("{start} id {id}: {copied} of {length} bytes came")));
            }
        }
        record.line(&format!("upstream s-{number} ran id {id}"));
        let body = format!("answer to {id} by s-{number}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(answer.as_bytes())?;
    }
    Ok(())
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or("");
        let size = u64::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        io::copy(&mut reader.by_ref().take(size + 2), &mut io::sink())?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// The answer to a client's request.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Reads one whole answer; an error if the connection ends before.
pub fn read_answer(stream: &TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let (start, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = start.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length: usize = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// The settings of a small deployment, with the classes and limits of the site `bogota-main`.
pub const BOGOTA_MAIN: &str = r#""n-instances":1,"me":0,"layer":0,"zone":"bog-1","zones":["bog-1"],"quantum-s":0.005,
  "methods":[
   {"name":"feed-fetch","effect":"read_like","soft-deadline-s":2.5,"hard-deadline-s":6.0,"gain":1.0},
   {"name":"episode-publish","effect":"idempotency_key","group":"cell","window-s":10.0,"soft-deadline-s":2.5,"hard-deadline-s":6.0,"gain":8.0},
   {"name":"payout-run","effect":"non_idempotent","soft-deadline-s":2.5,"hard-deadline-s":6.0,"gain":5.0}],
  "feedback":{"names":["avg_ms","err_rps","cpu"]},"membership-mode":"automatic",
  "ceilings":{"max-transmissions":6,"cancel":true,"second-copies":true,"probes":true,"retry-after":true,"max-retry-after-s":2.0,"connect-timeout-s":0.25,"keepalive-s":30},
  "contract":{"answer-slack-s":0.5,"drain-grace-s":0.3,"cold-from":0.32,"warm-within-s":8.7,"tip-multiple":2.5,"overload-for-s":3}"#;

/// The balancer's configuration, as the deployment page describes it.
pub struct Deployment {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub servers: String,
    pub memory_mb: u64,
    pub sockets: u64,
    /// JSON of the settings, without the outer braces.
    pub settings: &'static str,
}

impl Deployment {
    pub fn write(&self, folder: &Path) -> io::Result<PathBuf> {
        let path = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
 "known":{{"version":1,"full":true,"servers":[{}]}},
 "settings":{{{}}}}}
"#,
            self.listen,
            self.discovery,
            (std::process::id() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.memory_mb,
            self.sockets,
            self.servers,
            self.settings,
        );
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// The JSON of a list's entries for these upstreams, all warm and in one zone.
pub fn entries(upstreams: &[SocketAddr]) -> String {
    let entry = |(i, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"s-{i}","addr":"{address}","zone":"bog-1","cell":0,"state":"SERVING","started_ms":0}}"#
        )
    };
    upstreams.iter().enumerate().map(entry).collect::<Vec<_>>().join(",")
}

/// Starts the balancer by the deploy file's command and waits until it is ready.
pub fn start_balancer(root: &Path, folder: &Path, deployment: &Deployment) -> io::Result<Process> {
    let command = deploy_command(root, "run").ok_or(io::Error::other("no `run` in the deploy file"))?;
    let config = deployment.write(folder)?;
    let variables =
        [("NODE_CONFIG", config.to_str().unwrap_or("")), ("TMPDIR", folder.to_str().unwrap_or(""))];
    let process = Process::start(root, folder, &command, &variables, "balancer.log")?;
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        let ready = TcpStream::connect(deployment.listen).and_then(|mut stream| {
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")?;
            read_answer(&stream)
        });
        if ready.is_ok_and(|answer| answer.status == 200) {
            return Ok(process);
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("the balancer was not ready within 30 s"))
}

/// Runs a case by the arguments of `run.sh`: the root, a temporary folder, the record's path.
pub fn run_case(run: impl FnOnce(PathBuf, PathBuf, Record, bool) -> io::Result<i32>) -> ! {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, folder, record] = arguments.as_slice() else {
        eprintln!("started by run.sh");
        std::process::exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(record) else { std::process::exit(NOT_RUN) };
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let code = run(root.clone(), folder.clone(), record.clone(), trouble).unwrap_or_else(|error| {
        record.say(&format!("could not run: {error}"));
        NOT_RUN
    });
    record.say(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case did not run",
    });
    std::process::exit(code);
}
