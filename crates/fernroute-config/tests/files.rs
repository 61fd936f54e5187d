//! Files that will do, and all that is wrong with those that will not.

use fernroute_config::decode;

const GOOD: &str = r#"name = "n0"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"

[place]
instances = 4
number = 3

[list]
mode = "ask"
ask_within_s = 2.5

[load]
reports = ["utilisation", "errors"]
warm_keys = true
crossing_cost = 0.03

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

[[method]]
name = "put"
effect = "deduped"
group = "cell"
window_s = 10
hard_ms = 3000

[[tenant]]
name = "acme"
rate = 12.5

[[upstream]]
id = "s-1"
address = "127.0.0.1:9001"
cell = "7"
"#;

#[test]
fn names_and_units_become_settings() {
    let plan = decode(GOOD).expect("it is good");
    assert_eq!((plan.name.as_str(), plan.seed, plan.descriptors), ("n0", None, 1024));
    assert_eq!((plan.upstreams.len(), plan.upstreams[0].cell.as_str()), (1, "7"));
    for (term, value) in [
        ("instances", "4"),
        ("list_mode", "ask"),
        ("rules.ask_within", "25000"),
        ("load.names", "utilisation,errors"),
        ("warm_keys", "true"),
        ("prices.cross_zone", "0.03"),
        ("rules.warm_within", "80000"),
        ("methods.count", "2"),
        ("methods.0.soft_deadline", "10000"),
        ("methods.0.hard_deadline", "30005"),
        ("methods.1.window", "100000"),
        ("tenants.count", "1"),
        ("tenants.0.rate", "12.5"),
    ] {
        assert_eq!(plan.settings.get(term).map(String::as_str), Some(value), "{term}");
    }
}

#[test]
fn each_fault_has_its_line_and_place() {
    for (old, new, expected) in [
        ("name = \"n0\"", "", "line 1: name: is missing"),
        ("name = \"n0\"", "name = \" \"", "line 1: name: is no text, or empty"),
        ("name = \"n0\"", "name = \"n0\"\ncolour = 3", "line 2: colour: is not known"),
        ("name = \"n0\"", "name = \"n0", "line 1: "),
        ("\"127.0.0.1:9000\"", "\"localhost\"", "line 2: listen: is no address with a port"),
        ("[place]", "seed = \"xyz\"\n[place]", "line 5: seed: is no text of up to 16"),
        ("[place]", "memory_mb = 1\n[place]", "line 5: memory_mb: 1 is not between 16 and"),
        ("[place]", "ops = 9600\n[place]", "line 5: ops: is no address with a port"),
        (
            "[place]",
            "ops = \"127.0.0.1:9000\"\n[place]",
            "line 5: ops: 127.0.0.1:9000 is where callers are served",
        ),
        ("[place]", "descriptors = 10\n[place]", "line 5: descriptors: 10 is not between 64 and 1000000"),
        ("instances = 4", "instances = 4.5", "line 6: place.instances: 4.5 is not whole"),
        ("number = 3", "number = 4", "line 7: place.number: 4 of 4: the first is 0"),
        ("mode = \"ask\"", "mode = \"wait\"", "line 10: list.mode: wait is none of push, ask"),
        ("ask_within_s = 2.5", "", "line 10: list.ask_within_s: is missing"),
        ("\"errors\"]", "3]", "line 14: load.reports: is no list of texts"),
        ("warm_keys = true", "warm_keys = 1", "line 15: load.warm_keys: is neither true nor false"),
        (
            "crossing_cost = 0.03",
            "crossing_cost = 2",
            "line 16: load.crossing_cost: 2 is not between 0 and 1",
        ),
        ("cold_from = 0.3", "cold_from = 0", "line 19: rules.cold_from: 0 is not between"),
        ("cold_from = 0.3", "cold_from = nan", "line 19: rules.cold_from: NaN is not between"),
        ("warm_within_s = 8", "warm_within_s = -1", "line 20: rules.warm_within_s: -1 is not between"),
        ("soft_ms = 1_000", "soft_ms = 9000", "line 27: method[0].soft_ms: is more than hard_ms"),
        ("soft_ms = 1_000", "group = \"all\"", "line 27: method[0].group: is for deduped methods alone"),
        ("window_s = 10", "", "line 30: method[1].window_s: is missing"),
        ("name = \"put\"", "name = \"look\"", "line 31: method[1].name: look is there already, as method[0]"),
        ("\"deduped\"", "\"idempotent\"", "line 32: method[1].effect: idempotent is none of"),
        ("rate = 12.5", "rate = -2", "line 39: tenant[0].rate: -2 is not between"),
        ("id = \"s-1\"", "", "line 41: upstream[0].id: is missing"),
        ("[[upstream]]", "[upstream]", "upstream: is written [[upstream]]"),
        ("[place]", "[place.more]\n[place]", "place.more: is not known"),
    ] {
        assert!(GOOD.contains(old), "{old}");
        let faults = decode(&GOOD.replacen(old, new, 1)).expect_err(expected);
        assert_eq!(faults.len(), 1, "{expected}: {faults:?}");
        let line = faults[0].to_string();
        assert!(line.contains(expected) && !line.contains('\n'), "{expected}: {line}");
    }
}

#[test]
fn all_faults_are_reported_at_once_in_the_order_of_lines() {
    let text = GOOD.replace("instances = 4", "instances = 0").replace("cold_from = 0.3", "cold = 1");
    let text = text.replace("\"retriable\"", "1").replace("rate = 12.5", "rate = inf");
    let reported: Vec<String> = decode(&text).expect_err("four").iter().map(ToString::to_string).collect();
    let places = ["rules.cold_from", "place.instances", "rules.cold", "method[0].effect", "tenant[0].rate"];
    assert_eq!(reported.len(), places.len(), "{reported:?}");
    for (line, place) in reported.iter().zip(places) {
        assert!(line.contains(&format!(": {place}: ")), "{place}: {reported:?}");
    }
    assert!(decode("").expect_err("nothing is there").len() > 5);
}

/// Guards against a balancer that starts outside its fleet because of a slip in its file.
#[test]
fn a_fleet_is_configured_completely_or_not_at_all() {
    assert_eq!(decode(GOOD).expect("it is good").fleet, None);
    let with = |fleet: &str| decode(&GOOD.replace("[rules]", &format!("[fleet]\n{fleet}\n\n[rules]")));
    let both = "cluster = \"c\"\nstewards = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]";
    let fleet = with(both).expect("it is good").fleet.expect("it is named");
    assert_eq!((fleet.cluster.as_str(), fleet.coordinators.len(), fleet.heartbeat_interval), ("c", 2, 2_500));
    let divides =
        |text: &str| with(&format!("{both}\n{text}")).expect("it is good").fleet.map(|f| f.shared_budgets);
    assert_eq!((fleet.shared_budgets, divides("divides = []")), (vec![], Some(vec![])));
    assert_eq!(divides("divides = [\"trials\"]"), Some(vec![fernroute::TRIAL_BUDGET]));
    let follows = format!("{both}\nservice = \"shop\"\nfolder = \"/var/lib/f\"\nwait_ms = 500");
    let follows = with(&follows).expect("it is good").fleet.expect("it is named");
    assert_eq!((follows.service.as_deref(), follows.startup_wait), (Some("shop"), 5_000));
    assert_eq!(follows.cache_dir.as_deref(), Some(std::path::Path::new("/var/lib/f")));
    assert_eq!((fleet.service, fleet.cache_dir, fleet.startup_wait), (None, None, 20_000));
    for (text, why) in [
        ("cluster = \"c\"", "fleet.stewards: is missing"),
        ("stewards = [\"127.0.0.1:7001\"]", "fleet.cluster: is missing"),
        ("beat_ms = 100", "fleet.cluster: is missing"),
        ("cluster = \"c\"\nstewards = []", "fleet.stewards: names none"),
        (
            "cluster = \"c\"\nstewards = [\"127.0.0.1:1\", \"127.0.0.1:1\"]",
            "fleet.stewards[1]: 127.0.0.1:1 is there already",
        ),
        ("cluster = \"c\"\nstewards = [\"here\"]", "here is no address with a port"),
        ("cluster = \"c\"\nstewards = \"127.0.0.1:1\"", "is no list of addresses"),
        (&format!("{both}\nbeat_ms = 5"), "fleet.beat_ms: 5 is not between 10 and 10000"),
        (&format!("{both}\nmore = 5"), "fleet.more: is not known"),
        (&format!("{both}\ndivides = [\"all\"]"), "fleet.divides"),
        ("divides = [\"trials\"]", "fleet.cluster: is missing"),
        ("service = \"shop\"", "fleet.cluster: is missing"),
        (&format!("{both}\nfolder = \"/var\""), "fleet.folder: is for a balancer that goes by"),
        (&format!("{both}\nwait_ms = 100"), "fleet.wait_ms: is for a balancer that goes by"),
        (&format!("{both}\nservice = \"a/b\""), "fleet.service: no scope can name \"a/b\""),
        (
            &format!("{both}\nservice = \"a\"\nwait_ms = 9000"),
            "fleet.wait_ms: 9000 is not between 0 and 5000",
        ),
    ] {
        let faults = with(text).expect_err(why);
        let reported: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert!(reported.iter().any(|reported| reported.contains(why)), "{why}: {reported:?}");
    }
}
