//! Real stewards on loopback that hand out what balancers go by, and balancers played by the parts that decide in real ones.

mod common;

use common::balancer::Balancer;
use common::{run, until, Stewards, WITHIN};
use fernroute_fleet::configuration::{Fetch, Fetched, Place, Version, FETCH};
use std::path::PathBuf;

/// A content that loads, told from others by its number.
fn content(n: u64) -> String {
    format!("[limits]\nretry_after_s = {n}\n")
}

fn write(stewards: &Stewards, name: &str, content: &str) -> String {
    let path: PathBuf = stewards.folder.join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

/// Puts it and takes it for entered; its version.
async fn put(stewards: &Stewards, scope: &str, content: &str, more: &[&str]) -> Version {
    let file = write(stewards, "part.toml", content);
    let words = [&["configuration", "put", &file, "--scope", scope], more].concat();
    let (code, said, why) = stewards.command(&words).await;
    assert_eq!(code, 0, "{said}{why}");
    let version = said.lines().next().and_then(|line| line.strip_prefix("version "));
    version.and_then(|version| version.parse().ok()).unwrap_or_else(|| panic!("no version: {said}"))
}

/// What one steward hands out.
async fn fetch(stewards: &Stewards, n: usize, want: Version) -> Result<Fetched, String> {
    let place = Place { name: "n9".to_owned(), service: "web".to_owned(), zone: "a".to_owned() };
    let fetch = Fetch { place, have: 0, want };
    stewards.peers.say(&stewards.places[n].address.to_string(), FETCH, 0, &fetch, WITHIN).await
}

/// Guards against a change that goes to whom it does not concern, or not to whom it does; against a leader that is the only
/// one to hand it out; and against a member of an older version that is told of what it does not know.
#[test]
fn a_change_is_in_force_at_whom_it_concerns_and_every_steward_hands_it_out() {
    run(async {
        let mut stewards = Stewards::new("reach", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        let web = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
        ];
        let api = [Balancer::new(&stewards, 3, "n2", "api", "a", 2)];
        let old = Balancer::new(&stewards, 4, "n3", "", "", 0);
        until(|| async { web.iter().chain(&api).chain([&old]).all(|b| b.view.beats.get() > 0) }).await;
        assert_eq!(put(&stewards, "all", &content(1), &["--wait", "30"]).await, 1);
        assert_eq!(put(&stewards, "service/web/zone/a", &content(2), &["--wait", "30"]).await, 2);
        assert_eq!(put(&stewards, "balancer/n2", &content(3), &["--wait", "30"]).await, 3);
        assert_eq!(web.each_ref().map(Balancer::in_force), [2, 1]);
        assert_eq!(web[0].says(), [content(1), content(2)]);
        assert_eq!(api[0].says(), [content(1), content(3)]);
        for n in 0..3 {
            until(|| async {
                let Ok(Fetched::Parts { version, parts, .. }) = fetch(&stewards, n, 2).await else {
                    return false;
                };
                let said: Vec<String> = parts.into_iter().map(|part| part.content).collect();
                version == 2 && said == [content(1), content(2)]
            })
            .await;
            assert_eq!(fetch(&stewards, n, 4).await, Ok(Fetched::Behind));
        }
        // It is told of nothing, and has its grants.
        assert!(old.in_force() == 0);
        until(|| async { old.view.holds.get() > 0 }).await;
        let (_, said, _) = stewards.command(&["configuration", "status"]).await;
        assert!(
            said.contains("3 in force, 0 on its way, 0 refused, 0 ahead, 0 not heard of, 1 follow none"),
            "{said}"
        );
    });
}
