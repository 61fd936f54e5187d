//! Parts laid over a balancer's own file: what they change, and what they must not.

use fernroute_config::layers::{self, check, merge_layers};
use fernroute_config::{decode, BalancerConfig, ConfigError};

const FILE: &str = r#"name = "n0"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"
seed = "8c1f30d27a5be964"

[place]
instances = 4
zone = "z"

[load]
reports = ["utilisation", "errors"]
crossing_cost = 0.03

[limits]
connect_ms = 250
transmissions = 3

[rules]
cold_from = 0.3
warm_within_s = 8
cold_multiple = 2.5
cold_window_s = 3

[[method]]
name = "look"
effect = "retriable"
soft_ms = 1_000
hard_ms = 3000.5

[[tenant]]
name = "acme"
rate = 12.5

[[upstream]]
id = "s-1"
address = "127.0.0.1:9001"
"#;

const METHODS: &str = "[[method]]\nname = \"look\"\neffect = \"retriable\"\nhard_ms = 2000\n\
    [[method]]\nname = \"pay\"\neffect = \"non_retriable\"\nhard_ms = 4000\n";

/// The entries are named by their numbers.
fn load(file: &str, entries: &[&str]) -> Result<BalancerConfig, Vec<ConfigError>> {
    let names: Vec<String> = (1..=entries.len()).map(|n| format!("entry {n}")).collect();
    let entries: Vec<(&str, &str)> = names.iter().map(String::as_str).zip(entries.iter().copied()).collect();
    layers::load(file, &entries)
}

fn lines(faults: &[ConfigError]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against a balancer that has other settings as soon as it is laid over.
#[test]
fn no_entries_change_nothing() {
    let plain = decode(FILE).expect("it is good");
    for entries in [&[][..], &[""], &["", "# nothing\n", "[load]\n"]] {
        assert_eq!(load(FILE, entries).expect("it is good"), plain);
        entries.iter().for_each(|entry| assert_eq!(check(entry), Ok(())));
    }
}

#[test]
fn tables_are_merged_key_by_key_and_lists_are_replaced() {
    let entries = [
        "[limits]\ntransmissions = 5\ncancel = true\n[[tenant]]\nname = \"other\"\nrate = 1\n",
        METHODS,
        "[limits]\ntransmissions = 2\n",
    ];
    let plan = load(FILE, &entries).expect("it is good");
    for (term, value) in [
        ("limits.max_transmissions", "2"),
        ("limits.cancel", "true"),
        ("limits.connect_time_out", "2500"),
        ("prices.cross_zone", "0.03"),
        ("methods.count", "2"),
        ("methods.0.hard_deadline", "20000"),
        ("methods.1.name", "pay"),
        ("tenants.count", "1"),
        ("tenants.0.name", "other"),
    ] {
        assert_eq!(plan.settings.get(term).map(String::as_str), Some(value), "{term}");
    }
    // What only the file's method said is gone with it.
    assert_eq!(plan.settings.get("methods.0.soft_deadline"), None);
    assert_eq!((plan.name.as_str(), plan.upstreams.len(), plan.seed), ("n0", 1, Some(0x8c1f_30d2_7a5b_e964)));
    let none = load(FILE, &["tenant = []"]).expect("it is good");
    assert_eq!(none.settings.get("tenants.count").map(String::as_str), Some("0"));
}

/// Guards against a entry that would make two balancers one, or that is in force only where a balancer has just started.
#[test]
fn an_entry_has_no_key_of_one_balancer_or_that_needs_a_restart() {
    for (entry, expected) in [
        ("name = \"x\"", "line 1: name: is each balancer's own"),
        ("[load]\nwarm_keys = true\n[place]\nzone = \"y\"", "line 3: place: is each balancer's own"),
        ("\n[fleet]\ncluster = \"c\"", "line 2: fleet: is each balancer's own"),
        ("[[upstream]]\nid = \"s\"\naddress = \"127.0.0.1:1\"", "line 1: upstream: is each balancer's own"),
        ("[limits]\ncancel = true\nconnect_ms = 5", "line 3: limits.connect_ms: needs a restart"),
        ("limits.keep_alive_s = 5", "line 1: limits.keep_alive_s: needs a restart"),
        ("colour = 1", "line 1: colour: is each balancer's own"),
    ] {
        for faults in [check(entry), merge_layers(FILE, &[entry]).map(drop), load(FILE, &[entry]).map(drop)] {
            let faults = faults.expect_err(entry);
            assert_eq!(faults.len(), 1, "{entry}: {faults:?}");
            assert!(faults[0].to_string().starts_with(expected), "{expected}: {}", faults[0]);
        }
    }
}

#[test]
fn faults_of_an_entry_have_its_own_lines() {
    for (entry, expected) in [
        ("\n\n[limits", "line 3: "),
        ("[limits]\ncancel = true\n\ntransmissions = 0", "line 4: limits.transmissions: 0 is not between"),
        ("# a\n[load]\nfast = 1", "line 3: load.fast: is not known"),
        ("\nlimits = 3", "line 2: limits: is no table"),
        ("\n[method]\nname = \"m\"", "line 2: method: is written [[method]]"),
        ("\nmethod = []", "line 2: method: is missing"),
        (
            "[[method]]\nname = \"a\"\neffect = \"retriable\"\nhard_ms = 1\n[[method]]\nname = \"a\"\neffect = \"no\"\nhard_ms = 1",
            "line 7: method[1].effect: no is none of",
        ),
        ("[[tenant]]\nname = \"a\"\n", "line 1: tenant[0].rate: is missing"),
    ] {
        let faults = lines(&check(entry).expect_err(entry));
        assert!(faults.iter().any(|line| line.starts_with(expected)), "{expected}: {faults:?}");
    }
}

/// An entry that is good over a plain file and not over this one: the fault has the line and the text that names it.
#[test]
fn a_fault_is_attributed_to_the_text_that_names_its_place() {
    let twice = FILE.replace("crossing_cost = 0.03", "crossing = 3");
    let faults = lines(&load(&twice, &["", METHODS]).expect_err("a slip of its own"));
    assert_eq!(faults, ["line 12: load.crossing: is not known (the balancer's own file)"]);
    let entry = "[[method]]\nname = \"look\"\neffect = \"deduped\"\nhard_ms = 1";
    let faults = lines(&load(FILE, &["[limits]\ncancel = true", entry]).expect_err("no window"));
    assert!(
        faults.iter().all(|line| line.contains("line 1: method[0].") && line.ends_with("(entry 2)")),
        "{faults:?}"
    );
    let faults = lines(&load(FILE, &["", "[limits]\nname = 1", "limits.cancel = 3"]).expect_err("two"));
    assert_eq!(
        faults,
        [
            "line 1: limits.cancel: is neither true nor false (entry 3)",
            "line 2: limits.name: is not known (entry 2)"
        ]
    );
    // One file says within what time its list is asked for, this one does not.
    let asks = "[limits]\ncancel = true\n[list]\nmode = \"ask\"";
    assert_eq!(check(asks), Ok(()));
    assert!(load(&format!("{FILE}[list]\nask_within_s = 2\n"), &[asks]).is_ok());
    let faults = lines(&load(FILE, &[asks]).expect_err("no time"));
    let expected = "line 3: list.ask_within_s: is missing, where the list must be asked for (entry 1)";
    assert_eq!(faults, [expected]);
    assert!(lines(&load(FILE, &["a = "]).expect_err("no TOML"))[0].ends_with("(entry 1)"));
    assert!(load("[", &[""]).is_err());
}
