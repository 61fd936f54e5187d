//! A host that records the actions of a balancer, and the settings and endpoint lists of the tests.
#![allow(dead_code)]

use fernroute::host::{Host, Settings, Time, Timer, SECOND};
use fernroute::Balancer;
use std::cell::RefCell;
use std::rc::Rc;

/// The actions of a balancer, each kind in order.
#[derive(Default)]
pub struct RecordedActions {
    /// The attempts: RPC, upstream and time-out.
    pub sent: Vec<(String, String, Time)>,
    pub cancelled: Vec<(String, usize)>,
    pub rejected: Vec<(String, Time)>,
    pub failed: Vec<String>,
    /// The delay of each timer, and the timer.
    pub timers: Vec<(Time, Timer)>,
    pub polls: usize,
    pub log_lines: Vec<String>,
}

#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<RecordedActions>>);

impl Host for RecordingHost {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, _: Option<Time>) {
        self.0.borrow_mut().sent.push((rpc.into(), upstream.into(), timeout));
    }
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize) {
        self.0.borrow_mut().cancelled.push((rpc.into(), attempt));
    }
    fn reject(&mut self, rpc: &str, retry_after: Time) {
        self.0.borrow_mut().rejected.push((rpc.into(), retry_after));
    }
    fn fail(&mut self, rpc: &str) {
        self.0.borrow_mut().failed.push(rpc.into());
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        self.0.borrow_mut().timers.push((after, timer));
    }
    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().polls += 1;
    }
    fn log(&mut self, line: &str) {
        self.0.borrow_mut().log_lines.push(line.into());
    }
}

/// Settings with one method of each idempotency class, `m0` to `m4`, and with these changes.
pub fn settings(changes: &[(&str, &str)]) -> Settings {
    let mut all: Settings = [
        ("instances", "2"),
        ("tier", "0"),
        ("zone", "east"),
        ("tick", "50"),
        ("list_mode", "push"),
        ("load.names", "utilisation"),
        ("limits.max_transmissions", "4"),
        ("limits.cancel", "true"),
        ("limits.stay_away", "true"),
        ("limits.max_stay_away", "20000"),
        ("rules.cold_from", "0.2"),
        ("rules.warm_within", "100000"),
        ("rules.cold_multiple", "3"),
        ("rules.cold_window", "20000"),
        ("rules.ask_within", "100000"),
        ("methods.count", "5"),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .collect();
    let kinds = [
        ("retriable", ""),
        ("deduped", "cell"),
        ("non_retriable", ""),
        ("deduped", "zone"),
        ("deduped", "all"),
    ];
    for (i, (effect, group)) in kinds.iter().enumerate() {
        all.insert(format!("methods.{i}.name"), format!("m{i}"));
        all.insert(format!("methods.{i}.effect"), (*effect).to_owned());
        if !group.is_empty() {
            all.insert(format!("methods.{i}.group"), (*group).to_owned());
        }
        all.insert(format!("methods.{i}.window"), "3000".to_owned());
        all.insert(format!("methods.{i}.soft_deadline"), "10000".to_owned());
    }
    all.extend(changes.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())));
    all
}

pub const START: Time = 1000 * SECOND;

/// The identifier, zone and cell of upstream `n`: the zones alternate, and each cell has two upstreams.
pub fn upstream(n: usize) -> (String, &'static str, String) {
    (format!("10.0.0.{n}:80"), ["east", "west"][n % 2], (n / 2).to_string())
}

/// A balancer with these changes to its settings, and with this many warm upstreams.
pub fn balancer_with(count: usize, changes: &[(&str, &str)]) -> (Balancer<RecordingHost>, RecordingHost) {
    let host = RecordingHost::default();
    let mut balancer =
        Balancer::new(host.clone(), START, 7, &settings(changes)).expect("the settings are valid");
    balancer.snapshot_started(START, true);
    for n in 0..count {
        let (id, zone, cell) = upstream(n);
        balancer.upstream_ready(&id, zone, &cell, "", 0);
    }
    balancer.snapshot_completed(true);
    (balancer, host)
}
