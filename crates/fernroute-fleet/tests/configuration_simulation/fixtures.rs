//! Registers, followers and heartbeats for tests of single cases.

use super::{GUARANTEED_LEASE, QUOTA_LEASE};
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot, FetchError};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::{content_hash, ConfigurationReport, Scope, Target, Version};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::ledger::{Entry, Ledger, LedgerTransition};
use fernroute_fleet::message::Heartbeat;
use fernroute_fleet::BudgetAmounts;

pub fn put(scope: Scope, base_version: Version, content: &str) -> ConfigurationPut {
    ConfigurationPut {
        scope,
        base_version,
        content_hash: content_hash(content),
        content: content.to_owned(),
        author: "ann".to_owned(),
        entered_at_ms: 7,
        min_version_exclusive: 0,
    }
}

/// Applies a change that is based on the latest version.
pub fn change(register: &mut Register, scope: Scope, content: &str) -> Version {
    let latest_version = register.latest_version(&scope);
    register.apply(&put(scope, latest_version, content)).expect("the change is based on the latest version")
}

pub fn parse_scope(text: &str) -> Scope {
    text.parse().expect("a scope")
}

/// A balancer of the service `cart` in the zone `east`.
pub fn cart_balancer() -> Target {
    Target { name: "b0".to_owned(), service: "cart".to_owned(), zone: "east".to_owned() }
}

/// The follower sends its request, which this register answers.
pub fn fetch(
    follower: &mut ConfigurationFollower,
    register: &Register,
) -> Result<ConfigurationSnapshot, FetchError> {
    let request = follower.next_fetch(1_000_000).expect("a request");
    follower.on_reply(register.fetch(&request))
}

/// The follower is notified, fetches and applies.
pub fn follow(follower: &mut ConfigurationFollower, register: &Register) {
    follower.on_notification(register.version_for(&cart_balancer()));
    let snapshot = fetch(follower, register).expect("the reply is used");
    follower.activate(snapshot);
}

pub fn contents(follower: &ConfigurationFollower) -> Vec<&str> {
    follower.active().contents().collect()
}

pub fn report(active: Version) -> ConfigurationReport {
    ConfigurationReport { service: "cart".to_owned(), zone: "east".to_owned(), active, rejected: None }
}

pub fn heartbeat(number: u64, configuration: Option<ConfigurationReport>) -> Heartbeat {
    Heartbeat {
        name: "b0".to_owned(),
        identity: 1,
        number,
        epoch: 0,
        demand: BudgetAmounts::new(),
        leaving: false,
        configuration,
        duties: None,
    }
}

/// A ledger with one member, and its leader.
pub fn ledger_and_leader() -> (Ledger, Leader) {
    let mut ledger = Ledger::default();
    let joined = vec![(1, "b0".to_owned())];
    ledger
        .apply(&Entry::Transition(LedgerTransition { joined, ..LedgerTransition::default() }))
        .expect("the member is new");
    let leader = Leader::new(0, &ledger, QUOTA_LEASE, GUARANTEED_LEASE, 4);
    (ledger, leader)
}
