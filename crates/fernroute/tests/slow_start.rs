//! Slow start of an upstream while the others are overloaded.

mod common;

use common::{balancer_with, upstream, START};
use fernroute::host::{Outcome, Time, SECOND};
use std::collections::BTreeMap;

/// Guards against overload of an upstream in slow start among full ones: RPCs that these reject are sent again elsewhere, and if
/// the rejected attempts counted, the capacity of one upstream would be overestimated.
#[test]
fn rejections_by_full_upstreams_do_not_raise_the_slow_start_limit() {
    /// The RPCs that each upstream serves per second; it rejects those beyond that.
    const CAPACITY_PER_SECOND: usize = 5;
    const WARM_UPSTREAMS: usize = 6;
    let (mut balancer, host) = balancer_with(WARM_UPSTREAMS, &[("instances", "1"), ("tier", "1")]);
    let (id, zone, cell) = upstream(WARM_UPSTREAMS);
    let started_at = START + 20 * SECOND;
    let (mut received, mut rejected): (BTreeMap<(String, Time), usize>, usize) = (BTreeMap::new(), 0);
    let mut sent_at: Vec<Time> = Vec::new();
    for i in 0..60 * 30 {
        let at = START + i * SECOND / 60;
        if at == started_at {
            balancer.snapshot_started(at, false);
            balancer.upstream_ready(&id, zone, &cell, "", started_at);
            balancer.snapshot_completed(true);
        }
        let rpc = format!("r{i}");
        let mut attempts_seen = host.0.borrow().sent.len();
        balancer.rpc_arrived(at, &rpc, "m0", "", "", SECOND);
        let mut n = 0;
        loop {
            // The next attempt, if there is one.
            let Some((_, to, _)) = host.0.borrow().sent.get(attempts_seen).cloned() else { break };
            attempts_seen += 1;
            sent_at.extend((to == id).then_some(at));
            let received_this_second = received.entry((to, at / SECOND)).or_default();
            *received_this_second += 1;
            let outcome = if *received_this_second > CAPACITY_PER_SECOND {
                Outcome::Rejected
            } else {
                Outcome::Completed
            };
            rejected += usize::from(outcome == Outcome::Rejected);
            let completed = outcome == Outcome::Completed;
            balancer.attempt_ended(at, &rpc, n, outcome, if completed { 500 } else { 5 }, completed, &[1.0]);
            n += 1;
        }
    }
    assert!(rejected > 20 * 30, "the others are full: {rejected} were rejected");
    assert!(sent_at.len() > 20, "the upstream in slow start must not be starved: {}", sent_at.len());
    // The limit: three times its capacity at that time, over a window of two seconds.
    for at in &sent_at {
        let in_window = sent_at.iter().filter(|t| (*at..at + 2 * SECOND).contains(t)).count() as f64;
        let weight = (0.2 + 0.8 * (at + SECOND - started_at) as f64 / (10 * SECOND) as f64).min(1.0);
        let allowed = 3.0 * 2.0 * CAPACITY_PER_SECOND as f64 * weight;
        assert!(
            in_window <= allowed,
            "{in_window} in a window, {allowed:.1} are allowed, {:.1} s after its start",
            (at - started_at) as f64 / SECOND as f64
        );
    }
}
