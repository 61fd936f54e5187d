//! A repeat of what may have run: where repeats are dropped for a while alone, none begins after that.

mod common;

use common::{balancer_at, entry, list, ok, read, rpc, run, send, until};
use fernroute_rig::http::answer;
use fernroute_rig::stand_in::Held;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

/// Connections may take their time.
const LATE: (&str, &str) = (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#);

const WINDOW: Duration = Duration::from_secs(2);

/// Guards against an effect twice: the repeat is sent off within the window, and its connection comes up after it. Where the
/// window is long the same repeat is sent on: it is the window alone that bars it.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_does_not_begin() {
    for (window, status) in [(r#""window-s":2"#, 502), (r#""window-s":6"#, 200)] {
        run(async move {
            let held = Held::new().await.expect("a full queue");
            let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = first.local_addr().expect("an address");
            let b = balancer_at(&[at], &[LATE, (r#""window-s":5"#, window)]).await;
            let begun = Instant::now();
            let put = rpc("POST", "/put", "Idempotency-Key: k\r\nContent-Length: 0\r\n");
            let mut caller = send(b.address, put).await;
            let (mut stream, _) = first.accept().await.expect("a connection");
            read(&mut stream).await.expect("the RPC");
            // It may have run there. From here on there is only one whose connections come up late.
            let both = [entry("s-0", at, "z", "DRAINING"), entry("s-1", held.address, "z", "SERVING")];
            b.board.take_list(&list(8, true, &both), true);
            stream.write_all(&answer(500, "", "")).await.expect("it is read");
            until(|| b.board.open.borrow().values().any(|rpc| rpc.made == 2)).await;
            assert!(begun.elapsed() < WINDOW, "too slow a machine: the repeat was to be sent off in time");
            tokio::time::sleep(WINDOW.saturating_sub(begun.elapsed())).await;
            let up = held.let_go(|_, _| ok("whole"));
            let ended = read(&mut caller).await.expect("one whole answer");
            assert!(begun.elapsed() > WINDOW, "the connection was to come up late");
            assert_eq!(
                (ended.status() == 200, up.seen.borrow().len()),
                (status == 200, (status == 200) as usize)
            );
            until(|| b.board.open.borrow().is_empty()).await;
        });
    }
}
