//! The configuration register: which changes it applies or refuses, and which balancers an entry concerns.

mod configuration_simulation;

use configuration_simulation::fixtures::{cart_balancer, change, parse_scope, put};
use fernroute_fleet::configuration::register::{ConfigurationPut, PutError, Register};
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, Target, Version, MAX_CONTENT_BYTES,
};

/// Guards against a name that breaks a log line or a table, and against one that cannot be read again.
#[test]
fn a_scope_has_one_of_four_forms_and_names_that_fit_a_line() {
    for text in ["all", "service/cart", "service/cart/zone/east", "balancer/b0", "balancer/über b"] {
        let scope = parse_scope(text);
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
        let error = text.parse::<Scope>().expect_err(text).to_string();
        assert!(!error.contains('\n'), "{error}");
    }
}

#[test]
fn a_change_starts_from_the_latest_version_and_has_a_valid_hash_and_author() {
    let mut register = Register::default();
    let first = put(parse_scope("service/cart"), 0, "c = 1");
    assert_eq!(register.apply(&first), Ok(1));
    let before = register.clone();
    let long = "#".repeat(MAX_CONTENT_BYTES + 1);
    let refused = [
        // The second of two concurrent operators did not start from the latest version.
        (first.clone(), PutError::OutOfDate(1)),
        (put(parse_scope("service/cart"), 2, "c = 2"), PutError::OutOfDate(1)),
        (put(parse_scope("all"), 1, "c = 2"), PutError::OutOfDate(0)),
        (
            ConfigurationPut { content_hash: content_hash("c = 3"), ..put(parse_scope("all"), 0, "c = 2") },
            PutError::HashMismatch,
        ),
        (put(parse_scope("all"), 0, &long), PutError::TooLong),
        (ConfigurationPut { author: String::new(), ..put(parse_scope("all"), 0, "") }, PutError::InvalidName),
        (
            ConfigurationPut { author: " ".to_owned(), ..put(parse_scope("all"), 0, "") },
            PutError::InvalidName,
        ),
        (
            ConfigurationPut { author: "a\u{1b}[2J".to_owned(), ..put(parse_scope("all"), 0, "") },
            PutError::InvalidName,
        ),
        (
            ConfigurationPut { author: "a".repeat(65), ..put(parse_scope("all"), 0, "") },
            PutError::InvalidName,
        ),
        // Scopes that were constructed instead of parsed.
        (put(Scope::Service("cart/zone/east".to_owned()), 0, ""), PutError::InvalidName),
        (put(Scope::Zone { service: "cart".to_owned(), zone: String::new() }, 0, ""), PutError::InvalidName),
    ];
    for (put, error) in refused {
        assert_eq!(register.apply(&put), Err(error));
        assert_eq!(register, before);
    }
    // The same content again is a new version, with its own author and time.
    assert_eq!(register.apply(&put(parse_scope("service/cart"), 1, "c = 1")), Ok(2));
    assert_eq!(register.apply(&put(parse_scope("service/cart"), 2, "")), Ok(3));
    let history: Vec<(Version, usize)> =
        register.history().map(|entry| (entry.version, entry.bytes)).collect();
    assert_eq!(history, [(1, 5), (2, 5), (3, 0)]);
    // The register survives a round trip through JSON.
    let stored = serde_json::to_string(&register).expect("a register");
    assert_eq!(serde_json::from_str::<Register>(&stored).expect("a register"), register);
}

/// Guards against state that grows without bound, or is too large to be sent to a restarted coordinator.
#[test]
fn history_contents_and_scopes_are_bounded() {
    let mut register = Register::default();
    for n in 0..4_100 {
        change(&mut register, parse_scope("all"), &format!("c = {n}"));
    }
    assert_eq!(register.history().count(), 4_000);
    assert_eq!(
        (register.history().next().map(|entry| entry.version), register.version()),
        (Some(101), 4_100)
    );
    let long = "#".repeat(MAX_CONTENT_BYTES);
    let mut refused = None;
    for n in 0..300 {
        let next = put(parse_scope(&format!("balancer/b{n}")), 0, &long);
        if let Err(error) = register.apply(&next) {
            refused = Some((n, error));
            break;
        }
    }
    // The limit is 16 MiB, of which the content of the first scope uses a little.
    assert_eq!(refused, Some((255, PutError::LimitReached)));
    // Clearing a scope frees its space.
    change(&mut register, parse_scope("balancer/b7"), "");
    change(&mut register, parse_scope("balancer/b255"), &long);
    let mut register = Register::default();
    for n in 0..10_000 {
        change(&mut register, parse_scope(&format!("balancer/b{n}")), "");
    }
    assert_eq!(register.apply(&put(parse_scope("all"), 0, "")), Err(PutError::LimitReached));
    change(&mut register, parse_scope("balancer/b3"), "c = 1");
}

/// Guards against reuse of a version by a register that was created anew, or by that of another region.
#[test]
fn a_version_is_above_the_reported_ones_and_never_near_the_highest_number() {
    let mut register = Register::default();
    let above = |above, base| ConfigurationPut {
        min_version_exclusive: above,
        ..put(parse_scope("all"), base, "c = 1")
    };
    assert_eq!(register.apply(&above(41, 0)), Ok(42));
    assert_eq!(register.apply(&above(3, 42)), Ok(43));
    // A member has reported the highest possible number.
    assert_eq!(register.apply(&above(Version::MAX, 43)), Ok(1_000_044));
    // An entry that was written by a program version without the field.
    let mut json = serde_json::to_value(above(0, 1_000_044)).expect("a put");
    json.as_object_mut().expect("an object").remove("above");
    let older: ConfigurationPut = serde_json::from_value(json).expect("a put");
    assert_eq!(register.apply(&older), Ok(1_000_045));
}

#[test]
fn four_scopes_concern_a_balancer_and_it_gets_the_entries_that_it_lacks() {
    let mut register = Register::default();
    for text in
        ["balancer/b0", "service/cart/zone/east", "service/cart", "all", "service/search", "balancer/b1"]
    {
        change(&mut register, parse_scope(text), &format!("c = \"{text}\""));
    }
    assert_eq!((register.version(), register.version_for(&cart_balancer())), (6, 4));
    let fetch = |known_version, wanted_version| {
        register.fetch(&FetchRequest { target: cart_balancer(), known_version, wanted_version })
    };
    let FetchReply::Entries { version, entries, .. } = fetch(0, 4) else {
        panic!("the register is not behind")
    };
    let scopes: Vec<String> = entries.iter().map(|entry| entry.scope.to_string()).collect();
    assert_eq!(version, 4);
    assert_eq!(scopes, ["all", "service/cart", "service/cart/zone/east", "balancer/b0"]);
    let FetchReply::Entries { entries, .. } = fetch(2, 4) else { panic!("the register is not behind") };
    assert_eq!(entries.iter().map(|entry| entry.version).collect::<Vec<_>>(), [4, 3]);
    assert_eq!(fetch(2, 7), FetchReply::Behind);
    // No zone scope concerns a balancer without a zone.
    let without_zone = Target { zone: String::new(), ..cart_balancer() };
    assert_eq!(register.version_for(&without_zone), 4);
}
