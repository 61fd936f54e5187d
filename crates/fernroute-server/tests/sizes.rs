//! Lists of the size that fleets have: 1,024 upstreams are taken whole, however they are written and whoever tells them.

mod common;

use common::{balancer_at, decode_list, list_entry, run, wait_until};
use fernroute_server::program::serve;
use fernroute_server::protocol::handover::{decode, encode, HandoverList, MAX_LINE_BYTES};
use fernroute_test_support::stub::StubDiscovery;
use std::net::SocketAddr;

const MANY: usize = 1_024;

/// With the longest ids, zones and indentation that are usual.
fn many(state: &str) -> Vec<String> {
    let at = |n: usize| SocketAddr::from(([127, 77, (n >> 8) as u8, n as u8], 9000));
    let id = |n: usize| format!("s-{n:062}");
    (0..MANY).map(|n| list_entry(&id(n), at(n), "a-zone-of-some-region-3", state)).collect()
}

/// Guards against a bound on the list's bytes, or on its entries, that a large service meets.
#[test]
fn long_indented_list_is_applied_completely() {
    run(async {
        let indented =
            many("SERVING").join(",").replace(",\"", ",\n            \"").replace('{', "{\n            ");
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let discovery = StubDiscovery::start(at, indented).await.expect("bind a listener");
        let none: [SocketAddr; 0] = [];
        let b = serve::start(common::instance_config(&none, discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| b.dispatcher.upstream_counts().0 == MANY).await;
        assert_eq!(b.dispatcher.upstreams.borrow().len(), MANY);
        discovery.publish(many("DRAINING").join(","));
        wait_until(|| b.dispatcher.upstreams.borrow().is_empty()).await;
    });
}

/// Guards against an upgrade that fails for the length of its list.
#[test]
fn long_list_fits_the_handover() {
    run(async {
        let none: [SocketAddr; 0] = [];
        let b = balancer_at(&none, &[]).await;
        b.dispatcher.apply_list(&decode_list(8, true, &many("SERVING")), true);
        let lines = b.dispatcher.upstreams.borrow();
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let known = HandoverList::of(discovery, Some(8), lines.values().map(|(entry, _)| entry));
        let line = encode(&known);
        assert!(line.len() * 4 < MAX_LINE_BYTES, "{} bytes", line.len());
        let known: HandoverList = decode(&line).expect("complete transfer");
        assert_eq!(known.list().entries.len(), MANY);
    });
}
