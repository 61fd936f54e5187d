//! Deployments with keys, kinds of upstreams, counts in load reports, granted budgets, and settings that change while RPCs are open.

mod common;

use common::{balancer_with, settings, upstream, RecordingHost, START};
use fernroute::host::{Outcome, SECOND};
use fernroute::{Balancer, Time};
use std::collections::{BTreeMap, BTreeSet};

const KEY_SETTINGS: &[(&str, &str)] =
    &[("warm_keys", "true"), ("instances", "200"), ("load.names", "utilisation,queued")];

/// Sends one RPC with a key, which is answered with this utilisation; returns the upstream of its attempt.
fn send_keyed_rpc(
    balancer: &mut Balancer<RecordingHost>,
    host: &RecordingHost,
    at: Time,
    key: &str,
    utilisation: f64,
) -> Option<String> {
    let (id, before) = (format!("{key}-{at}"), host.0.borrow().sent.len());
    balancer.rpc_arrived(at, &id, "m0", "", key, SECOND);
    let to = host.0.borrow().sent.get(before).map(|(_, to, _)| to.clone())?;
    balancer.attempt_ended(at + 100, &id, 0, Outcome::Completed, 100, true, &[utilisation, 0.0]);
    Some(to)
}

/// Guards against a key that every upstream has to cache because each balancer sends it elsewhere.
#[test]
fn all_balancers_send_a_key_to_the_same_few_upstreams() {
    let mut destinations: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for number in 0..40 {
        let (mut balancer, host) =
            balancer_with(40, &[KEY_SETTINGS, &[("number", &number.to_string())]].concat());
        for n in 0..10 {
            let key = format!("k{n}");
            let to = send_keyed_rpc(&mut balancer, &host, START + n * SECOND, &key, 0.5).expect("sent");
            destinations.entry(key).or_default().insert(to);
        }
    }
    let max = destinations.values().map(BTreeSet::len).max();
    assert!(max.is_some_and(|max| max <= 5), "{destinations:?}");
    assert!(
        destinations.values().flatten().collect::<BTreeSet<_>>().len() >= 6,
        "all keys go to the same upstreams"
    );
}

/// Guards against overload of the one upstream that serves a popular key.
#[test]
fn popular_key_gets_more_replicas() {
    let (mut balancer, host) = balancer_with(40, KEY_SETTINGS);
    let destinations: BTreeSet<String> = (0..300)
        .filter_map(|i| send_keyed_rpc(&mut balancer, &host, START + i * SECOND / 10, "k", 0.5))
        .collect();
    assert!(destinations.len() >= 10, "only {} upstreams", destinations.len());
}

/// Guards against keys that are spread evenly over kinds of upstreams with different capacity.
#[test]
fn keys_are_spread_by_the_capacity_of_upstream_kinds() {
    let (mut balancer, host) = balancer_with(0, KEY_SETTINGS);
    balancer.snapshot_started(START, true);
    for n in 0..40 {
        let (id, zone, cell) = upstream(n);
        balancer.upstream_ready(&id, zone, &cell, ["x", "y"][n / 2 % 2], 0);
    }
    balancer.snapshot_completed(true);
    let low_capacity: BTreeSet<String> = (0..40).filter(|n| n / 2 % 2 == 1).map(|n| upstream(n).0).collect();
    let mut counts = [0, 0];
    for i in 0..1200 {
        let utilisation = |to: &str| if low_capacity.contains(to) { 0.9 } else { 0.3 };
        let (id, key) = (format!("r{i}"), format!("k{}", i % 400));
        let at = START + i * SECOND / 20;
        balancer.rpc_arrived(at, &id, "m0", "", &key, SECOND);
        let to = host.0.borrow().sent.last().map(|(_, to, _)| to.clone()).expect("sent");
        balancer.attempt_ended(at + 100, &id, 0, Outcome::Completed, 100, true, &[utilisation(&to), 0.0]);
        counts[usize::from(low_capacity.contains(&to))] += usize::from(i >= 600);
    }
    assert!(counts[0] > 2 * counts[1], "{counts:?} to the kinds of high and of low capacity");
}

/// Guards against overload of an upstream in slow start: all balancers send it the same keys, and it has cached none of them.
#[test]
fn keyed_rpcs_keep_the_slow_start_limit() {
    let started_at = START + 20 * SECOND;
    let (id, zone, cell) = upstream(2);
    let (mut balancer, host) = balancer_with(40, KEY_SETTINGS);
    let at = |n: u64| START + n * SECOND;
    let keys = (0..2000).map(|n| (n, format!("k{n}")));
    let leads_to_upstream = |(n, key): &(u64, String)| {
        send_keyed_rpc(&mut balancer, &host, at(*n), key, 0.4).is_some_and(|to| to == id)
    };
    let keys: Vec<String> = keys.filter(leads_to_upstream).map(|(_, key)| key).take(20).collect();
    let mut sent: Vec<Time> = Vec::new();
    for number in 0..200 {
        let (mut balancer, host) =
            balancer_with(40, &[KEY_SETTINGS, &[("number", &number.to_string())]].concat());
        for i in 0..80 {
            let at = START + i * SECOND / 2 + number * 17;
            if i == 40 {
                balancer.snapshot_started(started_at, false);
                balancer.upstream_ready(&id, zone, &cell, "", started_at);
                balancer.snapshot_completed(true);
            }
            let to = send_keyed_rpc(
                &mut balancer,
                &host,
                at.max(START),
                &keys[((i * 7 + number) % 20) as usize],
                0.4,
            );
            sent.extend(to.filter(|to| *to == id && i >= 40).map(|_| at));
        }
    }
    // 400 RPCs a second over forty upstreams at 40 % utilisation, with cached keys: the capacity of each is 25 a second, and 2.5 times
    // less without cached keys. The upstream is warm after ten seconds, and only windows that end before are checked.
    for at in sent.iter().filter(|at| **at < started_at + 8 * SECOND) {
        let in_window = sent.iter().filter(|t| (*at..at + 2 * SECOND).contains(t)).count() as f64;
        let weight = 0.2 + 0.8 * at.saturating_sub(started_at) as f64 / (10 * SECOND) as f64;
        assert!(in_window <= 3.0 * 25.0 / 2.5 * 2.0 * weight, "{in_window} in a window at {weight}");
    }
}

const COUNT_SETTINGS: &[(&str, &str)] = &[("load.names", "utilisation,in_flight,queued")];

/// Sends one RPC, which is answered with a report of `in_flight` RPCs in flight, itself included; returns the upstream of its attempt.
fn send_with_counts(
    balancer: &mut Balancer<RecordingHost>,
    host: &RecordingHost,
    at: Time,
    id: &str,
    in_flight: f64,
) -> Option<String> {
    let before = host.0.borrow().sent.len();
    balancer.rpc_arrived(at, id, "m0", "", "", 3 * SECOND);
    let to = host.0.borrow().sent.get(before).map(|(_, to, _)| to.clone())?;
    let latency = (in_flight * 1000.0) as Time;
    balancer.attempt_ended(
        at + 1000,
        id,
        0,
        Outcome::Completed,
        latency,
        true,
        &[0.9, in_flight, in_flight - 1.0],
    );
    Some(to)
}

/// Guards against load reports that show a long queue and are ignored.
#[test]
fn upstream_that_reports_a_long_queue_is_avoided() {
    let (mut balancer, host) = balancer_with(6, COUNT_SETTINGS);
    let overloaded = upstream(2).0;
    let mut received = 0;
    for i in 0..300 {
        let id = format!("r{i}");
        let before = host.0.borrow().sent.len();
        let at = START + i * SECOND / 5;
        balancer.rpc_arrived(at, &id, "m0", "", "", 3 * SECOND);
        let Some(to) = host.0.borrow().sent.get(before).map(|(_, to, _)| to.clone()) else { continue };
        received += usize::from(to == overloaded && i > 50);
        let in_flight = if to == overloaded { 4.0 } else { 1.0 };
        let latency = (500.0 * in_flight) as Time;
        balancer.attempt_ended(
            at + latency,
            &id,
            0,
            Outcome::Completed,
            latency,
            true,
            &[0.5, in_flight, in_flight - 1.0],
        );
    }
    assert!(received < 10, "{received} of 250 RPCs to the overloaded upstream, one of six");
}

/// Guards against work for responses that come too late, and against final answers that are delayed.
#[test]
fn rpc_that_would_be_late_by_fresh_reports_is_rejected_at_once() {
    let (mut balancer, host) = balancer_with(2, COUNT_SETTINGS);
    for i in 0..40 {
        send_with_counts(&mut balancer, &host, START + i * SECOND / 4, &format!("r{i}"), 9.0);
    }
    let (at, sent) = (START + 10 * SECOND, host.0.borrow().sent.len());
    balancer.rpc_arrived(at, "late", "m0", "", "", 3 * SECOND);
    assert_eq!(host.0.borrow().sent.len(), sent, "sent to an upstream with nine RPCs of a second each");
    assert!(host.0.borrow().rejected.iter().any(|(id, _)| id == "late"), "not rejected at once");
    // Three seconds later the reports are too old, and an RPC is sent to get a new one.
    balancer.rpc_arrived(at + 3 * SECOND, "later", "m0", "", "", 3 * SECOND);
    assert_eq!(host.0.borrow().sent.len(), sent + 1, "no RPC is sent any more");
}

/// The settings with the method names in reverse order, so that the names have the idempotency of other methods.
fn reversed_method_names() -> fernroute::Settings {
    let mut new = settings(&[]);
    for i in 0..5 {
        new.insert(format!("methods.{i}.name"), format!("m{}", 4 - i));
    }
    new
}

/// Guards against an RPC that runs twice or is given up because the settings changed while it was open.
#[test]
fn open_rpc_keeps_the_policy_that_it_arrived_under() {
    let (mut balancer, host) = balancer_with(6, &[]);
    // By the new settings m0 is deduped, m2 is unchanged and m4 is retriable; m4 has the index that m0 had.
    for (id, method) in [("again", "m0"), ("once", "m2"), ("group", "m4")] {
        balancer.rpc_arrived(START, id, method, "", "", 3 * SECOND);
    }
    balancer.update_settings(START + 10, &reversed_method_names()).expect("the settings are valid");
    for id in ["again", "once", "group"] {
        balancer.attempt_ended(START + 20, id, 0, Outcome::Reset, 20, false, &[]);
    }
    let times = |id: &str| host.0.borrow().sent.iter().filter(|(rpc, _, _)| rpc == id).count();
    assert_eq!((times("again"), times("once"), times("group")), (2, 1, 2));
    assert_eq!(host.0.borrow().failed, ["once"]);
    // RPCs that arrive from now on have the new policy, and keep it when the settings change back.
    balancer.rpc_arrived(START + 30, "new", "m4", "", "", 3 * SECOND);
    balancer.update_settings(START + 40, &settings(&[])).expect("the settings are valid");
    balancer.attempt_ended(START + 4000, "new", 0, Outcome::Reset, 20, false, &[]);
    assert_eq!(times("new"), 2, "retriable when it arrived, although the deduplication window is over");
}

/// Guards against settings that are applied in part.
#[test]
fn invalid_settings_change_nothing() {
    let (mut balancer, host) = balancer_with(6, &[]);
    for (name, value, reason) in [
        ("rules.cold_from", "0", "out of range"),
        ("rules.cold_window", "soon", "missing or unreadable"),
        ("warm_keys", "perhaps", "missing or unreadable"),
        ("prices.cross_zone", "-1", "out of range"),
        ("methods.3.name", "m0", "duplicate method name"),
        ("methods.1.hard_deadline", "9000", "after the hard deadline"),
        ("limits.max_transmissions", "many", "missing or unreadable"),
    ] {
        let mut new = reversed_method_names();
        new.insert(name.to_owned(), value.to_owned());
        let bad = balancer.update_settings(START, &new).expect_err(name);
        assert_eq!(bad.reason, reason, "{name}");
    }
    balancer.rpc_arrived(START, "a", "m2", "", "", 3 * SECOND);
    balancer.attempt_ended(START + 20, "a", 0, Outcome::Reset, 20, false, &[]);
    assert_eq!(host.0.borrow().failed, ["a"], "m2 must stay non-retriable");
}

/// Guards against more attempts than the present settings allow.
#[test]
fn lowered_attempt_limit_applies_to_the_next_attempt() {
    let (mut balancer, host) = balancer_with(6, &[]);
    for id in ["before", "after"] {
        balancer.rpc_arrived(START, id, "m0", "", "", 3 * SECOND);
    }
    balancer.attempt_ended(START + 10, "before", 0, Outcome::Reset, 10, false, &[]);
    balancer
        .update_settings(START + 20, &settings(&[("limits.max_transmissions", "1")]))
        .expect("the settings are valid");
    balancer.attempt_ended(START + 30, "after", 0, Outcome::Reset, 30, false, &[]);
    let times = |id: &str| host.0.borrow().sent.iter().filter(|(rpc, _, _)| rpc == id).count();
    assert_eq!((times("before"), times("after")), (2, 1));
}

/// A tenant with a quota of 60 RPCs a second over six balancers.
const TENANT_SETTINGS: &[(&str, &str)] = &[
    ("tenants.count", "1"),
    ("tenants.0.name", "acme"),
    ("tenants.0.rate", "60"),
    ("instances", "6"),
    ("refuse_over_share", "true"),
];

/// Sends `count` RPCs of the tenant at one time; returns how many attempts were sent.
fn send_tenant_rpcs(
    balancer: &mut Balancer<RecordingHost>,
    host: &RecordingHost,
    at: Time,
    count: usize,
) -> usize {
    let before = host.0.borrow().sent.len();
    (0..count).for_each(|n| balancer.rpc_arrived(at, &format!("t{at}.{n}"), "m0", "acme", "", SECOND));
    host.0.borrow().sent.len() - before
}

/// Guards against a grant that is used after its expiry by a balancer that was suspended, against a grant that is used twice, and
/// against the loss of the second, longer grant when the first expires.
#[test]
fn granted_tokens_are_available_until_the_grant_expires() {
    let (mut balancer, host) = balancer_with(8, TENANT_SETTINGS);
    balancer
        .set_budget_rates(START, &[("acme", [(2.0, START + 100 * SECOND), (18.0, START + 10 * SECOND)])])
        .expect("the budget exists");
    // The tokens that were saved up at the rate of the even part are available, and no more.
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START, 30), 10);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + SECOND / 4, 30), 5);
    // Suspended until after the expiry of one grant: two seconds' worth of the other are available.
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 30 * SECOND, 90), 4);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 31 * SECOND, 30), 2);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 32 * SECOND, 30), 2);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 200 * SECOND, 30), 0);
    // Without a grant there are no tokens; new settings do not restore the even part; an unknown tenant or an invalid rate changes nothing.
    balancer
        .set_budget_rates(START + 300 * SECOND, &[("acme", [(10.0, Time::MAX), (0.0, 0)])])
        .expect("the budget exists");
    let bad = [("other", [(1.0, 1); 2]), ("acme", [(f64::NAN, 1), (0.0, 0)])];
    for bad in bad {
        assert!(balancer.set_budget_rates(START + 300 * SECOND, &[bad]).is_err());
    }
    balancer
        .update_settings(START + 301 * SECOND, &settings(TENANT_SETTINGS))
        .expect("the settings are valid");
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 302 * SECOND, 30), 20);
    balancer.set_budget_rates(START + 303 * SECOND, &[]).expect("the budget exists");
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START + 310 * SECOND, 30), 0);
}

/// Guards against RPCs over quota that are rejected although the settings do not say so, or admitted although they do.
#[test]
fn rpcs_over_quota_are_rejected_only_if_the_settings_say_so() {
    let (mut balancer, host) = balancer_with(8, TENANT_SETTINGS);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START, 30), 10);
    let (mut balancer, host) = balancer_with(8, &TENANT_SETTINGS[..4]);
    assert_eq!(send_tenant_rpcs(&mut balancer, &host, START, 30), 30);
}
