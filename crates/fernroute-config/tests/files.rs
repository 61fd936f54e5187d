//! Valid files, and all errors of invalid ones.

use fernroute_config::decode;

const VALID: &str = r#"name = "n0"
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
    let config = decode(VALID).expect("a valid file");
    assert_eq!((config.name.as_str(), config.seed, config.descriptors), ("n0", None, 1024));
    assert_eq!((config.upstreams.len(), config.upstreams[0].cell.as_str()), (1, "7"));
    for (setting, value) in [
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
        assert_eq!(config.settings.get(setting).map(String::as_str), Some(value), "{setting}");
    }
}

#[test]
fn each_error_has_its_line_and_path() {
    for (old, new, expected) in [
        ("name = \"n0\"", "", "line 1: name: is missing"),
        ("name = \"n0\"", "name = \" \"", "line 1: name: must be a non-empty string"),
        ("name = \"n0\"", "name = \"n0\"\ncolour = 3", "line 2: colour: is not a known key"),
        ("name = \"n0\"", "name = \"n0", "line 1: "),
        ("\"127.0.0.1:9000\"", "\"localhost\"", "line 2: listen: must be an IP address with a port"),
        (
            "[place]",
            "seed = \"xyz\"\n[place]",
            "line 5: seed: must be a string of up to 16 hexadecimal digits",
        ),
        ("[place]", "memory_mb = 1\n[place]", "line 5: memory_mb: 1 is not between 16 and"),
        ("[place]", "ops = 9600\n[place]", "line 5: ops: must be an IP address with a port"),
        (
            "[place]",
            "ops = \"127.0.0.1:9000\"\n[place]",
            "line 5: ops: 127.0.0.1:9000 is already the value of listen",
        ),
        ("[place]", "descriptors = 10\n[place]", "line 5: descriptors: 10 is not between 64 and 1000000"),
        ("instances = 4", "instances = 4.5", "line 6: place.instances: 4.5 is not a whole number"),
        (
            "number = 3",
            "number = 4",
            "line 7: place.number: 4 must be less than place.instances (4): numbers start at 0",
        ),
        ("mode = \"ask\"", "mode = \"wait\"", "line 10: list.mode: wait is not one of push, ask"),
        ("ask_within_s = 2.5", "", "line 10: list.ask_within_s: is required"),
        ("\"errors\"]", "3]", "line 14: load.reports: must be a list of strings"),
        ("warm_keys = true", "warm_keys = 1", "line 15: load.warm_keys: must be true or false"),
        (
            "crossing_cost = 0.03",
            "crossing_cost = 2",
            "line 16: load.crossing_cost: 2 is not between 0 and 1",
        ),
        ("cold_from = 0.3", "cold_from = 0", "line 19: rules.cold_from: 0 is not between"),
        ("cold_from = 0.3", "cold_from = nan", "line 19: rules.cold_from: NaN is not between"),
        ("warm_within_s = 8", "warm_within_s = -1", "line 20: rules.warm_within_s: -1 is not between"),
        ("soft_ms = 1_000", "soft_ms = 9000", "line 27: method[0].soft_ms: is greater than hard_ms"),
        (
            "soft_ms = 1_000",
            "group = \"all\"",
            "line 27: method[0].group: is only allowed where effect is deduped",
        ),
        ("window_s = 10", "", "line 30: method[1].window_s: is required where effect is deduped"),
        (
            "name = \"put\"",
            "name = \"look\"",
            "line 31: method[1].name: look is already the name of method[0]",
        ),
        ("\"deduped\"", "\"idempotent\"", "line 32: method[1].effect: idempotent is not one of"),
        ("rate = 12.5", "rate = -2", "line 39: tenant[0].rate: -2 is not between"),
        ("id = \"s-1\"", "", "line 41: upstream[0].id: is missing"),
        ("[[upstream]]", "[upstream]", "upstream: must be an array of tables, written as [[upstream]]"),
        ("[place]", "[place.more]\n[place]", "place.more: is not a known key"),
    ] {
        assert!(VALID.contains(old), "{old}");
        let errors = decode(&VALID.replacen(old, new, 1)).expect_err(expected);
        assert_eq!(errors.len(), 1, "{expected}: {errors:?}");
        let line = errors[0].to_string();
        assert!(line.contains(expected) && !line.contains('\n'), "{expected}: {line}");
    }
}

#[test]
fn all_errors_are_reported_together_in_line_order() {
    let text = VALID.replace("instances = 4", "instances = 0").replace("cold_from = 0.3", "cold = 1");
    let text = text.replace("\"retriable\"", "1").replace("rate = 12.5", "rate = inf");
    let reported: Vec<String> =
        decode(&text).expect_err("five errors").iter().map(ToString::to_string).collect();
    let paths = ["rules.cold_from", "place.instances", "rules.cold", "method[0].effect", "tenant[0].rate"];
    assert_eq!(reported.len(), paths.len(), "{reported:?}");
    for (line, path) in reported.iter().zip(paths) {
        assert!(line.contains(&format!(": {path}: ")), "{path}: {reported:?}");
    }
    assert!(decode("").expect_err("an empty file").len() > 5);
}

/// Guards against a balancer that starts outside its fleet because of an incomplete `[fleet]` table.
#[test]
fn a_fleet_is_configured_completely_or_not_at_all() {
    assert_eq!(decode(VALID).expect("a valid file").fleet, None);
    let with = |fleet: &str| decode(&VALID.replace("[rules]", &format!("[fleet]\n{fleet}\n\n[rules]")));
    let required = "cluster = \"c\"\nstewards = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]";
    let fleet = with(required).expect("a valid file").fleet.expect("a fleet");
    assert_eq!((fleet.cluster.as_str(), fleet.coordinators.len(), fleet.heartbeat_interval), ("c", 2, 2_500));
    let shared_budgets = |text: &str| {
        with(&format!("{required}\n{text}")).expect("a valid file").fleet.map(|f| f.shared_budgets)
    };
    assert_eq!((fleet.shared_budgets, shared_budgets("divides = []")), (vec![], Some(vec![])));
    assert_eq!(shared_budgets("divides = [\"trials\"]"), Some(vec![fernroute::TRIAL_BUDGET]));
    let following = format!("{required}\nservice = \"shop\"\nfolder = \"/var/lib/f\"\nwait_ms = 500");
    let following = with(&following).expect("a valid file").fleet.expect("a fleet");
    assert_eq!((following.service.as_deref(), following.startup_wait), (Some("shop"), 5_000));
    assert_eq!(following.cache_dir.as_deref(), Some(std::path::Path::new("/var/lib/f")));
    assert_eq!((fleet.service, fleet.cache_dir, fleet.startup_wait), (None, None, 20_000));
    for (text, expected) in [
        ("cluster = \"c\"", "fleet.stewards: is required in [fleet]"),
        ("stewards = [\"127.0.0.1:7001\"]", "fleet.cluster: is required in [fleet]"),
        ("beat_ms = 100", "fleet.cluster: is required in [fleet]"),
        ("cluster = \"c\"\nstewards = []", "fleet.stewards: must not be empty"),
        (
            "cluster = \"c\"\nstewards = [\"127.0.0.1:1\", \"127.0.0.1:1\"]",
            "fleet.stewards[1]: 127.0.0.1:1 is listed twice",
        ),
        ("cluster = \"c\"\nstewards = [\"here\"]", "here is not an IP address with a port"),
        ("cluster = \"c\"\nstewards = \"127.0.0.1:1\"", "must be a list of addresses"),
        (&format!("{required}\nbeat_ms = 5"), "fleet.beat_ms: 5 is not between 10 and 10000"),
        (&format!("{required}\nmore = 5"), "fleet.more: is not a known key"),
        (&format!("{required}\ndivides = [\"all\"]"), "fleet.divides"),
        ("divides = [\"trials\"]", "fleet.cluster: is required in [fleet]"),
        ("service = \"shop\"", "fleet.cluster: is required in [fleet]"),
        (
            &format!("{required}\nfolder = \"/var\""),
            "fleet.folder: is only allowed together with fleet.service",
        ),
        (&format!("{required}\nwait_ms = 100"), "fleet.wait_ms: is only allowed together with fleet.service"),
        (&format!("{required}\nservice = \"a/b\""), "fleet.service: \"a/b\" is no valid scope name"),
        (
            &format!("{required}\nservice = \"a\"\nwait_ms = 9000"),
            "fleet.wait_ms: 9000 is not between 0 and 5000",
        ),
    ] {
        let errors = with(text).expect_err(expected);
        let reported: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert!(reported.iter().any(|line| line.contains(expected)), "{expected}: {reported:?}");
    }
}
