//! The copy of the fleet's configuration on a balancer's disk.

mod common;

use common::run;
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::{content_hash, Scope, Target};
use fernroute_server::program::configuration_cache::ConfigurationCache;
use std::cell::RefCell;
use std::time::Duration;

/// Guards against a copy that an old process, or a disk that held a write up, puts over a newer one; against another balancer's
/// copy under this one's name; and against half of a copy that stays for good.
#[test]
fn older_cached_configuration_never_replaces_a_newer_one() {
    run(async {
        let folder = std::env::temp_dir().join(format!("fernroute-kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("access the test directory");
        let path = folder.join("n0.configuration");
        let (kept, within) = (ConfigurationCache::new(path.clone()), Duration::from_secs(10));
        let place = |zone: &str| Target { name: "n0".into(), service: "shop".into(), zone: zone.into() };
        let register = RefCell::new(Register::default());
        let snapshot = |zone: &str, name: &str| -> ConfigurationSnapshot {
            let scope: Scope = "service/shop".parse().expect("valid scope");
            let (base, content) = (register.borrow().latest_version(&scope), format!("# {name}\n"));
            let (hash, who) = (content_hash(&content), "op".to_owned());
            let put = ConfigurationPut {
                scope,
                base_version: base,
                content_hash: hash,
                content,
                author: who,
                entered_at_ms: 0,
                min_version_exclusive: 0,
            };
            let told = register.borrow_mut().apply(&put).expect("accepted change");
            let mut follower = ConfigurationFollower::new(place(zone), None);
            follower.on_notification(told);
            let fetched = register.borrow().fetch(&follower.next_fetch(0).expect("a version to fetch"));
            follower.on_reply(fetched).expect("valid configuration")
        };
        let (first, second, third) = (snapshot("z", "a"), snapshot("z", "b"), snapshot("y", "c"));
        assert_eq!(kept.read(&place("z")).expect("read the cache"), None);
        kept.write(&place("z"), &second, within).await.expect("write the cache");
        // Another process's: it has not seen what this one wrote.
        ConfigurationCache::new(path.clone())
            .write(&place("z"), &first, within)
            .await
            .expect("older snapshot skipped");
        assert_eq!(kept.read(&place("z")).expect("read the cache"), Some(second));
        kept.write(&place("y"), &third, within).await.expect("write the cache");
        assert_eq!(kept.read(&place("y")).expect("read the cache"), Some(third));
        assert!(kept.read(&place("z")).is_err_and(|error| error.to_string().contains("not for balancer n0")));
        // What is damaged stands in nobody's way, nor does what a process that was killed left beside it.
        std::fs::write(&path, "{").expect("access the test file");
        kept.write(&place("z"), &first, within).await.expect("write the cache");
        assert_eq!(kept.read(&place("z")).expect("read the cache"), Some(first.clone()));
        std::fs::remove_file(&path).expect("remove the test directory");
        std::fs::create_dir(&path).expect("access the test directory");
        assert!(kept.write(&place("z"), &first, within).await.is_err());
        assert_eq!(std::fs::read_dir(&folder).expect("access the test directory").count(), 1);
        std::fs::remove_dir_all(&folder).expect("remove the test directory");
    });
}
