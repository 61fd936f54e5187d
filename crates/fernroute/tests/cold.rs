//! What a balancer sends a cold upstream where the others are in trouble.

mod common;

use common::START;
use common::{balancer, upstream};
use fernroute::host::{Outcome, Time, SECOND};
use std::collections::BTreeMap;

/// Guards against the fall of a cold upstream among full ones: what these turn away is sent again elsewhere, and is no sign
/// of what one upstream can do.
#[test]
fn what_full_upstreams_turn_away_does_not_widen_the_budget_of_a_cold_one() {
    /// What each upstream serves a second, and what it turns away beyond that.
    const CAN: usize = 5;
    const WARM: usize = 6;
    let (mut b, notes) = balancer(WARM, &[("instances", "1"), ("tier", "1")]);
    let (id, zone, cell) = upstream(WARM);
    let began = START + 20 * SECOND;
    let (mut served, mut turned): (BTreeMap<(String, Time), usize>, usize) = (BTreeMap::new(), 0);
    let mut cold: Vec<Time> = Vec::new();
    for i in 0..60 * 30 {
        let at = START + i * SECOND / 60;
        if at == began {
            b.snapshot_started(at, false);
            b.upstream_ready(&id, zone, &cell, "", began);
            b.snapshot_completed(true);
        }
        let rpc = format!("r{i}");
        let mut seen = notes.0.borrow().sent.len();
        b.rpc_arrived(at, &rpc, "m0", "", "", SECOND);
        let mut n = 0;
        loop {
            // The next one that it sends, if it does.
            let Some((_, to, _)) = notes.0.borrow().sent.get(seen).cloned() else { break };
            seen += 1;
            cold.extend((to == id).then_some(at));
            let so_far = served.entry((to, at / SECOND)).or_default();
            *so_far += 1;
            let end = if *so_far > CAN { Outcome::Rejected } else { Outcome::Completed };
            turned += usize::from(end == Outcome::Rejected);
            let done = end == Outcome::Completed;
            b.attempt_ended(at, &rpc, n, end, if done { 500 } else { 5 }, done, &[1.0]);
            n += 1;
        }
    }
    assert!(turned > 20 * 30, "the others are full: {turned} were turned away");
    assert!(cold.len() > 20, "it is not starved: {}", cold.len());
    // Three times what it can do then, for two seconds; and chance.
    for at in &cold {
        let in_window = cold.iter().filter(|t| (*at..at + 2 * SECOND).contains(t)).count() as f64;
        let warmth = (0.2 + 0.8 * (at + SECOND - began) as f64 / (10 * SECOND) as f64).min(1.0);
        let allowed = 3.0 * 2.0 * CAN as f64 * warmth;
        assert!(
            in_window <= allowed,
            "{in_window} in a window, {allowed:.1} are allowed, {:.1} s after its start",
            (at - began) as f64 / SECOND as f64
        );
    }
}
