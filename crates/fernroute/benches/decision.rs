//! What one RPC costs the decisions: taken on, sent, answered. By the number of upstreams.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use fernroute::action_queue::ActionQueue;
use fernroute::host::SECOND;
use fernroute::{Balancer, Outcome, Settings, Time, RETRY_BUDGET, TRIAL_BUDGET};
use std::hint::black_box;

fn terms() -> Settings {
    [
        ("instances", "100"),
        ("load.names", "utilisation"),
        ("limits.max_transmissions", "4"),
        ("limits.cancel", "true"),
        ("rules.cold_from", "0.3"),
        ("rules.warm_within", "80000"),
        ("rules.cold_multiple", "2.5"),
        ("rules.cold_window", "30000"),
        ("methods.count", "1"),
        ("methods.0.name", "look"),
        ("methods.0.effect", "retriable"),
        ("methods.0.soft_deadline", "10000"),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .collect()
}

/// One RPC of this tenant at each call, so long after the one before: taken on, sent, answered.
fn rpcs(
    mut balancer: Balancer<ActionQueue>,
    desk: ActionQueue,
    from: Time,
    gap: Time,
    tenant: &'static str,
) -> impl FnMut() {
    let (mut rpc, mut now) = (0_u64, from);
    move || {
        rpc += 1;
        now += gap;
        let id = format!("r{rpc}");
        balancer.rpc_arrived(now, &id, "look", tenant, "", SECOND);
        balancer.attempt_ended(now + 5, &id, 0, Outcome::Completed, 5, true, &[0.5]);
        while let Some(act) = desk.pop() {
            black_box(act);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for count in [10, 100, 120, 600, 1200] {
        // A busy balancer draws among all of them, one of few calls among six.
        for (pace, gap) in [("busy", 10), ("quiet", SECOND / 2)] {
            let desk = ActionQueue::default();
            let now = 1000 * SECOND;
            let mut balancer = Balancer::new(desk.clone(), now, 7, &terms()).expect("the terms are whole");
            balancer.snapshot_started(now, true);
            for n in 0..count {
                balancer.upstream_ready(&format!("u-{n}"), "a", &(n / 8).to_string(), "", 0);
            }
            balancer.snapshot_completed(true);
            let mut one = rpcs(balancer, desk, now, gap, "");
            // Until its rate is what it will be.
            (0..20_000).for_each(|_| one());
            group.bench_function(BenchmarkId::new(pace, count), |b| b.iter(&mut one));
        }
    }
    group.finish();
}

/// What budgets add to an RPC: none, a tenant's even part, and all that a fleet divides.
fn budgets(c: &mut Criterion) {
    let mut group = c.benchmark_group("budgets");
    for (name, tenants, granted) in [("none", "0", false), ("even", "1", false), ("fleet", "1", true)] {
        let desk = ActionQueue::default();
        let now = 1000 * SECOND;
        let mut terms = terms();
        let tenant = [("tenants.count", tenants), ("tenants.0.name", "acme"), ("tenants.0.rate", "1e9")];
        terms.extend(tenant.map(|(name, value)| (name.to_owned(), value.to_owned())));
        let mut balancer = Balancer::new(desk.clone(), now, 7, &terms).expect("the terms are whole");
        balancer.snapshot_started(now, true);
        (0..10).for_each(|n| balancer.upstream_ready(&format!("u-{n}"), "a", "0", "", 0));
        balancer.snapshot_completed(true);
        if granted {
            let rates = [(1e5, u64::MAX), (1e6, u64::MAX)];
            let all = [("acme", rates), (RETRY_BUDGET, rates), (TRIAL_BUDGET, rates)];
            balancer.set_budget_rates(now, &all).expect("they fit");
        }
        let mut one = rpcs(balancer, desk, now, 10, "acme");
        (0..20_000).for_each(|_| one());
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(&mut one));
    }
    group.finish();
}

criterion_group!(benches, decision, budgets);
criterion_main!(benches);
