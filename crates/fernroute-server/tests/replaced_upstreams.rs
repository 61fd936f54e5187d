//! A new process comes up at the address of an upstream that has gone: it must not be taken for the old one.

mod common;

use common::{
    balancer_at, connect, decode_list, ok, read_message, rpc_head, run, send, send_and_read, start_stub,
    until_reusable, wait_until,
};
use fernroute_test_support::http::response;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

/// Upstreams share the keys of repeats within their zone.
const DEDUPED_IN_ZONE: (&str, &str) = (r#""group":"all""#, r#""group":"zone""#);

/// A list that tells of another process at this address: whether it is whole, and its entries.
type Replacement = fn(SocketAddr) -> (bool, Vec<String>);

fn entry(id: &str, at: SocketAddr, zone: &str, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"{zone}","cell":0,"state":"{state}","started_ms":{started_ms}}}"#
    )
}

/// Guards against an RPC that is sent on a connection which was opened to the old process: here one that stays open and is silent.
#[test]
fn kept_connections_to_a_replaced_process_are_not_used() {
    let replacements: [Replacement; 4] = [
        // The same id, started anew; or another id, in a whole list or beside the end of the old one.
        |at| (false, vec![entry("s-0", at, "z", "SERVING", 1_000)]),
        |at| (true, vec![entry("s-0", at, "z", "SERVING", 1_000)]),
        |at| (true, vec![entry("s-9", at, "z", "SERVING", 0)]),
        |at| (false, vec![entry("s-9", at, "z", "SERVING", 1_000), entry("s-0", at, "z", "DELETED", 0)]),
    ];
    for replacement in replacements {
        run(async move {
            let up = start_stub(|_, _| ok("whole")).await;
            let b = balancer_at(&[up.address], &[]).await;
            for version in 8..12 {
                assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
                until_reusable().await;
                let connections = up.connections.get();
                let (full, mut entries) = replacement(up.address);
                entries.iter_mut().for_each(|entry| *entry = entry.replace("1000", &format!("{version}")));
                if version % 2 == 1 {
                    entries.iter_mut().for_each(|entry| {
                        *entry =
                            entry.replace("s-9", "s-x").replace("\"s-0\"", "\"s-9\"").replace("s-x", "s-0");
                    });
                }
                b.dispatcher.apply_list(&decode_list(version, full, &entries), true);
                wait_until(|| up.closed.get() == connections).await;
                assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
                assert_eq!(up.connections.get(), connections + 1);
            }
        });
    }
}

/// Guards against a repeat that reaches another zone, where its key is not known and it runs a second time: the old upstream has not
/// left the list yet, and its address is that of a new one in the other zone.
#[test]
fn repeat_within_its_window_does_not_reach_a_new_process_in_another_zone() {
    run(async {
        let first = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let at = first.local_addr().expect("local address");
        let b = balancer_at(&[at], &[DEDUPED_IN_ZONE]).await;
        let put = rpc_head("POST", "/put", "Idempotency-Key: k\r\nContent-Length: 0\r\n");
        let mut caller = send(b.address, put).await;
        let (mut stream, _) = first.accept().await.expect("accept a connection");
        read_message(&mut stream).await.expect("read the RPC");
        // Another process takes the address; of the old one nothing is said yet.
        b.dispatcher.apply_list(&decode_list(8, false, &[entry("s-9", at, "y", "SERVING", 1_000)]), true);
        drop(stream);
        let accepted = async {
            let (mut stream, _) = first.accept().await.expect("accept a connection");
            let repeat = read_message(&mut stream).await.expect("read the repeat");
            stream.write_all(&response(200, "", "twice")).await.expect("answer");
            repeat.target
        };
        let answer = read_message(&mut caller);
        tokio::select! {
            target = accepted => panic!("{target} has reached the other zone"),
            answer = answer => assert_eq!(answer.expect("an answer").status(), 502),
        }
    });
}

/// Guards against work for an upstream that has gone which reaches whoever has its address now.
#[test]
fn old_id_at_the_address_of_a_new_process_gets_nothing() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let other = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[up.address, other.address], &[]).await;
        b.dispatcher
            .apply_list(&decode_list(8, false, &[entry("s-9", up.address, "z", "SERVING", 1_000)]), true);
        assert_eq!(b.dispatcher.upstream_counts().0, 2, "s-1 and s-9");
        // What is told of the old one later does not concern the new one.
        b.dispatcher.apply_list(&decode_list(9, false, &[entry("s-0", up.address, "z", "DELETED", 0)]), true);
        assert_eq!(b.dispatcher.upstreams.borrow().len(), 2);
        let mut caller = connect(b.address).await;
        for _ in 0..10 {
            caller.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("send");
            assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200);
        }
    });
}
