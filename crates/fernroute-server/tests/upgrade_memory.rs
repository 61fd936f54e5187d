//! An upgrade under load stays within `limits.memory_mb`, counted over both processes.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{config_json, read_message, rpc_head, run, start_stub, until_ready, wait_until, Reply};
use process::{temp_dir, Program};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

const MEMORY_MB: u64 = 32;
/// The memory of two optimized programs after their starts, rounded up. The tested ones are not optimized and have more: the limit
/// is raised by the difference.
const PROGRAMS_MB: u64 = 5;
/// Callers before the upgrade, and those that come after it: together a third of 1,024 descriptors.
const CALLERS: usize = 200;
const LATER_CALLERS: usize = 140;
const ANSWER_BYTES: usize = 1 << 20;
/// The old process may live so long after the new one is ready: the longest deadline and 0.7 s.
const OLD_PROCESS_TIME: Duration = Duration::from_millis(3_700);

/// A caller that asks for a long answer and reads none of it yet.
async fn ask(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(4096).expect("set the receive buffer size");
    let mut stream = socket.connect(address).await.ok()?;
    let request = rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 5000");
    stream.write_all(request.as_bytes()).await.ok()?;
    Some(stream)
}

/// The memory of two processes after their starts.
async fn idle_kb(config: &str) -> u64 {
    let first = Program::start(&temp_dir("upgrade-idle-1"), config).await;
    let second = Program::start(&temp_dir("upgrade-idle-2"), config).await;
    let idle_kb = memory_kb(&first) + memory_kb(&second);
    for program in [first, second] {
        program.terminate();
        program.exits_cleanly().await;
    }
    idle_kb
}

/// Pages that both processes share count once.
fn memory_kb(program: &Program) -> u64 {
    program.proportional_memory_kb()
}

/// Guards against a new process that takes memory which the old one still has (review case 7).
#[test]
fn upgrade_under_long_answers_stays_within_the_memory_of_one_balancer() {
    run(async {
        let upstream = start_stub(|_, _| {
            Reply::Send(fernroute_test_support::http::response(200, "", &"y".repeat(ANSWER_BYTES)))
        })
        .await;
        let discovery = start_stub(|_, _| Reply::NoReply).await;
        let config = |memory_mb: u64| {
            let limit = format!("\"memory_mb\":{memory_mb}");
            config_json(&[upstream.address], discovery.address, &[("\"memory_mb\":192", &limit)])
        };
        let excess_mb = (idle_kb(&config(MEMORY_MB)).await / 1024).saturating_sub(PROGRAMS_MB);
        let memory_mb = MEMORY_MB + excess_mb;
        let folder = temp_dir("upgrade-memory");
        let old = Program::start(&folder, &config(memory_mb)).await;
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(ask(old.address).await.expect("the old process accepts"));
        }
        sleep(Duration::from_secs(1)).await;
        let alone_kb = memory_kb(&old);
        assert!(alone_kb <= memory_mb * 1024, "{alone_kb} kB alone");
        let new = Program::start(&folder, &config(memory_mb)).await;
        until_ready(new.ops_address).await;
        old.terminate();
        let ready_at = Instant::now();
        let later = async {
            for _ in 0..LATER_CALLERS {
                callers.extend(ask(new.address).await);
                sleep(Duration::from_millis(5)).await;
            }
        };
        let peak_kb = Cell::new(0);
        let observe = async {
            while ready_at.elapsed() < OLD_PROCESS_TIME && old.is_running() {
                peak_kb.set(peak_kb.get().max(memory_kb(&old) + memory_kb(&new)));
                sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::join!(later, observe);
        let (peak_kb, limit_kb) = (peak_kb.get(), memory_mb * 1024);
        assert!(peak_kb > alone_kb && peak_kb <= limit_kb, "{alone_kb}, then {peak_kb} of {limit_kb} kB");
        old.kill();
        // The new process gets the memory of the old one.
        wait_until(|| new.log_contains("the old process has ended")).await;
        callers.clear();
        let served = Rc::new(Cell::new(0));
        for _ in 0..20 {
            let mut caller = ask(new.address).await.expect("the new process accepts");
            let answer = read_message(&mut caller).await.expect("a whole answer");
            served.set(served.get() + usize::from(answer.body.len() == ANSWER_BYTES));
        }
        assert_eq!(served.get(), 20);
    });
}
