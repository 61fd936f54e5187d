//! The steward's file: TOML, checked whole; all that is wrong is told at once, in one line.

use fernroute::Time;
use fernroute_fleet::configuration::is_name;
use fernroute_fleet::duties::MAX_DUTIES;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::Budget;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    cluster: String,
    name: String,
    folder: PathBuf,
    #[serde(default = "most")]
    members: usize,
    #[serde(default = "shares")]
    shares_ms: f64,
    /// How long a holder may act on a duty after it was last heard of; as long as shares where it is left out.
    duties_ms: Option<f64>,
    /// How often balancers beat, the slowest of them.
    #[serde(default = "beat")]
    beat_ms: f64,
    #[serde(default = "floors")]
    floors_s: f64,
    #[serde(default = "drift")]
    drift_ppm: u32,
    steward: Vec<CoordinatorAddress>,
    #[serde(default)]
    budget: Vec<RawBudget>,
    #[serde(default)]
    duty: Vec<RawDuty>,
}

/// What one balancer alone does at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDuty {
    name: String,
}

fn most() -> usize {
    1000
}

fn beat() -> f64 {
    250.0
}

/// Eight beats of a quarter second: some may be lost, and a new leader is found in time.
fn shares() -> f64 {
    2000.0
}

fn floors() -> f64 {
    60.0
}

/// Clocks of machines are off by some tens; twenty times that is a clock that is broken.
fn drift() -> u32 {
    1000
}

/// One of the ledger's processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorAddress {
    pub name: String,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    name: String,
    /// A second, over the fleet.
    whole: f64,
    /// The part of the whole that all members' floors together are.
    #[serde(default = "part")]
    floors: f64,
}

fn part() -> f64 {
    0.2
}

/// A file that will do.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    pub cluster: String,
    pub name: String,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub members: usize,
    pub shares: Lease,
    pub floors: Lease,
    pub stewards: Vec<CoordinatorAddress>,
    pub budgets: BTreeMap<String, Budget>,
    /// By name.
    pub duties: BTreeSet<String>,
    pub duty_lease: Lease,
}

impl CoordinatorConfig {
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        CoordinatorConfig::decode(&text).map_err(|why| format!("{}: {why}", path.display()))
    }

    pub fn decode(text: &str) -> Result<Self, String> {
        let page: RawConfig = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        let faults = page.faults();
        if !faults.is_empty() {
            return Err(faults.join("; "));
        }
        let own = page.steward.iter().find(|s| s.name == page.name);
        let address = own.map(|s| s.address).ok_or("name: no steward has it")?;
        let lease = |length: f64| Lease { duration: length.round() as Time, drift_ppm: page.drift_ppm };
        let budget = |b: &RawBudget| (b.name.clone(), Budget::new(b.whole, b.floors, page.members));
        Ok(CoordinatorConfig {
            address,
            shares: lease(page.shares_ms * 10.0),
            floors: lease(page.floors_s * 10_000.0),
            duty_lease: lease(page.duties_ms.unwrap_or(page.shares_ms) * 10.0),
            budgets: page.budget.iter().map(budget).collect(),
            duties: page.duty.into_iter().map(|duty| duty.name).collect(),
            cluster: page.cluster,
            name: page.name,
            folder: page.folder,
            members: page.members,
            stewards: page.steward,
        })
    }
}

impl RawConfig {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut ask = |holds: bool, what: String| faults.extend((!holds).then_some(what));
        let within = |value: f64, least: f64, most: f64| (least..=most).contains(&value);
        ask(!self.cluster.trim().is_empty(), "cluster: is empty".to_owned());
        ask(
            within(self.members as f64, 1.0, 10_000.0),
            format!("members: {} is not between 1 and 10000", self.members),
        );
        ask(
            within(self.shares_ms, 300.0, 60_000.0),
            format!("shares_ms: {} is not between 300 and 60000", self.shares_ms),
        );
        ask(
            within(self.beat_ms, 10.0, 10_000.0),
            format!("beat_ms: {} is not between 10 and 10000", self.beat_ms),
        );
        ask(
            self.shares_ms >= 3.0 * self.beat_ms,
            format!("shares_ms: {} is shorter than three beats of beat_ms: {}", self.shares_ms, self.beat_ms),
        );
        let day = 86_400.0;
        ask(
            within(self.floors_s, self.shares_ms / 1000.0, day),
            format!("floors_s: {} is under shares_ms, or over a day", self.floors_s),
        );
        ask(self.drift_ppm <= 100_000, format!("drift_ppm: {} is over 100000", self.drift_ppm));
        let count = self.steward.len();
        ask(
            matches!(count, 1 | 3 | 5 | 7),
            format!("steward: {count} of them; one, three or five outlive none, one or two"),
        );
        ask(
            self.steward.iter().any(|s| s.name == self.name),
            format!("name: no steward is called {}", self.name),
        );
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (n, s) in self.steward.iter().enumerate() {
            ask(names.insert(&s.name), format!("steward[{n}].name: {} is there twice", s.name));
            ask(addresses.insert(s.address), format!("steward[{n}].address: {} is there twice", s.address));
            ask(s.address.port() != 0, format!("steward[{n}].address: {} has no port", s.address));
        }
        let mut budgets = BTreeSet::new();
        for (n, b) in self.budget.iter().enumerate() {
            ask(budgets.insert(&b.name), format!("budget[{n}].name: {} is there twice", b.name));
            ask(
                within(b.whole, 0.001, 1e9),
                format!("budget[{n}].whole: {} is not between 0.001 and 1e9", b.whole),
            );
            ask(within(b.floors, 0.0, 1.0), format!("budget[{n}].floors: {} is beyond the whole", b.floors));
        }
        faults.extend(self.duty_faults());
        faults
    }

    fn duty_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if let Some(length) = self.duties_ms {
            if !(300.0..=60_000.0).contains(&length) {
                faults.push(format!("duties_ms: {length} is not between 300 and 60000"));
            }
            if length < 4.0 * self.beat_ms {
                let beat = self.beat_ms;
                faults.push(format!("duties_ms: {length} is shorter than four beats of beat_ms: {beat}"));
            }
        }
        if self.duty.len() > MAX_DUTIES {
            faults.push(format!("duty: {} of them, over {MAX_DUTIES}", self.duty.len()));
        }
        let mut names = BTreeSet::new();
        for (n, duty) in self.duty.iter().enumerate() {
            if !is_name(&duty.name) {
                faults.push(format!("duty[{n}].name: {:?} won't do", duty.name));
            }
            if !names.insert(&duty.name) {
                faults.push(format!("duty[{n}].name: {} is there twice", duty.name));
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "cluster = \"c\"\nname = \"a\"\nfolder = \"/tmp/a\"\n\
        [[steward]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\n\
        [[budget]]\nname = \"acme\"\nwhole = 200\n";

    #[test]
    fn a_small_file_will_do_and_has_what_is_left_out() {
        let terms = CoordinatorConfig::decode(FILE).expect("it will do");
        let acme = terms.budgets.get("acme").expect("it is there");
        assert_eq!(
            (acme.limit, acme.guaranteed, terms.shares.duration, terms.floors.duration),
            (200_000, 40, 20_000, 600_000)
        );
        assert!(acme.guaranteed * terms.members as u64 <= acme.limit);
    }

    #[test]
    fn all_that_is_wrong_is_told_at_once() {
        let second = "[[steward]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\n";
        let text = format!("shares_ms = 10\n{FILE}{second}floors = 3\n")
            .replace("whole = 200\n", "whole = 0\nfloors = 2\n");
        let why = CoordinatorConfig::decode(&text.replace("floors = 3\n", "")).expect_err("it will not do");
        for what in
            ["shares_ms: 10", "2 of them", "steward[1].name", "steward[1].address", "whole: 0", "floors: 2"]
        {
            assert!(why.contains(what), "{what}: {why}");
        }
        assert!(!why.contains('\n'));
        for (old, new, what) in [
            ("name = \"a\"\nfolder", "name = \"b\"\nfolder", "no steward is called b"),
            ("cluster", "claster", "line 1"),
            (
                "folder",
                "shares_ms = 700\nfolder",
                "shares_ms: 700 is shorter than three beats of beat_ms: 250",
            ),
            ("folder", "beat_ms = 5\nfolder", "beat_ms: 5 is not between"),
            ("127.0.0.1:7001", "127.0.0.1:0", "has no port"),
        ] {
            let why = CoordinatorConfig::decode(&FILE.replace(old, new)).expect_err(what);
            assert!(why.contains(what), "{why}");
        }
    }
}
