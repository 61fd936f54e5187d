//! A host that keeps what a balancer did, and the terms and lists that the tests start it with.
#![allow(dead_code)]

use fernroute::host::{Host, Settings, Time, Timer, SECOND};
use fernroute::Balancer;
use std::cell::RefCell;
use std::rc::Rc;

/// What was done for one RPC or timer, in order.
#[derive(Default)]
pub struct Notes {
    /// RPC, upstream, time-out.
    pub sent: Vec<(String, String, Time)>,
    pub cancelled: Vec<(String, usize)>,
    pub exhausted: Vec<(String, Time)>,
    pub errored: Vec<String>,
    /// After how long, and what for.
    pub timers: Vec<(Time, Timer)>,
    pub asked: usize,
    pub lines: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Notebook(pub Rc<RefCell<Notes>>);

impl Host for Notebook {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, time_out: Time, _: Option<Time>) {
        self.0.borrow_mut().sent.push((rpc.into(), upstream.into(), time_out));
    }
    fn cancel_attempt(&mut self, rpc: &str, tx: usize) {
        self.0.borrow_mut().cancelled.push((rpc.into(), tx));
    }
    fn reject(&mut self, rpc: &str, stay_away: Time) {
        self.0.borrow_mut().exhausted.push((rpc.into(), stay_away));
    }
    fn fail(&mut self, rpc: &str) {
        self.0.borrow_mut().errored.push(rpc.into());
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        self.0.borrow_mut().timers.push((after, timer));
    }
    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().asked += 1;
    }
    fn log(&mut self, line: &str) {
        self.0.borrow_mut().lines.push(line.into());
    }
}

/// A deployment of the tests' own: a method of each kind, deduped ones in each kind of group.
pub fn terms(changes: &[(&str, &str)]) -> Settings {
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

/// The name, zone and cell of upstream `n`: two zones, cells of two.
pub fn upstream(n: usize) -> (String, &'static str, String) {
    (format!("10.0.0.{n}:80"), ["east", "west"][n % 2], (n / 2).to_string())
}

/// A balancer that has been told of this many warm upstreams.
pub fn balancer(count: usize, changes: &[(&str, &str)]) -> (Balancer<Notebook>, Notebook) {
    let notebook = Notebook::default();
    let mut b = Balancer::new(notebook.clone(), START, 7, &terms(changes)).expect("the terms are whole");
    b.snapshot_started(START, true);
    for n in 0..count {
        let (id, zone, cell) = upstream(n);
        b.upstream_ready(&id, zone, &cell, "", 0);
    }
    b.snapshot_completed(true);
    (b, notebook)
}
