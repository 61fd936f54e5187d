//! A balancer's side of configuration: what it asks for, what it takes, and what it goes by.

mod configuration_world;

use configuration_world::parts::{beat, change, contents, fetch, follow, here, led, of, put, report};
use fernroute_fleet::configuration::follower::{Follower, NotTaken, Snapshot};
use fernroute_fleet::configuration::register::{Put, Register};
use fernroute_fleet::configuration::standing::Standing;
use fernroute_fleet::configuration::{Fetch, Fetched, Part, Place, Report, MOST_REASON};

#[test]
fn parts_are_laid_from_the_widest_to_the_narrowest_and_an_emptied_one_says_nothing() {
    let mut register = Register::default();
    let mut follower = Follower::new(here(), None);
    assert_eq!((follower.due(0), follower.report().in_force), (None, 0));
    for text in ["balancer/b0", "service/cart", "all"] {
        change(&mut register, of(text), &format!("c = \"{text}\""));
    }
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"service/cart\"", "c = \"balancer/b0\""]);
    change(&mut register, of("service/cart"), "");
    follow(&mut follower, &register);
    assert_eq!(contents(&follower), ["c = \"all\"", "c = \"balancer/b0\""]);
    assert_eq!(follower.report(), Report { in_force: 4, ..report(0) });
    // All emptied: its own file alone, and still the latest version.
    change(&mut register, of("all"), "");
    change(&mut register, of("balancer/b0"), "");
    follow(&mut follower, &register);
    assert_eq!((contents(&follower).len(), follower.report().in_force), (0, 6));
}

/// Guards against an older version over a newer one, whoever brings it and however late.
#[test]
fn an_older_word_and_an_older_answer_change_nothing() {
    let mut register = Register::default();
    let mut follower = Follower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    let old = register.clone();
    change(&mut register, of("all"), "c = 2");
    follow(&mut follower, &register);
    // A leader of before, and a late answer.
    follower.hear(1);
    assert_eq!(follower.due(0), None);
    assert_eq!(
        follower.fetched(old.fetch(&Fetch { place: here(), have: 0, want: 1 })),
        Err(NotTaken::Unasked)
    );
    // A question is out for the fourth, and a steward that lags answers, or what was asked before.
    change(&mut register, of("all"), "c = 3");
    let between = register.clone();
    change(&mut register, of("all"), "c = 4");
    follower.hear(4);
    assert_eq!(follower.due(0).map(|asked| (asked.have, asked.want)), Some((2, 4)));
    assert_eq!(follower.fetched(Fetched::Behind), Err(NotTaken::Behind));
    let all = Fetch { place: here(), have: 0, want: 1 };
    assert_eq!(follower.fetched(old.fetch(&all)), Err(NotTaken::Older));
    assert_eq!(follower.fetched(between.fetch(&all)), Err(NotTaken::Behind));
    follower.applied(follower.in_force().clone());
    // What is handed to it as applied, too.
    let mut behind = Follower::new(here(), None);
    follow(&mut behind, &old);
    follower.applied(behind.in_force().clone());
    assert_eq!((contents(&follower), follower.report().in_force), (vec!["c = 2"], 2));
    // An overtaken word of the leader in between is put right by the next.
    follower.hear(3);
    follower.hear(2);
    assert_eq!(follower.due(0), None);
    follower.hear(3);
    assert!(follower.due(0).is_some());
}

#[test]
fn what_is_entered_while_it_fetches_is_asked_for_next() {
    let mut register = Register::default();
    let mut follower = Follower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    follower.hear(1);
    let asked = follower.due(0).expect("it asks");
    let answer = register.fetch(&asked);
    change(&mut register, of("all"), "c = 2");
    follower.hear(2);
    assert_eq!(follower.due(0), None);
    let snapshot = follower.fetched(answer).expect("it is newer than what is in force");
    assert_eq!(follower.report().in_force, 0, "nothing is in force before it is applied");
    follower.applied(snapshot);
    assert_eq!(follower.due(0).map(|asked| (asked.have, asked.want)), Some((1, 2)));
    // The answer may bring more than it was told of.
    change(&mut register, of("balancer/b0"), "c = 3");
    let answer = register.fetch(&Fetch { place: here(), have: 1, want: 2 });
    let snapshot = follower.fetched(answer).expect("it is taken");
    follower.applied(snapshot);
    assert_eq!((follower.report().in_force, follower.due(0)), (3, None));
}

#[test]
fn what_was_refused_is_not_asked_for_again_until_there_is_a_newer_one_or_another_file() {
    let mut register = Register::default();
    let mut follower = Follower::new(here(), None);
    change(&mut register, of("all"), "c = 1");
    follow(&mut follower, &register);
    change(&mut register, of("all"), "bad");
    follower.hear(2);
    let refused = fetch(&mut follower, &register).expect("it is whole").version;
    follower.refuse(refused, &format!("no\nsuch key {}", "x".repeat(500)));
    let (version, why) = follower.report().refused.expect("it says so");
    assert_eq!((version, why.chars().count(), why.contains('\n')), (2, MOST_REASON, false));
    follower.hear(2);
    assert_eq!((follower.due(0), contents(&follower)), (None, vec!["c = 1"]));
    // What is refused later and is older says nothing of that.
    follower.refuse(1, "late");
    assert_eq!(follower.report().refused.map(|(version, _)| version), Some(2));
    // The balancer's own file was mended.
    follower.retry();
    assert_eq!(follower.report().refused, None);
    let snapshot = fetch(&mut follower, &register).expect("it is whole");
    follower.refuse(snapshot.version, "still not");
    change(&mut register, of("all"), "c = 3");
    follow(&mut follower, &register);
    assert_eq!(
        (contents(&follower), follower.report()),
        (vec!["c = 3"], Report { in_force: 3, ..report(0) })
    );
}

/// Guards against balancers that ask together, and again together.
#[test]
fn pauses_are_spread_grow_to_a_second_and_end_with_news() {
    let mut follower = Follower::new(here(), None);
    follower.hear(1);
    let mut now = 1_000_000;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(follower.due(now).is_some());
        follower.failed(now, 1.0);
        let pause = (0..).step_by(100).find(|pause| follower.clone().due(now + pause).is_some());
        pauses.push(pause.expect("it asks again"));
        now += pauses[pauses.len() - 1];
    }
    assert_eq!(pauses, [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert!(follower.due(now).is_some());
    follower.failed(now, 0.0);
    assert!(follower.clone().due(now + 4_900).is_none() && follower.clone().due(now + 5_000).is_some());
    // A draw that is none; and the same word again is no news, but a newer one is.
    for chance in [f64::INFINITY, f64::NAN, -1.0] {
        follower.failed(now, chance);
        follower.hear(1);
        assert!(follower.clone().due(now + 9_900).is_none() && follower.clone().due(now + 10_000).is_some());
    }
    follower.hear(2);
    assert_eq!(follower.due(now).map(|asked| asked.want), Some(2));
}

/// Guards against half of a change, and against parts that do not belong together.
#[test]
fn an_answer_that_is_no_whole_is_not_taken_and_all_is_asked_for() {
    let mut register = Register::default();
    change(&mut register, of("all"), "c = 1");
    let mut follower = Follower::new(here(), None);
    follow(&mut follower, &register);
    change(&mut register, of("service/cart"), "c = 2");
    change(&mut register, of("balancer/b0"), "c = 3");
    follower.hear(3);
    let asked = follower.due(0).expect("it asks");
    let Fetched::Parts { version, whole, parts } = register.fetch(&asked) else { panic!("it knows it") };
    let with = |parts: Vec<Part>| Fetched::Parts { version, whole: whole.clone(), parts };
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
        Fetched::Parts { version: 4, whole: whole.clone(), parts: parts.clone() },
        Fetched::Parts { version, whole: String::new(), parts: parts.clone() },
    ];
    for answer in bad {
        let mut follower = follower.clone();
        assert_eq!(follower.fetched(answer.clone()), Err(NotTaken::Spoilt), "{answer:?}");
        follower.failed(0, 0.0);
        assert_eq!(contents(&follower), ["c = 1"]);
        let again = follower.due(1_000).expect("it asks again");
        assert_eq!((again.have, again.want), (0, 3));
        let snapshot = follower.fetched(register.fetch(&again)).expect("it is whole");
        follower.applied(snapshot);
        assert_eq!(contents(&follower), ["c = 1", "c = 2", "c = 3"]);
    }
}

/// Guards against a start by a copy that the disk spoilt, or that is of a balancer that stood elsewhere.
#[test]
fn a_kept_copy_is_taken_whole_and_where_it_was_kept_or_not_at_all() {
    let mut register = Register::default();
    let mut follower = Follower::new(here(), None);
    change(&mut register, of("service/search"), "c = 1");
    change(&mut register, of("service/cart"), "c = 2");
    change(&mut register, of("all"), "c = 3");
    follow(&mut follower, &register);
    let kept = serde_json::to_string(follower.in_force()).expect("a copy");
    let read = |text: &str| serde_json::from_str::<Snapshot>(text).ok();
    let again = Follower::new(here(), read(&kept));
    assert_eq!((again.report().in_force, contents(&again)), (3, vec!["c = 3", "c = 2"]));
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
        assert!(!copy.is_for(&here()), "{text}");
        assert_eq!(Follower::new(here(), Some(copy)).report().in_force, 0);
    }
    // A part is missing, and the version does not tell: it was not the newest.
    let mut json: serde_json::Value = serde_json::from_str(&kept).expect("JSON");
    json["parts"].as_object_mut().expect("parts").remove("service/cart");
    assert!(!serde_json::from_value::<Snapshot>(json).expect("it can be read").is_sound());
    assert_eq!(read(&kept[..kept.len() / 2]), None);
    // Another service now: version 3 concerns it too, and the part that it never saw is older.
    let there = Place { service: "search".to_owned(), ..here() };
    let mut moved = Follower::new(there.clone(), read(&kept));
    assert_eq!((moved.report().in_force, register.concerns(&there)), (0, 3));
    moved.hear(3);
    let asked = moved.due(0).expect("it asks");
    assert_eq!(asked.have, 0);
    let snapshot = moved.fetched(register.fetch(&asked)).expect("it is whole");
    moved.applied(snapshot);
    assert_eq!(contents(&moved), ["c = 3", "c = 1"]);
}

/// All stewards' disks are lost, and a register begins anew; a balancer still goes by the one before.
#[test]
fn a_register_that_was_begun_anew_counts_on_and_nothing_of_the_old_one_stays_beside_the_new() {
    let mut old = Register::default();
    let mut follower = Follower::new(here(), None);
    for n in 1..=4 {
        change(&mut old, of("service/cart"), &format!("c = {n}"));
    }
    follow(&mut follower, &old);
    // It heard of a fifth, which nobody has any more.
    follower.hear(5);
    let mut new = Register::default();
    let (ledger, mut leader) = led();
    leader.hear(10, &beat(1, Some(follower.report())), &ledger).expect("a beat");
    let stands = leader.standings(10, &ledger, &new);
    assert_eq!((stands[0].standing, leader.reported()), (Standing::Ahead, 4));
    let answer = leader.answer(&beat(1, Some(follower.report())), &ledger, &new).expect("it is answered");
    follower.hear(answer.configuration.expect("it reports another one"));
    assert_eq!(follower.due(0), None, "what nobody has is not asked for");
    assert_eq!(contents(&follower), ["c = 4"]);
    let first = Put { above: leader.reported(), ..put(of("all"), 0, "c = 9") };
    assert_eq!(new.apply(&first), Ok(5));
    follower.hear(5);
    assert_eq!(fetch(&mut follower, &new), Err(NotTaken::Spoilt));
    follower.failed(0, 0.0);
    let snapshot = fetch(&mut follower, &new).expect("all of it is whole");
    follower.applied(snapshot);
    assert_eq!((contents(&follower), follower.report().in_force), (vec!["c = 9"], 5));
}
