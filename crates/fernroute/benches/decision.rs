//! The cost of the decisions for one RPC, from its arrival to its final answer, by the number of upstreams.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use fernroute::action_queue::ActionQueue;
use fernroute::host::SECOND;
use fernroute::{Balancer, Outcome, Settings, Time, RETRY_BUDGET, TRIAL_BUDGET};
use std::hint::black_box;

fn settings() -> Settings {
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

/// Each call handles one RPC of this tenant: its arrival `gap` after the previous one, its attempt and its final answer.
fn rpcs(
    mut balancer: Balancer<ActionQueue>,
    actions: ActionQueue,
    start: Time,
    gap: Time,
    tenant: &'static str,
) -> impl FnMut() {
    let (mut rpc, mut now) = (0_u64, start);
    move || {
        rpc += 1;
        now += gap;
        let id = format!("r{rpc}");
        balancer.rpc_arrived(now, &id, "look", tenant, "", SECOND);
        balancer.attempt_ended(now + 5, &id, 0, Outcome::Completed, 5, true, &[0.5]);
        while let Some(action) = actions.pop() {
            black_box(action);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for count in [10, 100, 120, 600, 1200] {
        // A busy balancer picks among all upstreams, one of few RPCs among six.
        for (pace, gap) in [("busy", 10), ("quiet", SECOND / 2)] {
            let actions = ActionQueue::default();
            let now = 1000 * SECOND;
            let mut balancer =
                Balancer::new(actions.clone(), now, 7, &settings()).expect("the settings are valid");
            balancer.snapshot_started(now, true);
            for n in 0..count {
                balancer.upstream_ready(&format!("u-{n}"), "a", &(n / 8).to_string(), "", 0);
            }
            balancer.snapshot_completed(true);
            let mut handle_rpc = rpcs(balancer, actions, now, gap, "");
            // Until the rate estimates are stable.
            (0..20_000).for_each(|_| handle_rpc());
            group.bench_function(BenchmarkId::new(pace, count), |b| b.iter(&mut handle_rpc));
        }
    }
    group.finish();
}

/// The cost of budgets per RPC: without any, with a tenant's even part, and with all budgets granted by a fleet.
fn budgets(c: &mut Criterion) {
    let mut group = c.benchmark_group("budgets");
    for (name, tenants, granted) in [("none", "0", false), ("even", "1", false), ("fleet", "1", true)] {
        let actions = ActionQueue::default();
        let now = 1000 * SECOND;
        let mut settings = settings();
        let tenant = [("tenants.count", tenants), ("tenants.0.name", "acme"), ("tenants.0.rate", "1e9")];
        settings.extend(tenant.map(|(name, value)| (name.to_owned(), value.to_owned())));
        let mut balancer = Balancer::new(actions.clone(), now, 7, &settings).expect("the settings are valid");
        balancer.snapshot_started(now, true);
        (0..10).for_each(|n| balancer.upstream_ready(&format!("u-{n}"), "a", "0", "", 0));
        balancer.snapshot_completed(true);
        if granted {
            let rates = [(1e5, u64::MAX), (1e6, u64::MAX)];
            let budgets = [("acme", rates), (RETRY_BUDGET, rates), (TRIAL_BUDGET, rates)];
            balancer.set_budget_rates(now, &budgets).expect("the budgets exist");
        }
        let mut handle_rpc = rpcs(balancer, actions, now, 10, "acme");
        (0..20_000).for_each(|_| handle_rpc());
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(&mut handle_rpc));
    }
    group.finish();
}

criterion_group!(benches, decision, budgets);
criterion_main!(benches);
