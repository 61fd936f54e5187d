//! Layers over a balancer's own file: what they change, and what they are not allowed to change.

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

/// Loads a file with layers that are named by their position.
fn load(file: &str, layers: &[&str]) -> Result<BalancerConfig, Vec<ConfigError>> {
    let names: Vec<String> = (1..=layers.len()).map(|n| format!("layer {n}")).collect();
    let layers: Vec<(&str, &str)> = names.iter().map(String::as_str).zip(layers.iter().copied()).collect();
    layers::load(file, &layers)
}

fn lines(errors: &[ConfigError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// Guards against a merge that changes settings which no layer contains.
#[test]
fn empty_layers_change_nothing() {
    let plain = decode(FILE).expect("a valid file");
    for layers in [&[][..], &[""], &["", "# nothing\n", "[load]\n"]] {
        assert_eq!(load(FILE, layers).expect("valid layers"), plain);
        layers.iter().for_each(|layer| assert_eq!(check(layer), Ok(())));
    }
}

#[test]
fn tables_are_merged_key_by_key_and_lists_are_replaced() {
    let layers = [
        "[limits]\ntransmissions = 5\ncancel = true\n[[tenant]]\nname = \"other\"\nrate = 1\n",
        METHODS,
        "[limits]\ntransmissions = 2\n",
    ];
    let config = load(FILE, &layers).expect("valid layers");
    for (setting, value) in [
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
        assert_eq!(config.settings.get(setting).map(String::as_str), Some(value), "{setting}");
    }
    // The file's methods are replaced, including keys that the layer's methods do not have.
    assert_eq!(config.settings.get("methods.0.soft_deadline"), None);
    assert_eq!(
        (config.name.as_str(), config.upstreams.len(), config.seed),
        ("n0", 1, Some(0x8c1f_30d2_7a5b_e964))
    );
    let no_tenants = load(FILE, &["tenant = []"]).expect("a valid layer");
    assert_eq!(no_tenants.settings.get("tenants.count").map(String::as_str), Some("0"));
}

/// Guards against a layer that gives several balancers the same identity, or that takes effect only in balancers started
/// after it.
#[test]
fn a_layer_contains_no_keys_of_one_balancer_and_none_that_need_a_restart() {
    for (layer, expected) in [
        ("name = \"x\"", "line 1: name: belongs in each balancer's own file"),
        (
            "[load]\nwarm_keys = true\n[place]\nzone = \"y\"",
            "line 3: place: belongs in each balancer's own file",
        ),
        ("\n[fleet]\ncluster = \"c\"", "line 2: fleet: belongs in each balancer's own file"),
        (
            "[[upstream]]\nid = \"s\"\naddress = \"127.0.0.1:1\"",
            "line 1: upstream: belongs in each balancer's own file",
        ),
        ("[limits]\ncancel = true\nconnect_ms = 5", "line 3: limits.connect_ms: needs a restart"),
        ("limits.keep_alive_s = 5", "line 1: limits.keep_alive_s: needs a restart"),
        ("colour = 1", "line 1: colour: belongs in each balancer's own file"),
    ] {
        for result in [check(layer), merge_layers(FILE, &[layer]).map(drop), load(FILE, &[layer]).map(drop)] {
            let errors = result.expect_err(layer);
            assert_eq!(errors.len(), 1, "{layer}: {errors:?}");
            assert!(errors[0].to_string().starts_with(expected), "{expected}: {}", errors[0]);
        }
    }
}

#[test]
fn errors_in_a_layer_have_the_lines_of_the_layer() {
    for (layer, expected) in [
        ("\n\n[limits", "line 3: "),
        ("[limits]\ncancel = true\n\ntransmissions = 0", "line 4: limits.transmissions: 0 is not between"),
        ("# a\n[load]\nfast = 1", "line 3: load.fast: is not a known key"),
        ("\nlimits = 3", "line 2: limits: must be a table"),
        ("\n[method]\nname = \"m\"", "line 2: method: must be an array of tables, written as [[method]]"),
        ("\nmethod = []", "line 2: method: is missing"),
        (
            "[[method]]\nname = \"a\"\neffect = \"retriable\"\nhard_ms = 1\n[[method]]\nname = \"a\"\neffect = \"no\"\nhard_ms = 1",
            "line 7: method[1].effect: no is not one of",
        ),
        ("[[tenant]]\nname = \"a\"\n", "line 1: tenant[0].rate: is missing"),
    ] {
        let errors = lines(&check(layer).expect_err(layer));
        assert!(errors.iter().any(|line| line.starts_with(expected)), "{expected}: {errors:?}");
    }
}

/// Guards against errors that point to the wrong text. Some layers are valid by themselves and invalid over a certain file.
#[test]
fn an_error_is_attributed_to_the_text_that_contains_its_path() {
    let with_typo = FILE.replace("crossing_cost = 0.03", "crossing = 3");
    let errors = lines(&load(&with_typo, &["", METHODS]).expect_err("an unknown key in the file"));
    assert_eq!(errors, ["line 12: load.crossing: is not a known key (the balancer's own file)"]);
    let layer = "[[method]]\nname = \"look\"\neffect = \"deduped\"\nhard_ms = 1";
    let errors = lines(&load(FILE, &["[limits]\ncancel = true", layer]).expect_err("no window"));
    assert!(
        errors.iter().all(|line| line.contains("line 1: method[0].") && line.ends_with("(layer 2)")),
        "{errors:?}"
    );
    let errors =
        lines(&load(FILE, &["", "[limits]\nname = 1", "limits.cancel = 3"]).expect_err("two errors"));
    assert_eq!(
        errors,
        [
            "line 1: limits.cancel: must be true or false (layer 3)",
            "line 2: limits.name: is not a known key (layer 2)"
        ]
    );
    // A layer that is valid over files with a polling interval, which this file does not have.
    let polls = "[limits]\ncancel = true\n[list]\nmode = \"ask\"";
    assert_eq!(check(polls), Ok(()));
    assert!(load(&format!("{FILE}[list]\nask_within_s = 2\n"), &[polls]).is_ok());
    let errors = lines(&load(FILE, &[polls]).expect_err("no interval"));
    let expected = "line 3: list.ask_within_s: is required where list.mode is ask (layer 1)";
    assert_eq!(errors, [expected]);
    assert!(lines(&load(FILE, &["a = "]).expect_err("no TOML"))[0].ends_with("(layer 1)"));
    assert!(load("[", &[""]).is_err());
}
