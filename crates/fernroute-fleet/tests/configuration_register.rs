//! The register of configuration: what it takes, what it refuses, and whom an entry concerns.

mod configuration_world;

use configuration_world::parts::{change, here, of, put};
use fernroute_fleet::configuration::register::{ConfigurationPut, PutError, Register};
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, Target, Version, MAX_CONTENT_BYTES,
};

/// Guards against a name that breaks a line of a log or a table, and against one that can't be read again.
#[test]
fn a_scope_is_one_of_four_with_names_that_a_line_takes() {
    for text in ["all", "service/cart", "service/cart/zone/east", "balancer/b0", "balancer/über b"] {
        let scope = of(text);
        assert_eq!(scope.to_string(), text);
        let json = serde_json::to_string(&scope).expect("a scope");
        assert_eq!(serde_json::from_str::<Scope>(&json).expect("a scope"), scope);
    }
    let long = format!("service/{}", "s".repeat(65));
    for text in [
        "",
        "every",
        "all/x",
        "service",
        "service/",
        "service/cart/zone",
        "service/cart/zone/",
        "service//zone/east",
        "service/cart/zone/east/x",
        "balancer/a\nb",
        "balancer/ b0",
        "balancer/\u{7f}",
        long.as_str(),
    ] {
        let why = text.parse::<Scope>().expect_err(text).to_string();
        assert!(!why.contains('\n'), "{why}");
    }
}

#[test]
fn what_is_entered_is_whole_from_the_latest_and_named() {
    let mut register = Register::default();
    let good = put(of("service/cart"), 0, "c = 1");
    assert_eq!(register.apply(&good), Ok(1));
    let before = register.clone();
    let long = "#".repeat(MAX_CONTENT_BYTES + 1);
    let bad = [
        // Two operators at once: the second did not start from the latest.
        (good.clone(), PutError::OutOfDate(1)),
        (put(of("service/cart"), 2, "c = 2"), PutError::OutOfDate(1)),
        (put(of("all"), 1, "c = 2"), PutError::OutOfDate(0)),
        (
            ConfigurationPut { content_hash: content_hash("c = 3"), ..put(of("all"), 0, "c = 2") },
            PutError::HashMismatch,
        ),
        (put(of("all"), 0, &long), PutError::TooLong),
        (ConfigurationPut { author: String::new(), ..put(of("all"), 0, "") }, PutError::InvalidName),
        (ConfigurationPut { author: " ".to_owned(), ..put(of("all"), 0, "") }, PutError::InvalidName),
        (
            ConfigurationPut { author: "a\u{1b}[2J".to_owned(), ..put(of("all"), 0, "") },
            PutError::InvalidName,
        ),
        (ConfigurationPut { author: "a".repeat(65), ..put(of("all"), 0, "") }, PutError::InvalidName),
        // Made by hand, and never read from text.
        (put(Scope::Service("cart/zone/east".to_owned()), 0, ""), PutError::InvalidName),
        (put(Scope::Zone { service: "cart".to_owned(), zone: String::new() }, 0, ""), PutError::InvalidName),
    ];
    for (put, why) in bad {
        assert_eq!(register.apply(&put), Err(why));
        assert_eq!(register, before);
    }
    // The same content again is another version: who said it, and when, is another matter.
    assert_eq!(register.apply(&put(of("service/cart"), 1, "c = 1")), Ok(2));
    assert_eq!(register.apply(&put(of("service/cart"), 2, "")), Ok(3));
    let lines: Vec<(Version, usize)> = register.history().map(|line| (line.version, line.bytes)).collect();
    assert_eq!(lines, [(1, 5), (2, 5), (3, 0)]);
    // It is kept as JSON beside the ledger.
    let kept = serde_json::to_string(&register).expect("a register");
    assert_eq!(serde_json::from_str::<Register>(&kept).expect("a register"), register);
}

/// Guards against a state that grows without end, and against one that can't be sent to a steward that comes back.
#[test]
fn history_contents_and_scopes_are_bounded() {
    let mut register = Register::default();
    for n in 0..4_100 {
        change(&mut register, of("all"), &format!("c = {n}"));
    }
    assert_eq!(register.history().count(), 4_000);
    assert_eq!((register.history().next().map(|line| line.version), register.version()), (Some(101), 4_100));
    let long = "#".repeat(MAX_CONTENT_BYTES);
    let mut full = None;
    for n in 0..300 {
        let next = put(of(&format!("balancer/b{n}")), 0, &long);
        if let Err(why) = register.apply(&next) {
            full = Some((n, why));
            break;
        }
    }
    // 16 MiB less what the first scope says.
    assert_eq!(full, Some((255, PutError::LimitReached)));
    // Room is made by saying nothing, or less.
    change(&mut register, of("balancer/b7"), "");
    change(&mut register, of("balancer/b255"), &long);
    let mut register = Register::default();
    for n in 0..10_000 {
        change(&mut register, of(&format!("balancer/b{n}")), "");
    }
    assert_eq!(register.apply(&put(of("all"), 0, "")), Err(PutError::LimitReached));
    change(&mut register, of("balancer/b3"), "c = 1");
}

/// Guards against numbers that are given twice: by a register that was begun anew, or in another region.
#[test]
fn a_version_is_above_what_was_reported_and_never_at_the_end_of_all_numbers() {
    let mut register = Register::default();
    let above =
        |above, base| ConfigurationPut { min_version_exclusive: above, ..put(of("all"), base, "c = 1") };
    assert_eq!(register.apply(&above(41, 0)), Ok(42));
    assert_eq!(register.apply(&above(3, 42)), Ok(43));
    // A member that reports whatever comes to its mind.
    assert_eq!(register.apply(&above(Version::MAX, 43)), Ok(1_000_044));
    // An entry of before this was known.
    let mut json = serde_json::to_value(above(0, 1_000_044)).expect("a put");
    json.as_object_mut().expect("an object").remove("above");
    let older: ConfigurationPut = serde_json::from_value(json).expect("a put");
    assert_eq!(register.apply(&older), Ok(1_000_045));
}

#[test]
fn a_balancer_is_concerned_by_four_scopes_and_gets_what_it_lacks() {
    let mut register = Register::default();
    for text in
        ["balancer/b0", "service/cart/zone/east", "service/cart", "all", "service/search", "balancer/b1"]
    {
        change(&mut register, of(text), &format!("c = \"{text}\""));
    }
    assert_eq!((register.version(), register.version_for(&here())), (6, 4));
    let ask = |have, want| {
        register.fetch(&FetchRequest { target: here(), known_version: have, wanted_version: want })
    };
    let FetchReply::Entries { version, entries: parts, .. } = ask(0, 4) else { panic!("it knows it") };
    let scopes: Vec<String> = parts.iter().map(|part| part.scope.to_string()).collect();
    assert_eq!(version, 4);
    assert_eq!(scopes, ["all", "service/cart", "service/cart/zone/east", "balancer/b0"]);
    let FetchReply::Entries { entries: parts, .. } = ask(2, 4) else { panic!("it knows it") };
    assert_eq!(parts.iter().map(|part| part.version).collect::<Vec<_>>(), [4, 3]);
    assert_eq!(ask(2, 7), FetchReply::Behind);
    // Without a zone: no scope is of it.
    let nowhere = Target { zone: String::new(), ..here() };
    assert_eq!(register.version_for(&nowhere), 4);
}
