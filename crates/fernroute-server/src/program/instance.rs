//! Where this balancer stands: its name and addresses, its limits, its terms, the upstreams it knew last.

use crate::protocol::list::{self, Entry, List, State};
use crate::protocol::terms;
use fernroute::action_queue::ActionQueue;
use fernroute::{Balancer, InvalidSetting, Settings};
use fernroute_config::{Fleet, LEAST_DESCRIPTORS, MOST_MEGABYTES, USUAL_DESCRIPTORS, USUAL_MEGABYTES};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A part that a fleet's stewards hand out: whose it is, and its text.
pub type Layer = (String, String);

#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    /// The most descriptors that the program may hold.
    pub descriptors: usize,
    /// The most memory that it may hold, in bytes.
    pub memory: usize,
    /// The list as this balancer had it last, if it ever had one.
    pub known: Option<List>,
    /// Discovery's version of it, from which on changes are enough; else the whole list is asked for.
    pub since: Option<u64>,
    /// The fleet that it is of, where its tenants' shares are divided by a ledger. The platform's files name none.
    pub fleet: Option<Fleet>,
    pub terms: Settings,
}

/// A term that will not do, in the words of the file.
pub fn bad_setting(bad: &InvalidSetting) -> String {
    format!("settings: {} {}", bad.why, fernroute_settings::path_of(&bad.setting))
}

/// The file as it is written.
#[derive(Deserialize)]
struct RawInstance {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    ops: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: USUAL_DESCRIPTORS, memory_mb: USUAL_MEGABYTES as f64 }
    }
}

impl Instance {
    pub fn read(path: &Path) -> Result<Self, String> {
        Instance::of(path, &Instance::text(path)?, &[])
    }

    /// What stands in the file.
    pub fn text(path: &Path) -> Result<String, String> {
        std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The file with this text, and what a fleet's stewards hand out laid over it.
    pub fn of(path: &Path, text: &str, parts: &[Layer]) -> Result<Self, String> {
        let own = path.extension().is_some_and(|e| e == "toml");
        let station = if own { Instance::decode_under(text, parts) } else { Instance::decode(text) };
        let station = station.map_err(|e| format!("{}: {e}", path.display()))?;
        station.with_door(std::env::var("NODE_OPS").ok().as_deref())
    }

    /// The operators' address from the environment comes before the file's: a tool sets it for one start.
    fn with_door(mut self, named: Option<&str>) -> Result<Self, String> {
        if let Some(named) = named.filter(|named| !named.is_empty()) {
            self.ops = Some(named.parse().map_err(|e| format!("$NODE_OPS: {named}: {e}"))?);
        }
        if self.ops == Some(self.listen) && self.listen.port() != 0 {
            return Err(format!("ops and listen are both {}", self.listen));
        }
        Ok(self)
    }

    /// A file of an installation of its own; all that is wrong with it, in one line.
    pub fn decode_own(text: &str) -> Result<Self, String> {
        Instance::decode_under(text, &[])
    }

    /// The same, under parts that a fleet's stewards hand out, the first the widest.
    pub fn decode_under(text: &str, parts: &[Layer]) -> Result<Self, String> {
        let plan = match parts {
            [] => fernroute_config::decode(text),
            parts => {
                let parts: Vec<(&str, &str)> = parts.iter().map(|(of, text)| (&**of, &**text)).collect();
                fernroute_config::layers::load(text, &parts)
            }
        };
        let plan =
            plan.map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
        let entry = |u: fernroute_config::Upstream| Entry {
            id: u.id,
            state: State::Ready,
            address: Some(u.address),
            zone: u.zone,
            cell: u.cell,
            kind: u.kind,
            started_ms: 0,
        };
        let entries: Vec<Entry> = plan.upstreams.into_iter().map(entry).collect();
        let known = (!entries.is_empty()).then_some(List { version: 0, full: true, entries });
        // Another with each start, where the file does not say.
        let by_clock = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Ok(Instance {
            name: plan.name,
            listen: plan.listen,
            discovery: plan.discovery,
            ops: plan.ops,
            seed: plan.seed.unwrap_or_else(by_clock),
            descriptors: plan.descriptors,
            memory: plan.megabytes << 20,
            known,
            since: None,
            fleet: plan.fleet,
            terms: plan.terms,
        })
    }

    pub fn decode(text: &str) -> Result<Self, String> {
        let page: RawInstance = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if page.limits.sockets < LEAST_DESCRIPTORS {
            return Err(format!("limits.sockets is under {LEAST_DESCRIPTORS}"));
        }
        if !(1.0..=MOST_MEGABYTES as f64).contains(&page.limits.memory_mb) {
            return Err(format!("limits.memory_mb is not between 1 and {MOST_MEGABYTES}"));
        }
        let known = match page.known {
            Value::Null => None,
            known => Some(list::decode(&known).ok_or("known is not a list of upstreams")?),
        };
        Ok(Instance {
            name: page.name,
            listen: page.listen,
            discovery: page.discovery,
            ops: page.ops,
            seed: u64::from_str_radix(&page.seed, 16).map_err(|e| format!("seed: {e}"))?,
            descriptors: page.limits.sockets,
            memory: (page.limits.memory_mb * (1 << 20) as f64) as usize,
            since: known.as_ref().map(|known| known.version),
            known,
            fleet: None,
            terms: terms::decode(&page.settings),
        })
    }

    /// What `new` says otherwise that a running balancer can't take over. The seed is for starts alone, and the
    /// list that was known is older than the one that this balancer has.
    pub fn differs(&self, new: &Instance) -> Vec<String> {
        let mut what = Vec::new();
        let mut note = |differs: bool, name: &str| what.extend(differs.then(|| name.to_owned()));
        note(self.name != new.name, "name");
        note(self.listen != new.listen, "listen");
        note(self.ops != new.ops, "ops");
        note(self.fleet != new.fleet, "fleet");
        note(self.memory != new.memory, "limits.memory_mb");
        note(self.descriptors != new.descriptors, "limits.sockets");
        // Connections are made with these when an upstream is first named.
        for name in ["limits.connect_time_out", "limits.keep_alive"] {
            let path = format!("settings.{}", fernroute_settings::path_of(name));
            note(self.terms.get(name) != new.terms.get(name), &path);
        }
        what
    }

    /// Whether a balancer can start with these terms.
    pub fn check(&self) -> Result<(), String> {
        let balancer = Balancer::new(ActionQueue::default(), 0, self.seed, &self.terms);
        balancer.map(drop).map_err(|bad| bad_setting(&bad))
    }
}
