//! Layout of a scale run: services, their balancers and upstreams, zones, and configuration files.

use super::file::Plan;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Most processes of a run.
pub const MAX_PROCESSES: usize = 1_024;

/// Largest share of the machine's memory that a run may use.
pub const MAX_MEMORY_SHARE: f64 = 0.5;

/// Memory estimates in kB for the check before the start, above any measured value.
const ESTIMATED_PROCESS_KB: u64 = 24_000;
const ESTIMATED_HOLLOW_KB: u64 = 2_000;
const ESTIMATED_COORDINATOR_KB: u64 = 200_000;

pub const TENANT: &str = "t";
pub const CLUSTER: &str = "scale";

#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub size: usize,
    /// Indices of the services whose upstreams its balancers use.
    pub calls: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub service: usize,
    /// Its number in the service.
    pub number: usize,
    pub zone: String,
    pub real: bool,
}

/// A plan with its services and members.
#[derive(Clone, Debug)]
pub struct Layout {
    pub plan: Plan,
    pub zones: Vec<String>,
    pub services: Vec<Service>,
    pub members: Vec<Member>,
    /// Indices of the members of each hollow process. All members of a process are in one zone, so that
    /// a zone can be lost.
    pub hollow: Vec<Vec<usize>>,
}

/// Name of the kind where real and hollow balancers are counted separately.
pub fn kind(real: bool) -> &'static str {
    if real {
        "real"
    } else {
        "hollow"
    }
}

impl Layout {
    pub fn new(plan: Plan) -> Self {
        let zones: Vec<String> = plan.region.iter().flat_map(|region| region.zones.clone()).collect();
        let mut first = BTreeMap::new();
        let mut names = Vec::new();
        for group in &plan.service {
            first.insert(group.name.as_str(), (names.len(), group.count));
            for n in 0..group.count {
                let name = if n == 0 { group.name.clone() } else { format!("{}-{n}", group.name) };
                names.push((name, group, n));
            }
        }
        let services: Vec<Service> = names
            .iter()
            .map(|(name, group, n)| {
                let of = |called: &String| first.get(called.as_str()).map(|(at, count)| at + n % count);
                let calls = group.calls.iter().filter_map(of).collect();
                Service { name: name.clone(), size: group.size, calls }
            })
            .collect();
        let all: usize = services.iter().map(|s| s.size).sum();
        let mut members = Vec::new();
        for (service, s) in services.iter().enumerate() {
            for number in 0..s.size {
                let at = members.len();
                let zone = zones[at % zones.len()].clone();
                // Spreads the real balancers evenly over all members.
                let real = (at + 1) * plan.real / all > at * plan.real / all;
                members.push(Member { name: format!("{}.{number}", s.name), service, number, zone, real });
            }
        }
        let mut hollow = Vec::new();
        for zone in &zones {
            let of_zone = |(_, m): &(usize, &Member)| !m.real && m.zone == *zone;
            let places: Vec<usize> =
                members.iter().enumerate().filter(of_zone).map(|(place, _)| place).collect();
            hollow.extend(places.chunks(plan.per_process).map(<[usize]>::to_vec));
        }
        Layout { plan, zones, services, members, hollow }
    }

    pub fn real_count(&self) -> usize {
        self.members.iter().filter(|m| m.real).count()
    }

    /// Coordinators, balancers, and the stand-ins for discovery and upstreams.
    pub fn process_count(&self) -> usize {
        self.hollow.len() + self.real_count() + self.plan.coordinators.len() + 2
    }

    /// Estimated memory of the run, an upper bound.
    pub fn estimated_memory_kb(&self) -> u64 {
        let hollow = self.members.len() - self.real_count();
        self.process_count() as u64 * ESTIMATED_PROCESS_KB
            + hollow as u64 * ESTIMATED_HOLLOW_KB
            + self.plan.coordinators.len() as u64 * ESTIMATED_COORDINATOR_KB
    }

    /// The reason why this machine may not run it, if any. Checked before anything is started.
    pub fn rejection_reason(&self, memory_kb: u64) -> Option<String> {
        let processes = self.process_count();
        if processes > MAX_PROCESSES {
            return Some(format!(
                "per_process: {processes} processes needed, {MAX_PROCESSES} at the most are allowed"
            ));
        }
        let (needed_mb, allowed_mb) =
            (self.estimated_memory_kb() / 1000, (memory_kb as f64 * MAX_MEMORY_SHARE) as u64 / 1000);
        (needed_mb > allowed_mb)
            .then(|| format!("about {needed_mb} MB needed, half of this machine's memory is {allowed_mb} MB"))
    }

    /// The upstreams that the balancers of this service use, as `(id, zone)`.
    pub fn callable_upstreams(&self, service: usize) -> Vec<(String, &str)> {
        let called = &self.services[service].calls;
        let members = self.members.iter().filter(|m| called.contains(&m.service));
        members.map(|m| (format!("u-{}", m.name), m.zone.as_str())).collect()
    }

    /// A balancer's configuration file. `discovery` and `coordinators` are the addresses it connects to.
    pub fn balancer_file(&self, at: usize, discovery: SocketAddr, coordinators: &[SocketAddr]) -> String {
        let (m, s) = (&self.members[at], &self.services[self.members[at].service]);
        let coordinators: Vec<String> = coordinators.iter().map(|at| format!("\"{at}\"")).collect();
        // The operations server also gets a free port. It has another IP since a file that names one
        // address twice is rejected.
        let mut text = format!(
            "name = \"{}\"\nlisten = \"127.0.0.1:0\"\nops = \"127.0.0.2:0\"\ndiscovery = \"{discovery}\"\n\
             [place]\ninstances = {}\nnumber = {}\nzone = \"{}\"\n[load]\nrefuse_over_share = true\n\
             [fleet]\ncluster = \"{CLUSTER}\"\nservice = \"{}\"\nstewards = [{}]\nbeat_ms = {}\n\
             [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
             [limits]\ntransmissions = 3\n\
             [[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = 1000\nhard_ms = 3000\n",
            m.name,
            s.size,
            m.number,
            m.zone,
            s.name,
            coordinators.join(", "),
            self.plan.beat_ms,
        );
        for n in 0..self.plan.budgets {
            let _ = write!(text, "[[tenant]]\nname = \"{TENANT}{n}\"\nrate = {}\n", self.plan.whole);
        }
        text
    }

    /// A coordinator's configuration file. `list` has the address of each coordinator as seen from this
    /// one.
    pub fn coordinator_file(&self, at: usize, folder: &str, list: &[SocketAddr]) -> String {
        // Capacity for all members, and for those that restart before their old entries expire.
        let mut text = format!(
            "cluster = \"{CLUSTER}\"\nname = \"s{at}\"\nfolder = \"{folder}\"\nmembers = {}\nshares_ms = {}\nfloors_s = 15\nbeat_ms = {}\n",
            self.members.len() + self.members.len() / 8 + 1,
            (8 * self.plan.beat_ms).max(2000),
            self.plan.beat_ms,
        );
        for (n, at) in list.iter().enumerate() {
            let _ = write!(text, "[[steward]]\nname = \"s{n}\"\naddress = \"{at}\"\n");
        }
        for n in 0..self.plan.budgets {
            let (whole, floors) = (self.plan.whole, self.plan.floors);
            let _ = write!(text, "[[budget]]\nname = \"{TENANT}{n}\"\nwhole = {whole}\nfloors = {floors}\n");
        }
        text
    }
}
