//! One caller that sends at full speed on one connection, also what is no request, leaves others their answers and takes no memory
//! that grows (issue 60, picture b).

mod common;
#[path = "common/process.rs"]
mod process;

use common::{config_json, connect, ok, rpc_head, run, send_and_read, start_stub, Reply};
use process::{temp_dir, Program};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::time::sleep;

/// How long the caller sends.
const DURATION: Duration = Duration::from_secs(4);
/// A short RPC takes some milliseconds, also on a busy machine.
const SHORT_RPC_TIME: Duration = Duration::from_secs(1);
/// What the process may take more in the second half than in the first.
const GROWTH_KB: u64 = 4 * 1024;

/// Sends `next(n)` for n = 0, 1, ... without a pause, and reads what comes; on a new connection where one was closed.
async fn flood(address: SocketAddr, next: impl Fn(usize) -> String) {
    let until = Instant::now() + DURATION;
    let mut number = 0;
    while Instant::now() < until {
        let stream = connect(address).await;
        let (mut reader, mut writer) = stream.into_split();
        let read = async {
            let mut buffer = vec![0; 64 * 1024];
            while reader.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
        };
        let write = async {
            while Instant::now() < until {
                let messages: String = (number..number + 50).map(&next).collect();
                number += 50;
                if writer.write_all(messages.as_bytes()).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! { () = read => {}, () = write => {} }
    }
}

async fn check_others(name: &str, next: impl Fn(usize) -> String) {
    let up = start_stub(|_, _| ok("short")).await;
    let discovery = start_stub(|_, _| Reply::NoReply).await;
    let config = config_json(&[up.address], discovery.address, &[("\"memory_mb\":192", "\"memory_mb\":32")]);
    let program = Program::start(&temp_dir(name), &config).await;
    let others = async {
        let started = Instant::now();
        let (mut peak_kb, mut later_peak_kb) = (0, 0);
        while started.elapsed() < DURATION {
            let sent = Instant::now();
            let answer = send_and_read(program.address, rpc_head("GET", "/look", "")).await;
            assert_eq!(answer.status(), 200);
            assert!(sent.elapsed() < SHORT_RPC_TIME, "{:?}", sent.elapsed());
            let peak = if started.elapsed() < DURATION / 2 { &mut peak_kb } else { &mut later_peak_kb };
            *peak = program.memory_kb().max(*peak);
            sleep(Duration::from_millis(20)).await;
        }
        assert!(later_peak_kb <= peak_kb + GROWTH_KB, "{peak_kb}, then {later_peak_kb} kB");
    };
    tokio::join!(flood(program.address, next), others);
}

#[test]
fn pipelined_requests_at_full_speed_leave_others_their_answers() {
    run(check_others("flood-valid", |_| rpc_head("GET", "/look", "")));
}

#[test]
fn requests_with_ever_new_names_leave_others_their_answers() {
    run(check_others("flood-names", |n| {
        let more = format!("Req-Owner: tenant-{n}\r\nReq-Extra: key=key-{n}\r\nX-{n}: {n}\r\n");
        rpc_head("GET", &format!("/look/{n}?{n}"), &more)
    }));
}

#[test]
fn unsound_requests_at_full_speed_leave_others_their_answers() {
    run(check_others("flood-unsound", |n| match n % 3 {
        0 => rpc_head("GET", &format!("/class-{n}"), ""),
        1 => rpc_head("GET", "/look", "").replace("Req-Id: r", &format!("Req-Id: \u{1}{n}")),
        _ => format!("{n} nonsense\r\n\r\n"),
    }));
}
