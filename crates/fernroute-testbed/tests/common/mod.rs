//! Scenarios for tests, and access to the shipped ones.
#![allow(dead_code)]

use fernroute_testbed::scenario::Scenario;
use std::path::PathBuf;

/// One upstream behind one balancer, without network delays and with deadlines that are never reached.
pub fn queue(rate: f64, work_ms: f64, cores: usize, seconds: f64) -> Scenario {
    decode(&format!(
        r#"name = "queue"
        seconds = {seconds}
        load = {{ rate = {rate} }}
        network = {{ same_zone_ms = 0, cross_zone_ms = 0, jitter = 0 }}
        [[method]]
        name = "ask"
        effect = "retriable"
        share = 1
        work_ms = {work_ms}
        soft_ms = 30000
        hard_ms = 30000
        [[tier]]
        name = "only"
        upstreams = 1
        balancers = 1
        cores = {cores}
        slots = 100000"#
    ))
}

/// Four upstreams, one method of each kind, and these faults.
pub fn small(faults: &str) -> Scenario {
    let method = |name: &str, effect: &str| {
        format!(
            "[[method]]\nname = \"{name}\"\neffect = \"{effect}\"\nshare = 1\nwork_ms = 20\nsoft_ms = 500\nhard_ms = 1000\n"
        )
    };
    decode(&format!(
        "name = \"small\"\nseconds = 12\nload = {{ rate = 100 }}\n{}{}{}\n[[tier]]\nname = \"only\"\nupstreams = 4\n\
         balancers = 2\ncores = 2\nslots = 20\ncell = 2\n{faults}",
        method("look", "retriable"),
        method("put", "deduped"),
        method("pay", "non_retriable"),
    ))
}

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("fernroute-testbed-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }

    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn decode(text: &str) -> Scenario {
    Scenario::decode(text).expect("a valid scenario")
}

pub fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../lab/scenarios")
}

/// All shipped scenarios.
pub fn shipped() -> Vec<Scenario> {
    let files = std::fs::read_dir(folder()).expect("the folder of scenarios");
    let mut paths: Vec<PathBuf> = files.map(|f| f.expect("a directory entry").path()).collect();
    paths.sort();
    paths.iter().map(|p| Scenario::read(p).expect("a valid scenario")).collect()
}
