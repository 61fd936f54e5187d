//! A balancer's side of configuration: what it asks for, what it takes, and what it goes by.

mod configuration_world;

use configuration_world::parts::{beat, change, contents, fetch, follow, here, led, of, put, report};
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot, FetchError};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::rollout::RolloutState;
use fernroute_fleet::configuration::{
    ConfigurationReport, FetchReply, FetchRequest, ScopeEntry, Target, MAX_REASON_CHARS,
};

#[test]
fn parts_are_laid_from_the_widest_to_the_narrowest_and_an_emptied_one_says_nothing() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    assert_eq!((follower.next_fetch(0), follower.report().active), (None, 0));
    for text in ["balancer/b0", "service/cart", "all"] {
        change(&mut register, of(text), &format!("c = \"{text}\""));
    }
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"service/cart\"", "c = \"balancer/b0\""]);
    change(&mut register, of("service/cart"), "");
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"balancer/b0\""]);
    assert_eq!(follower.report(), ConfigurationReport { active: 4, ..report(0) });
    // All emptied: its own file alone, and still the latest version.
    change(&mut register, of("all"), "");
    change(&mut register, of("balancer/b0"), "");
    follow(&mut follower, &register);
    assert_eq!((contents(&follower).len(), follower.report().active), (0, 6));
}

/// Guards against an older version over a newer one, whoever brings it and however late.
#[test]
fn an_older_word_and_an_older_answer_change_nothing() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    let old = register.clone();
    change(&mut register, of("all"), "c = 2");
    follow(&mut follower, &register);
    // A leader of before, and a late answer.
    follower.on_notification(1);
    assert_eq!(follower.next_fetch(0), None);
    assert_eq!(
        follower.on_reply(old.fetch(&FetchRequest { target: here(), known_version: 0, wanted_version: 1 })),
        Err(FetchError::Unsolicited)
    );
    // A question is out for the fourth, and a steward that lags answers, or what was asked before.
    change(&mut register, of("all"), "c = 3");
    let between = register.clone();
    change(&mut register, of("all"), "c = 4");
    follower.on_notification(4);
    assert_eq!(follower.next_fetch(0).map(|asked| (asked.known_version, asked.wanted_version)), Some((2, 4)));
    assert_eq!(follower.on_reply(FetchReply::Behind), Err(FetchError::Behind));
    let all = FetchRequest { target: here(), known_version: 0, wanted_version: 1 };
    assert_eq!(follower.on_reply(old.fetch(&all)), Err(FetchError::Older));
    assert_eq!(follower.on_reply(between.fetch(&all)), Err(FetchError::Behind));
    follower.activate(follower.active().clone());
    // What is handed to it as applied, too.
    let mut behind = ConfigurationFollower::new(here(), None);
    follow(&mut behind, &old);
    follower.activate(behind.active().clone());
    assert_eq!((contents(&follower), follower.report().active), (vec!["c = 2"], 2));
    // An overtaken word of the leader in between is put right by the next.
    follower.on_notification(3);
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(0), None);
    follower.on_notification(3);
    assert!(follower.next_fetch(0).is_some());
}

#[test]
fn what_is_entered_while_it_fetches_is_asked_for_next() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    follower.on_notification(1);
    let asked = follower.next_fetch(0).expect("it asks");
    let answer = register.fetch(&asked);
    change(&mut register, of("all"), "c = 2");
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(0), None);
    let snapshot = follower.on_reply(answer).expect("it is newer than what is in force");
    assert_eq!(follower.report().active, 0, "nothing is in force before it is applied");
    follower.activate(snapshot);
    assert_eq!(follower.next_fetch(0).map(|asked| (asked.known_version, asked.wanted_version)), Some((1, 2)));
    // The answer may bring more than it was told of.
    change(&mut register, of("balancer/b0"), "c = 3");
    let answer = register.fetch(&FetchRequest { target: here(), known_version: 1, wanted_version: 2 });
    let snapshot = follower.on_reply(answer).expect("it is taken");
    follower.activate(snapshot);
    assert_eq!((follower.report().active, follower.next_fetch(0)), (3, None));
}

#[test]
fn what_was_refused_is_not_asked_for_again_until_there_is_a_newer_one_or_another_file() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    follow(&mut follower, &register);
    change(&mut register, of("all"), "bad");
    follower.on_notification(2);
    let refused = fetch(&mut follower, &register).expect("it is whole").version;
    follower.reject(refused, &format!("no\nsuch key {}", "x".repeat(500)));
    let (version, why) = follower.report().rejected.expect("it says so");
    assert_eq!((version, why.chars().count(), why.contains('\n')), (2, MAX_REASON_CHARS, false));
    follower.on_notification(2);
    assert_eq!((follower.next_fetch(0), contents(&follower)), (None, vec!["c = 1"]));
    // What is refused later and is older says nothing of that.
    follower.reject(1, "late");
    assert_eq!(follower.report().rejected.map(|(version, _)| version), Some(2));
    // The balancer's own file was mended.
    follower.retry_rejected();
    assert_eq!(follower.report().rejected, None);
    let snapshot = fetch(&mut follower, &register).expect("it is whole");
    follower.reject(snapshot.version, "still not");
    change(&mut register, of("all"), "c = 3");
    follow(&mut follower, &register);
    assert_eq!(
        (contents(&follower), follower.report()),
        (vec!["c = 3"], ConfigurationReport { active: 3, ..report(0) })
    );
}

/// Guards against balancers that ask together, and again together.
#[test]
fn pauses_are_spread_grow_to_a_second_and_end_with_news() {
    let mut follower = ConfigurationFollower::new(here(), None);
    follower.on_notification(1);
    let mut now = 1_000_000;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(follower.next_fetch(now).is_some());
        follower.fetch_failed(now, 1.0);
        let pause = (0..).step_by(100).find(|pause| follower.clone().next_fetch(now + pause).is_some());
        pauses.push(pause.expect("it asks again"));
        now += pauses[pauses.len() - 1];
    }
    assert_eq!(pauses, [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert!(follower.next_fetch(now).is_some());
    follower.fetch_failed(now, 0.0);
    assert!(
        follower.clone().next_fetch(now + 4_900).is_none()
            && follower.clone().next_fetch(now + 5_000).is_some()
    );
    // A draw that is none; and the same word again is no news, but a newer one is.
    for chance in [f64::INFINITY, f64::NAN, -1.0] {
        follower.fetch_failed(now, chance);
        follower.on_notification(1);
        assert!(
            follower.clone().next_fetch(now + 9_900).is_none()
                && follower.clone().next_fetch(now + 10_000).is_some()
        );
    }
    follower.on_notification(2);
    assert_eq!(follower.next_fetch(now).map(|asked| asked.wanted_version), Some(2));
}

/// Guards against half of a change, and against parts that do not belong together.
#[test]
fn an_answer_that_is_no_whole_is_not_taken_and_all_is_asked_for() {
    let mut register = Register::default();
    change(&mut register, of("all"), "c = 1");
    let mut follower = ConfigurationFollower::new(here(), None);
    follow(&mut follower, &register);
    change(&mut register, of("service/cart"), "c = 2");
    change(&mut register, of("balancer/b0"), "c = 3");
    follower.on_notification(3);
    let asked = follower.next_fetch(0).expect("it asks");
    let FetchReply::Entries { version, bundle_hash, entries: parts } = register.fetch(&asked) else {
        panic!("it knows it")
    };
    let with = |parts: Vec<ScopeEntry>| FetchReply::Entries {
        version,
        bundle_hash: bundle_hash.clone(),
        entries: parts,
    };
    let mut spoilt = parts.clone();
    spoilt[1].content = "c = 4".to_owned();
    let mut other = parts.clone();
    other[1].scope = of("balancer/b1");
    let mut older = parts.clone();
    older[0].version = 1;
    let bad = [
        with(vec![]),
        with(parts[1..].to_vec()),
        with(parts[..1].to_vec()),
        with(spoilt),
        with(other),
        with(older),
        FetchReply::Entries { version: 4, bundle_hash: bundle_hash.clone(), entries: parts.clone() },
        FetchReply::Entries { version, bundle_hash: String::new(), entries: parts.clone() },
    ];
    for answer in bad {
        let mut follower = follower.clone();
        assert_eq!(follower.on_reply(answer.clone()), Err(FetchError::Corrupt), "{answer:?}");
        follower.fetch_failed(0, 0.0);
        assert_eq!(contents(&follower), ["c = 1"]);
        let again = follower.next_fetch(1_000).expect("it asks again");
        assert_eq!((again.known_version, again.wanted_version), (0, 3));
        let snapshot = follower.on_reply(register.fetch(&again)).expect("it is whole");
        follower.activate(snapshot);
        assert_eq!(contents(&follower), ["c = 1", "c = 2", "c = 3"]);
    }
}

/// Guards against a start by a copy that the disk spoilt, or that is of a balancer that stood elsewhere.
#[test]
fn a_kept_copy_is_taken_whole_and_where_it_was_kept_or_not_at_all() {
    let mut register = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    change(&mut register, of("service/search"), "c = 1");
    change(&mut register, of("service/cart"), "c = 2");
    change(&mut register, of("all"), "c = 3");
    follow(&mut follower, &register);
    let kept = serde_json::to_string(follower.active()).expect("a copy");
    let read = |text: &str| serde_json::from_str::<ConfigurationSnapshot>(text).ok();
    let again = ConfigurationFollower::new(here(), read(&kept));
    assert_eq!((again.report().active, contents(&again)), (3, vec!["c = 3", "c = 2"]));
    let damaged = [
        kept.replace("c = 2", "c = 4"),
        kept.replacen("\"version\":3", "\"version\":4", 1),
        kept.replace("\"version\":2", "\"version\":1"),
        kept.replacen("cart", "search", 1),
        kept.replace("\"all\":", "\"balancer/b0\":"),
        kept.replace("\"service/cart\":", "\"service/wish\":"),
        kept.replacen("\"name\":\"b0\"", "\"name\":\"b1\"", 1),
    ];
    for text in damaged {
        assert_ne!(text, kept);
        let copy = read(&text).expect("it can be read");
        assert!(!copy.matches(&here()), "{text}");
        assert_eq!(ConfigurationFollower::new(here(), Some(copy)).report().active, 0);
    }
    // A part is missing, and the version does not tell: it was not the newest.
    let mut json: serde_json::Value = serde_json::from_str(&kept).expect("JSON");
    json["parts"].as_object_mut().expect("parts").remove("service/cart");
    assert!(!serde_json::from_value::<ConfigurationSnapshot>(json).expect("it can be read").is_sound());
    assert_eq!(read(&kept[..kept.len() / 2]), None);
    // Another service now: version 3 concerns it too, and the part that it never saw is older.
    let there = Target { service: "search".to_owned(), ..here() };
    let mut moved = ConfigurationFollower::new(there.clone(), read(&kept));
    assert_eq!((moved.report().active, register.version_for(&there)), (0, 3));
    moved.on_notification(3);
    let asked = moved.next_fetch(0).expect("it asks");
    assert_eq!(asked.known_version, 0);
    let snapshot = moved.on_reply(register.fetch(&asked)).expect("it is whole");
    moved.activate(snapshot);
    assert_eq!(contents(&moved), ["c = 3", "c = 1"]);
}

/// All stewards' disks are lost, and a register begins anew; a balancer still goes by the one before.
#[test]
fn a_register_that_was_begun_anew_counts_on_and_nothing_of_the_old_one_stays_beside_the_new() {
    let mut old = Register::default();
    let mut follower = ConfigurationFollower::new(here(), None);
    for n in 1..=4 {
        change(&mut old, of("service/cart"), &format!("c = {n}"));
    }
    follow(&mut follower, &old);
    // It heard of a fifth, which nobody has any more.
    follower.on_notification(5);
    let mut new = Register::default();
    let (ledger, mut leader) = led();
    leader.on_heartbeat(10, &beat(1, Some(follower.report())), &ledger).expect("a beat");
    let stands = leader.configuration_states(10, &ledger, &new);
    assert_eq!((stands[0].state, leader.highest_reported_version()), (RolloutState::Ahead, 4));
    let answer = leader.reply(&beat(1, Some(follower.report())), &ledger, &new).expect("it is answered");
    follower.on_notification(answer.configuration.expect("it reports another one"));
    assert_eq!(follower.next_fetch(0), None, "what nobody has is not asked for");
    assert_eq!(contents(&follower), ["c = 4"]);
    let first = ConfigurationPut {
        min_version_exclusive: leader.highest_reported_version(),
        ..put(of("all"), 0, "c = 9")
    };
    assert_eq!(new.apply(&first), Ok(5));
    follower.on_notification(5);
    assert_eq!(fetch(&mut follower, &new), Err(FetchError::Corrupt));
    follower.fetch_failed(0, 0.0);
    let snapshot = fetch(&mut follower, &new).expect("all of it is whole");
    follower.activate(snapshot);
    assert_eq!((contents(&follower), follower.report().active), (vec!["c = 9"], 5));
}
