//! A process is ready within ten seconds of its start, even without discovery, coordinators, a responsive predecessor or a free
//! core. The tests run real processes.

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

const READY_LIMIT: Duration = Duration::from_secs(10);

/// Keeps every core busy until dropped.
struct CpuLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CpuLoad {
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
        CpuLoad { stop, threads }
    }
}

impl Drop for CpuLoad {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn upstream() -> Rc<StubServer> {
    start_stub(|_, message| if message.head.contains("/silent") { Reply::NoReply } else { ok("whole") }).await
}

/// A configuration file with one known upstream and a fixed listen address.
fn config_file(listen: SocketAddr, up: &StubServer, discovery: SocketAddr) -> String {
    let listen = format!(r#""listen":"{listen}""#);
    config_json(&[up.address], discovery, &[(r#""listen":"127.0.0.1:0""#, &listen)])
}

/// Starts a balancer and checks that it is ready in time and serves an RPC.
async fn start_and_check(folder: &Path, config: &str) -> Program {
    let from = Instant::now();
    let program = Program::start(folder, config).await;
    while !is_ready(program.address).await {
        sleep(Duration::from_millis(5)).await;
    }
    println!("{:?} {:?}", std::thread::current().name().unwrap_or_default(), from.elapsed());
    assert!(from.elapsed() < READY_LIMIT, "{:?}", from.elapsed());
    assert_eq!(send_and_read(program.address, rpc_head("GET", "/look", "")).await.body, b"whole");
    program
}

/// Guards against a start that waits for discovery, which is silent, refuses connections, or is unreachable. Nine balancers are
/// killed and started at once, more than a tenth of a fleet, with all cores busy.
#[test]
fn simultaneous_restarts_without_discovery_become_ready() {
    const BALANCERS: usize = 9;
    run(async {
        let up = upstream().await;
        let silent = start_stub(|_, _| Reply::NoReply).await.address;
        let away = FullBacklog::new().await.expect("fill the accept queue");
        let listen_addresses = free_addresses(BALANCERS + 1).expect("reserve addresses");
        let discoveries = [silent, listen_addresses[BALANCERS], away.address];
        let folders: Vec<_> = (0..BALANCERS).map(|n| temp_dir(&format!("ready-{n}"))).collect();
        let files: Vec<_> =
            (0..BALANCERS).map(|n| config_file(listen_addresses[n], &up, discoveries[n % 3])).collect();
        let start =
            || join_all(folders.iter().zip(&files).map(|(folder, file)| start_and_check(folder, file)));
        let _load = CpuLoad::all_cores();
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

/// Guards against a start that waits for coordinators, or for the lock on the balancer's identity file.
#[test]
fn fleet_member_without_coordinators_becomes_ready() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let away = FullBacklog::new().await.expect("fill the accept queue");
        let folder = temp_dir("ready-fleet");
        let listen = free_addresses(1).expect("reserve an address")[0];
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
        let first = start_and_check(&folder, &file).await;
        first.kill();
        // Another process holds the identity file's lock and never releases it.
        let member = folder.join(format!("fernroute-n0-{listen}.member").replace(':', "_"));
        let held = File::open(&member).expect("open the identity file");
        held.lock().expect("identity file not locked by another process");
        drop(start_and_check(&folder, &file).await);
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}

/// Guards against a start that waits for its predecessor: a paused one does not answer, and one that is shutting down hands nothing
/// over.
#[test]
fn process_beside_a_paused_or_ending_one_becomes_ready() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let folders = [temp_dir("ready-still"), temp_dir("ready-ends")];
        let listen_addresses = free_addresses(2).expect("reserve addresses");
        let files =
            [config_file(listen_addresses[0], &up, silent), config_file(listen_addresses[1], &up, silent)];
        let paused = Program::start(&folders[0], &files[0]).await;
        let ending = Program::start(&folders[1], &files[1]).await;
        let _open = common::send(ending.address, rpc_head("GET", "/look/silent", "")).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        paused.pause();
        ending.terminate();
        // From here on it accepts no connections and only waits for its open RPC.
        while TcpStream::connect(ending.address).await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
        let beside_paused = async {
            let from = Instant::now();
            let program = Program::start(&folders[0], &files[0]).await;
            wait_until(|| program.is_running() && program.log_contains("serving on")).await;
            println!("beside a paused process {:?}", from.elapsed());
            // The kernel may assign callers to the paused process, so readiness is checked at the operators' address.
            while !is_ready(program.ops_address).await {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(from.elapsed() < READY_LIMIT, "{:?}", from.elapsed());
            program
        };
        let (one, two) =
            futures_util::future::join(beside_paused, start_and_check(&folders[1], &files[1])).await;
        paused.kill();
        drop((one, two));
        folders
            .into_iter()
            .for_each(|folder| std::fs::remove_dir_all(folder).expect("remove the test directory"));
    });
}

/// Guards against a successor of a process without upstreams that drops the upstreams of its own file.
#[test]
fn successor_of_a_process_without_upstreams_uses_its_file() {
    run(async {
        let (up, silent) = (upstream().await, start_stub(|_, _| Reply::NoReply).await.address);
        let folder = temp_dir("ready-knows");
        let listen = free_addresses(1).expect("reserve an address")[0];
        let file = config_file(listen, &up, silent);
        let entry = common::list_entry("s-0", up.address, "z", "SERVING");
        let known = format!(r#""known":{{"version":7,"full":true,"servers":[{entry}]}}"#);
        assert!(file.contains(&known));
        let old = Program::start(&folder, &file.replace(&known, r#""known":null"#)).await;
        assert!(!is_ready(old.address).await);
        let new = start_and_check(&folder, &file).await;
        drop((old, new));
        std::fs::remove_dir_all(folder).expect("remove the test directory");
    });
}
