//! The fleet configuration that a balancer caches on disk.

mod common;

use common::run;
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot};
use fernroute_fleet::configuration::register::{ConfigurationPut, Register};
use fernroute_fleet::configuration::{content_hash, Scope, Target};
use fernroute_server::program::configuration_cache::ConfigurationCache;
use std::cell::RefCell;
use std::time::Duration;

/// Guards against an old process or a delayed write that replaces a newer cached configuration with an older one, against reading
/// another balancer's configuration, and against a damaged file that is never replaced.
#[test]
fn older_cached_configuration_never_replaces_a_newer_one() {
    run(async {
        let folder = std::env::temp_dir().join(format!("fernroute-kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("access the test directory");
        let path = folder.join("n0.configuration");
        let (cache, within) = (ConfigurationCache::new(path.clone()), Duration::from_secs(10));
        let target = |zone: &str| Target { name: "n0".into(), service: "shop".into(), zone: zone.into() };
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
            let notified = register.borrow_mut().apply(&put).expect("accepted change");
            let mut follower = ConfigurationFollower::new(target(zone), None);
            follower.on_notification(notified);
            let fetched = register.borrow().fetch(&follower.next_fetch(0).expect("a version to fetch"));
            follower.on_reply(fetched).expect("valid configuration")
        };
        let (first, second, third) = (snapshot("z", "a"), snapshot("z", "b"), snapshot("y", "c"));
        assert_eq!(cache.read(&target("z")).expect("read the cache"), None);
        cache.write(&target("z"), &second, within).await.expect("write the cache");
        // A cache as in another process, which has not seen this write.
        ConfigurationCache::new(path.clone())
            .write(&target("z"), &first, within)
            .await
            .expect("older snapshot skipped");
        assert_eq!(cache.read(&target("z")).expect("read the cache"), Some(second));
        cache.write(&target("y"), &third, within).await.expect("write the cache");
        assert_eq!(cache.read(&target("y")).expect("read the cache"), Some(third));
        assert!(cache
            .read(&target("z"))
            .is_err_and(|error| error.to_string().contains("not for balancer n0")));
        // A damaged file, or a temporary file left by a killed process, does not prevent a write.
        std::fs::write(&path, "{").expect("access the test file");
        cache.write(&target("z"), &first, within).await.expect("write the cache");
        assert_eq!(cache.read(&target("z")).expect("read the cache"), Some(first.clone()));
        std::fs::remove_file(&path).expect("remove the test directory");
        std::fs::create_dir(&path).expect("access the test directory");
        assert!(cache.write(&target("z"), &first, within).await.is_err());
        assert_eq!(std::fs::read_dir(&folder).expect("access the test directory").count(), 1);
        std::fs::remove_dir_all(&folder).expect("remove the test directory");
    });
}
