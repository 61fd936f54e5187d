//! Long target lists: 1,024 upstreams are applied completely, from discovery and from a handover.

mod common;

use common::{balancer_at, decode_list, list_entry, run, wait_until};
use fernroute_server::program::serve;
use fernroute_server::protocol::handover::{decode, encode, HandoverList, MAX_LINE_BYTES};
use fernroute_test_support::stub::StubDiscovery;
use std::net::SocketAddr;

const ENTRIES: usize = 1_024;

/// List entries with long ids and zones.
fn many_entries(state: &str) -> Vec<String> {
    let at = |n: usize| SocketAddr::from(([127, 77, (n >> 8) as u8, n as u8], 9000));
    let id = |n: usize| format!("s-{n:062}");
    (0..ENTRIES).map(|n| list_entry(&id(n), at(n), "a-zone-of-some-region-3", state)).collect()
}

/// Guards against a limit on the list's bytes or entries that a large service exceeds.
#[test]
fn long_indented_list_is_applied_completely() {
    run(async {
        let indented = many_entries("SERVING")
            .join(",")
            .replace(",\"", ",\n            \"")
            .replace('{', "{\n            ");
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let discovery = StubDiscovery::start(at, indented).await.expect("start discovery");
        let none: [SocketAddr; 0] = [];
        let b = serve::start(common::instance_config(&none, discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| b.dispatcher.upstream_counts().0 == ENTRIES).await;
        assert_eq!(b.dispatcher.upstreams.borrow().len(), ENTRIES);
        discovery.publish(many_entries("DRAINING").join(","));
        wait_until(|| b.dispatcher.upstreams.borrow().is_empty()).await;
    });
}

/// Guards against an upgrade that fails because of a long target list.
#[test]
fn long_list_fits_the_handover() {
    run(async {
        let none: [SocketAddr; 0] = [];
        let b = balancer_at(&none, &[]).await;
        b.dispatcher.apply_list(&decode_list(8, true, &many_entries("SERVING")), true);
        let lines = b.dispatcher.upstreams.borrow();
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let known = HandoverList::of(discovery, Some(8), lines.values().map(|(entry, _)| entry));
        let line = encode(&known);
        assert!(line.len() * 4 < MAX_LINE_BYTES, "{} bytes", line.len());
        let known: HandoverList = decode(&line).expect("decodable handover");
        assert_eq!(known.list().entries.len(), ENTRIES);
    });
}
