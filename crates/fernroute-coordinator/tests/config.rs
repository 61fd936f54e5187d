//! The configuration file: the defaults of absent keys, and how faults are reported.

use fernroute_coordinator::config::CoordinatorConfig;

const CONFIG: &str = "cluster = \"c\"\nname = \"a\"\nfolder = \"/tmp/a\"\n\
    [[steward]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\n\
    [[budget]]\nname = \"acme\"\nwhole = 200\n";

#[test]
fn a_minimal_file_is_valid_and_gets_defaults() {
    let config = CoordinatorConfig::decode(CONFIG).expect("a valid file");

    let acme = config.budgets.get("acme").expect("the budget");
    assert_eq!(
        (acme.limit, acme.guaranteed, config.grant_lease.duration, config.guarantee_lease.duration),
        (200_000, 40, 20_000, 600_000)
    );
    assert!(acme.guaranteed * config.max_members as u64 <= acme.limit);
}

#[test]
fn all_faults_of_a_file_are_reported_together() {
    let duplicate = "[[steward]]\nname = \"a\"\naddress = \"127.0.0.1:7001\"\n";
    let text = format!("shares_ms = 10\n{CONFIG}{duplicate}floors = 3\n")
        .replace("whole = 200\n", "whole = 0\nfloors = 2\n");

    let error = CoordinatorConfig::decode(&text.replace("floors = 3\n", "")).expect_err("faults").to_string();

    for expected in [
        "shares_ms: 10",
        "steward: 2 entries",
        "steward[1].name",
        "steward[1].address",
        "whole: 0",
        "floors: 2",
    ] {
        assert!(error.contains(expected), "{expected}: {error}");
    }
    assert!(!error.contains('\n'));
    for (old, new, expected) in [
        ("name = \"a\"\nfolder", "name = \"b\"\nfolder", "no [[steward]] is named b"),
        ("cluster", "claster", "line 1"),
        (
            "folder",
            "shares_ms = 700\nfolder",
            "shares_ms: 700 is shorter than three heartbeats, beat_ms is 250",
        ),
        ("folder", "beat_ms = 5\nfolder", "beat_ms: 5 is not between"),
        ("127.0.0.1:7001", "127.0.0.1:0", "has no port"),
    ] {
        let error = CoordinatorConfig::decode(&CONFIG.replace(old, new)).expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
}
