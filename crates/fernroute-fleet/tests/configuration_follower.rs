//! A balancer's side of the configuration: which version it fetches, which replies it uses, and which entries
//! are active.

mod configuration_simulation;

use configuration_simulation::fixtures::{
    cart_balancer, change, contents, fetch, follow, heartbeat, ledger_and_leader, parse_scope, put, report,
};
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot, FetchError};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::rollout::RolloutState;
use fernroute_fleet::configuration::{
    ConfigurationReport, FetchReply, FetchRequest, ScopeEntry, Target, MAX_REASON_CHARS,
};

#[test]
fn contents_apply_from_the_widest_scope_to_the_narrowest_without_cleared_ones() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    assert_eq!((follower.next_fetch(0), follower.report().active), (None, 0));
    for text in ["balancer/b0", "service/cart", "all"] {
        change(&mut register, parse_scope(text), &format!("c = \"{text}\""));
    }
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"service/cart\"", "c = \"balancer/b0\""]);
    change(&mut register, parse_scope("service/cart"), "");
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"balancer/b0\""]);
    assert_eq!(follower.report(), ConfigurationReport { active: 4, ..report(0) });
    // With all scopes cleared only the balancer's own file is used, and the version is still the latest.
    change(&mut register, parse_scope("all"), "");
    change(&mut register, parse_scope("balancer/b0"), "");
    follow(&mut follower, &register);
    assert_eq!((contents(&follower).len(), follower.report().active), (0, 6));
}

/// Guards against an older version that replaces a newer one, whichever sender it is from and however late it arrives.
#[test]
fn an_older_notice_and_an_older_reply_change_nothing() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    change(&mut register, parse_scope("all"), "c = 1");
    let old = register.clone();
    change(&mut register, parse_scope("all"), "c = 2");
    follow(&mut follower, &register);
    // An older version in a notice of a replaced leader, and in a late reply.
    follower.on_notification(1);
    assert_eq!(follower.next_fetch(0), None);
    assert_eq!(
        follower.on_reply(old.fetch(&FetchRequest {
            target: cart_balancer(),
            known_version: 0,
            wanted_version: 1
        })),
        Err(FetchError::Unsolicited)
    );
    // The fourth version is requested; a coordinator that is behind answers, or an earlier request is
    // answered late.
    change(&mut register, parse_scope("all"), "c = 3");
    let between = register.clone();
    change(&mut register, parse_scope("all"), "c = 4");
    follower.on_notification(4);
    assert_eq!(
        follower.next_fetch(0).map(|request| (request.known_version, request.wanted_version)),
        Some((2, 4))
    );
    assert_eq!(follower.on_reply(FetchReply::Behind), Err(FetchError::Behind));
    let request = FetchRequest { target: cart_balancer(), known_version: 0, wanted_version: 1 };
    assert_eq!(follower.on_reply(old.fetch(&request)), Err(FetchError::Older));
    assert_eq!(follower.on_reply(between.fetch(&request)), Err(FetchError::Behind));
    follower.activate(follower.active().clone());
    // An older snapshot that is activated changes nothing either.
    let mut older = ConfigurationFollower::new(cart_balancer(), None);
    follow(&mut older, &old);
    follower.activate(older.active().clone());
    assert_eq!((contents(&follower), follower.report().active), (vec!["c = 2"], 2));
    // The next notice corrects an overtaken one.
    follower.on_notification(3);
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(0), None);
    follower.on_notification(3);
    assert!(follower.next_fetch(0).is_some());
}

#[test]
fn a_version_that_is_entered_during_a_fetch_is_fetched_next() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    change(&mut register, parse_scope("all"), "c = 1");
    follower.on_notification(1);
    let request = follower.next_fetch(0).expect("a request");
    let reply = register.fetch(&request);
    change(&mut register, parse_scope("all"), "c = 2");
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(0), None);
    let snapshot = follower.on_reply(reply).expect("the reply is newer than the active version");
    assert_eq!(follower.report().active, 0, "nothing is active before it is applied");
    follower.activate(snapshot);
    assert_eq!(
        follower.next_fetch(0).map(|request| (request.known_version, request.wanted_version)),
        Some((1, 2))
    );
    // A reply may bring a higher version than the balancer was notified of.
    change(&mut register, parse_scope("balancer/b0"), "c = 3");
    let reply =
        register.fetch(&FetchRequest { target: cart_balancer(), known_version: 1, wanted_version: 2 });
    let snapshot = follower.on_reply(reply).expect("the reply is used");
    follower.activate(snapshot);
    assert_eq!((follower.report().active, follower.next_fetch(0)), (3, None));
}

#[test]
fn a_rejected_version_is_not_fetched_again_before_a_newer_one_or_another_own_file() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    change(&mut register, parse_scope("all"), "c = 1");
    follow(&mut follower, &register);
    change(&mut register, parse_scope("all"), "bad");
    follower.on_notification(2);
    let rejected = fetch(&mut follower, &register).expect("the reply is complete").version;
    follower.reject(rejected, &format!("no\nsuch key {}", "x".repeat(500)));
    let (version, reason) = follower.report().rejected.expect("a rejection");
    assert_eq!((version, reason.chars().count(), reason.contains('\n')), (2, MAX_REASON_CHARS, false));
    follower.on_notification(2);
    assert_eq!((follower.next_fetch(0), contents(&follower)), (None, vec!["c = 1"]));
    // A later rejection of an older version changes nothing.
    follower.reject(1, "late");
    assert_eq!(follower.report().rejected.map(|(version, _)| version), Some(2));
    // The balancer's own file has changed.
    follower.retry_rejected();
    assert_eq!(follower.report().rejected, None);
    let snapshot = fetch(&mut follower, &register).expect("the reply is complete");
    follower.reject(snapshot.version, "still not");
    change(&mut register, parse_scope("all"), "c = 3");
    follow(&mut follower, &register);
    assert_eq!(
        (contents(&follower), follower.report()),
        (vec!["c = 3"], ConfigurationReport { active: 3, ..report(0) })
    );
}

/// Guards against balancers that retry together after they failed together.
#[test]
fn backoff_has_jitter_grows_to_a_second_and_ends_with_a_newer_version() {
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    follower.on_notification(1);
    let mut now = 1_000_000;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        assert!(follower.next_fetch(now).is_some());
        follower.fetch_failed(now, 1.0);
        let backoff = (0..).step_by(100).find(|backoff| follower.clone().next_fetch(now + backoff).is_some());
        backoffs.push(backoff.expect("the follower retries"));
        now += backoffs[backoffs.len() - 1];
    }
    assert_eq!(backoffs, [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert!(follower.next_fetch(now).is_some());
    follower.fetch_failed(now, 0.0);
    assert!(
        follower.clone().next_fetch(now + 4_900).is_none()
            && follower.clone().next_fetch(now + 5_000).is_some()
    );
    // An invalid jitter counts as the longest; a repeated notice does not end the backoff, and a newer one
    // does.
    for jitter in [f64::INFINITY, f64::NAN, -1.0] {
        follower.fetch_failed(now, jitter);
        follower.on_notification(1);
        assert!(
            follower.clone().next_fetch(now + 9_900).is_none()
                && follower.clone().next_fetch(now + 10_000).is_some()
        );
    }
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(now).map(|request| request.wanted_version), Some(2));
}

/// Guards against a change that is applied in part, and against entries of different versions that are combined.
#[test]
fn an_incomplete_reply_is_not_used_and_all_entries_are_fetched() {
    let mut register = Register::default();
    change(&mut register, parse_scope("all"), "c = 1");
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    follow(&mut follower, &register);
    change(&mut register, parse_scope("service/cart"), "c = 2");
    change(&mut register, parse_scope("balancer/b0"), "c = 3");
    follower.on_notification(3);
    let request = follower.next_fetch(0).expect("a request");
    let FetchReply::Entries { version, bundle_hash, entries } = register.fetch(&request) else {
        panic!("the register is not behind")
    };
    let reply =
        |entries: Vec<ScopeEntry>| FetchReply::Entries { version, bundle_hash: bundle_hash.clone(), entries };
    let mut damaged = entries.clone();
    damaged[1].content = "c = 4".to_owned();
    let mut of_another = entries.clone();
    of_another[1].scope = parse_scope("balancer/b1");
    let mut older = entries.clone();
    older[0].version = 1;
    let refused = [
        reply(vec![]),
        reply(entries[1..].to_vec()),
        reply(entries[..1].to_vec()),
        reply(damaged),
        reply(of_another),
        reply(older),
        FetchReply::Entries { version: 4, bundle_hash: bundle_hash.clone(), entries: entries.clone() },
        FetchReply::Entries { version, bundle_hash: String::new(), entries: entries.clone() },
    ];
    for reply in refused {
        let mut follower = follower.clone();
        assert_eq!(follower.on_reply(reply.clone()), Err(FetchError::Corrupt), "{reply:?}");
        follower.fetch_failed(0, 0.0);
        assert_eq!(contents(&follower), ["c = 1"]);
        let retry = follower.next_fetch(1_000).expect("a retry");
        assert_eq!((retry.known_version, retry.wanted_version), (0, 3));
        let snapshot = follower.on_reply(register.fetch(&retry)).expect("the reply is complete");
        follower.activate(snapshot);
        assert_eq!(contents(&follower), ["c = 1", "c = 2", "c = 3"]);
    }
}

/// Guards against a start with a stored copy that is damaged, or that is for another target.
#[test]
fn a_stored_copy_is_used_only_if_it_is_complete_and_for_the_same_target() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    change(&mut register, parse_scope("service/search"), "c = 1");
    change(&mut register, parse_scope("service/cart"), "c = 2");
    change(&mut register, parse_scope("all"), "c = 3");
    follow(&mut follower, &register);
    let stored = serde_json::to_string(follower.active()).expect("a copy");
    let read = |text: &str| serde_json::from_str::<ConfigurationSnapshot>(text).ok();
    let restarted = ConfigurationFollower::new(cart_balancer(), read(&stored));
    assert_eq!((restarted.report().active, contents(&restarted)), (3, vec!["c = 3", "c = 2"]));
    let damaged = [
        stored.replace("c = 2", "c = 4"),
        stored.replacen("\"version\":3", "\"version\":4", 1),
        stored.replace("\"version\":2", "\"version\":1"),
        stored.replacen("cart", "search", 1),
        stored.replace("\"all\":", "\"balancer/b0\":"),
        stored.replace("\"service/cart\":", "\"service/wish\":"),
        stored.replacen("\"name\":\"b0\"", "\"name\":\"b1\"", 1),
    ];
    for text in damaged {
        assert_ne!(text, stored);
        let copy = read(&text).expect("valid JSON");
        assert!(!copy.matches(&cart_balancer()), "{text}");
        assert_eq!(ConfigurationFollower::new(cart_balancer(), Some(copy)).report().active, 0);
    }
    // An entry other than the newest is missing, which the version does not show.
    let mut json: serde_json::Value = serde_json::from_str(&stored).expect("JSON");
    json["parts"].as_object_mut().expect("the stored parts").remove("service/cart");
    assert!(!serde_json::from_value::<ConfigurationSnapshot>(json).expect("valid JSON").is_sound());
    assert_eq!(read(&stored[..stored.len() / 2]), None);
    // After a move to another service version 3 concerns the balancer too, and so does an older entry that it has never
    // fetched.
    let search_balancer = Target { service: "search".to_owned(), ..cart_balancer() };
    let mut moved = ConfigurationFollower::new(search_balancer.clone(), read(&stored));
    assert_eq!((moved.report().active, register.version_for(&search_balancer)), (0, 3));
    moved.on_notification(3);
    let request = moved.next_fetch(0).expect("a request");
    assert_eq!(request.known_version, 0);
    let snapshot = moved.on_reply(register.fetch(&request)).expect("the reply is complete");
    moved.activate(snapshot);
    assert_eq!(contents(&moved), ["c = 3", "c = 1"]);
}

/// Guards against reused versions and mixed entries after the disks of all coordinators were lost and the register was
/// created anew, while a balancer still has entries of the former register active.
#[test]
fn a_new_register_continues_the_versions_and_its_entries_replace_all_former_ones() {
    let mut old = Register::default();
    let mut follower = ConfigurationFollower::new(cart_balancer(), None);
    for n in 1..=4 {
        change(&mut old, parse_scope("service/cart"), &format!("c = {n}"));
    }
    follow(&mut follower, &old);
    // The balancer was notified of a fifth version, which is lost.
    follower.on_notification(5);
    let mut new = Register::default();
    let (ledger, mut leader) = ledger_and_leader();
    leader
        .on_heartbeat(10, &heartbeat(1, Some(follower.report())), &ledger)
        .expect("the heartbeat is accepted");
    let rollouts = leader.configuration_states(10, &ledger, &new);
    assert_eq!((rollouts[0].state, leader.highest_reported_version()), (RolloutState::Ahead, 4));
    let reply = leader.reply(&heartbeat(1, Some(follower.report())), &ledger, &new).expect("a reply");
    follower.on_notification(reply.configuration.expect("the reply names another version"));
    assert_eq!(follower.next_fetch(0), None, "a lost version is not fetched");
    assert_eq!(contents(&follower), ["c = 4"]);
    let first = ConfigurationPut {
        min_version_exclusive: leader.highest_reported_version(),
        ..put(parse_scope("all"), 0, "c = 9")
    };
    assert_eq!(new.apply(&first), Ok(5));
    follower.on_notification(5);
    assert_eq!(fetch(&mut follower, &new), Err(FetchError::Corrupt));
    follower.fetch_failed(0, 0.0);
    let snapshot = fetch(&mut follower, &new).expect("all entries form one bundle");
    follower.activate(snapshot);
    assert_eq!((contents(&follower), follower.report().active), (vec!["c = 9"], 5));
}
