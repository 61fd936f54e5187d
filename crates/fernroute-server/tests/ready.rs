//! A process is ready within ten seconds of its start, whatever is not there: discovery, stewards, the
//! process before it, a free core. Real processes.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    config_json, is_ready, ok, rpc_head, run, send_and_read, start_stub, wait_until, Reply, StubServer,
};
use fernroute_test_support::process::free_addresses;
use fernroute_test_support::stub::FullBacklog;
use futures_util::future::join_all;
use process::{temp_dir, Program};
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

const READY: Duration = Duration::from_secs(10);

/// Every core has something else to do while this is held.
struct Busy {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Busy {
    fn all_cores() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spin = || {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        };
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = (0..cores).map(|_| spin()).collect();
        Busy { stop, threads }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn upstream() -> Rc<StubServer> {
    start_stub(|_, message| if message.head.contains("/silent") { Reply::NoReply } else { ok("whole") }).await
}

/// A file with one upstream that is known, and an address that is the same at each start.
fn file(listen: SocketAddr, up: &StubServer, discovery: SocketAddr) -> String {
    let listen = format!(r#""listen":"{listen}""#);
    config_json(&[up.address], discovery, &[(r#""listen":"127.0.0.1:0""#, &listen)])
}

/// Started, it is ready in time and serves.
async fn starts(folder: &Path, page: &str) -> Program {
    let from = Instant::now();
    let program = Program::start(folder, page).await;
    while !is_ready(program.address).await {
        sleep(Duration::from_millis(5)).await;
    }
    println!("{:?} {:?}", std::thread::current().name().unwrap_or_default(), from.elapsed());
    assert!(from.elapsed() < READY, "{:?}", from.elapsed());
    assert_eq!(send_and_read(program.address, rpc_head("GET", "/look", "")).await.body, b"whole");
    program
}

/// Guards against a start that waits for discovery: silent, refused, or away with its machine. More than a
/// tenth of a fleet is killed and started at once, with all cores busy.
#[test]
fn simultaneous_restarts_without_discovery_become_ready() {
    const BALANCERS: usize = 9;
    run(async {
        let up = upstream().await;
        let silent = start_stub(|_, _| Reply::NoReply).await.address;
        let away = FullBacklog::new().await.expect("fill the accept queue");
        let free = free_addresses(BALANCERS + 1).expect("reserve addresses");
        let discoveries = [silent, free[BALANCERS], away.address];
        let folders: Vec<_> = (0..BALANCERS).map(|n| temp_dir(&format!("ready-{n}"))).collect();
        let files: Vec<_> = (0..BALANCERS).map(|n| file(free[n], &up, discoveries[n % 3])).collect();
        let start = || join_all(folders.iter().zip(&files).map(|(folder, file)| starts(folder, file)));
        let _busy = Busy::all_cores();
        let first = start().await;
        first.iter().for_each(|program| program.kill());
        let second = start().await;
        assert!(second.iter().zip(&first).all(|(new, old)| new.address == old.address));
        drop((first, second));
        folders
            .into_iter()
            .for_each(|folder| std::fs::remove_dir_all(folder).expect("remove the test directory"));
    });
}

/// Guards against a start that waits for stewards, or for the file that says who this balancer is to them.
#[test]
fn fleet_member_without_coordinators_becomes_ready() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let away = FullBacklog::new().await.expect("fill the accept queue");
        let folder = temp_dir("ready-fleet");
        let listen = free_addresses(1).expect("local address")[0];
        let file = format!(
            "name = \"n0\"\nlisten = \"{listen}\"\ndiscovery = \"{silent}\"\nops = \"127.0.0.1:0\"\n\
             [place]\ninstances = 2\nnumber = 0\nzone = \"z\"\n[list]\nmode = \"push\"\n\
             [limits]\ntransmissions = 3\n\
             [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
             [fleet]\ncluster = \"c\"\nstewards = [\"{silent}\", \"{}\"]\n\
             [[tenant]]\nname = \"t\"\nrate = 10\n\
             [[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = 1000\nhard_ms = 2000\ngain = 1\n\
             [[upstream]]\nid = \"s-0\"\naddress = \"{}\"\nzone = \"z\"\ncell = \"0\"\n",
            away.address, up.address,
        );
        let first = starts(&folder, &file).await;
        first.kill();
        // Somebody else has its identity, and never gives it back.
        let member = folder.join(format!("fernroute-n0-{listen}.member").replace(':', "_"));
        let held = File::open(&member).expect("open the identity file");
        held.lock().expect("identity file not locked by another process");
        drop(starts(&folder, &file).await);
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}

/// Guards against a start that waits for the process before it: one that stands still says nothing, one that
/// ends hands nothing over any more.
#[test]
fn process_beside_a_paused_or_ending_one_becomes_ready() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let folders = [temp_dir("ready-still"), temp_dir("ready-ends")];
        let free = free_addresses(2).expect("reserve addresses");
        let files = [file(free[0], &up, silent), file(free[1], &up, silent)];
        let still = Program::start(&folders[0], &files[0]).await;
        let ends = Program::start(&folders[1], &files[1]).await;
        let _open = common::send(ends.address, rpc_head("GET", "/look/silent", "")).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        still.pause();
        ends.terminate();
        // From here on it waits for the answer to what is open, and for nobody else.
        while TcpStream::connect(ends.address).await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
        let beside_still = async {
            let from = Instant::now();
            let program = Program::start(&folders[0], &files[0]).await;
            wait_until(|| program.is_running() && program.log_contains("serving on")).await;
            println!("beside one that stands still {:?}", from.elapsed());
            // Callers that the machine gives to the other wait there: asked at the door.
            while !is_ready(program.ops_address).await {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(from.elapsed() < READY, "{:?}", from.elapsed());
            program
        };
        let (one, two) = futures_util::future::join(beside_still, starts(&folders[1], &files[1])).await;
        still.kill();
        drop((one, two));
        folders
            .into_iter()
            .for_each(|folder| std::fs::remove_dir_all(folder).expect("remove the test directory"));
    });
}

/// Guards against a process that takes over from one that knows nobody, and forgets whom its own file knows.
#[test]
fn successor_of_a_process_without_upstreams_uses_its_file() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let folder = temp_dir("ready-knows");
        let listen = free_addresses(1).expect("local address")[0];
        let file = file(listen, &up, silent);
        let entry = common::list_entry("s-0", up.address, "z", "SERVING");
        let known = format!(r#""known":{{"version":7,"full":true,"servers":[{entry}]}}"#);
        assert!(file.contains(&known));
        let old = Program::start(&folder, &file.replace(&known, r#""known":null"#)).await;
        assert!(!is_ready(old.address).await);
        let new = starts(&folder, &file).await;
        drop((old, new));
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}
