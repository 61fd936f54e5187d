//! Registers, balancers and members by hand.

use super::{FLOORS, SHARES};
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot, FetchError};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::{content_hash, ConfigurationReport, Scope, Target, Version};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::ledger::{Entry, Ledger, LedgerTransition};
use fernroute_fleet::message::Heartbeat;
use fernroute_fleet::BudgetAmounts;

pub fn put(scope: Scope, base: Version, content: &str) -> ConfigurationPut {
    let (hash, content) = (content_hash(content), content.to_owned());
    ConfigurationPut {
        scope,
        base_version: base,
        content_hash: hash,
        content,
        author: "ann".to_owned(),
        entered_at_ms: 7,
        min_version_exclusive: 0,
    }
}

/// Entered from the latest.
pub fn change(register: &mut Register, scope: Scope, content: &str) -> Version {
    let base = register.latest_version(&scope);
    register.apply(&put(scope, base, content)).expect("it is from the latest")
}

pub fn of(text: &str) -> Scope {
    text.parse().expect("a scope")
}

/// Of the service `cart` in `east`.
pub fn here() -> Target {
    Target { name: "b0".to_owned(), service: "cart".to_owned(), zone: "east".to_owned() }
}

/// What it asks for is answered by this register.
pub fn fetch(
    follower: &mut ConfigurationFollower,
    register: &Register,
) -> Result<ConfigurationSnapshot, FetchError> {
    let asked = follower.next_fetch(1_000_000).expect("it asks");
    follower.on_reply(register.fetch(&asked))
}

/// Told, fetched and applied.
pub fn follow(follower: &mut ConfigurationFollower, register: &Register) {
    follower.on_notification(register.version_for(&here()));
    let snapshot = fetch(follower, register).expect("it is taken");
    follower.activate(snapshot);
}

pub fn contents(follower: &ConfigurationFollower) -> Vec<&str> {
    follower.active().contents().collect()
}

pub fn report(in_force: Version) -> ConfigurationReport {
    ConfigurationReport {
        service: "cart".to_owned(),
        zone: "east".to_owned(),
        active: in_force,
        rejected: None,
    }
}

pub fn beat(number: u64, configuration: Option<ConfigurationReport>) -> Heartbeat {
    let (name, wants) = ("b0".to_owned(), BudgetAmounts::new());
    Heartbeat {
        name,
        identity: 1,
        number,
        epoch: 0,
        demand: wants,
        leaving: false,
        configuration,
        duties: None,
    }
}

/// One member, and its leader.
pub fn led() -> (Ledger, Leader) {
    let mut ledger = Ledger::default();
    let joins = vec![(1, "b0".to_owned())];
    ledger
        .apply(&Entry::Transition(LedgerTransition { joined: joins, ..LedgerTransition::default() }))
        .expect("it is new");
    let leader = Leader::new(0, &ledger, SHARES, FLOORS, 4);
    (ledger, leader)
}
