//! The coordinators of a live run, the links between them and the balancers, and the configuration files
//! of a fleet's balancers. These files use the project's own format, since the platform's format has no
//! fleet section.

use crate::policy::BalancerPosition;
use crate::processes::status;
use crate::scenario::{zone_name, Effect, Group, Scenario};
use fernroute_test_support::link::Link;
use fernroute_test_support::process::{free_addresses, Process};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Well above a normal election, also on a busy machine.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(10);

pub(super) struct Coordinators {
    command: Vec<String>,
    files: Vec<PathBuf>,
    addresses: Vec<SocketAddr>,
    pub(super) processes: RefCell<Vec<Process>>,
    /// Links to the coordinators, by the balancer's position in the first tier.
    links: RefCell<BTreeMap<usize, Vec<Rc<Link>>>>,
}

impl Coordinators {
    /// Starts the scenario's coordinators and waits until one leads.
    pub(super) async fn start(
        scenario: &Scenario,
        command: &[String],
        folder: &Path,
    ) -> Result<Self, String> {
        let f = &scenario.fleet;
        let all = free_addresses(f.stewards).map_err(|e| e.to_string())?;
        let mut shared_sections = String::new();
        for (n, at) in all.iter().enumerate() {
            let _ = writeln!(shared_sections, "[[steward]]\nname = \"s{n}\"\naddress = \"{at}\"");
        }
        for t in &scenario.tenant {
            let _ = writeln!(
                shared_sections,
                "[[budget]]\nname = {:?}\nwhole = {}\nfloors = {}",
                t.name, t.rate, f.floors
            );
        }
        let mut files = Vec::new();
        for n in 0..all.len() {
            let file_text = folder.join(format!("s{n}.toml"));
            let text = format!(
                "cluster = {:?}\nname = \"s{n}\"\nfolder = {:?}\nmembers = {}\nshares_ms = {}\nbeat_ms = {}\nfloors_s = {}\n\
                 drift_ppm = {}\n{shared_sections}",
                scenario.name,
                folder.join(format!("s{n}")),
                scenario.tier[0].balancers,
                f.shares_for_ms,
                f.beat_ms,
                f.floors_for_s,
                f.drift_ppm
            );
            std::fs::write(&file_text, text).map_err(|e| format!("{}: {e}", file_text.display()))?;
            files.push(file_text);
        }
        let coordinators = Coordinators {
            command: command.to_vec(),
            files,
            addresses: all,
            processes: RefCell::default(),
            links: RefCell::default(),
        };
        for n in 0..coordinators.files.len() {
            let process = coordinators.launch(n)?;
            coordinators.processes.borrow_mut().push(process);
        }
        let election = async {
            while coordinators.leader().await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let elected = tokio::time::timeout(ELECTION_TIMEOUT, election).await;
        elected.map_err(|_| {
            format!("no coordinator became leader: {:?}", coordinators.processes.borrow()[0].log())
        })?;
        Ok(coordinators)
    }

    fn launch(&self, n: usize) -> Result<Process, String> {
        let (program, arguments) = self.command.split_first().ok_or("no coordinator program is given")?;
        let mut command = Command::new(program);
        command.args(arguments).arg("--config").arg(&self.files[n]).stdout(Stdio::null());
        Process::launch(command).map_err(|e| format!("{program}: {e}"))
    }

    /// The coordinator that reports itself leader, if any.
    pub(super) async fn leader(&self) -> Option<usize> {
        for (n, at) in self.addresses.iter().enumerate() {
            let running = self.processes.borrow()[n].is_running();
            if running && status(*at).await.is_some_and(|status| status.state == "leader") {
                return Some(n);
            }
        }
        None
    }

    pub(super) fn kill(&self, n: usize) {
        self.processes.borrow()[n].kill();
    }

    /// Restarts a coordinator with its existing data.
    pub(super) fn restart(&self, n: usize) -> Result<(), String> {
        let process = self.launch(n)?;
        self.processes.borrow_mut()[n] = process;
        Ok(())
    }

    /// Cuts the links of a balancer to all coordinators, or restores them.
    pub(super) fn cut(&self, position: usize, cut: bool) {
        let links = self.links.borrow();
        let links = links.get(&position).into_iter().flatten();
        links.for_each(|link| if cut { link.refuse_connections() } else { link.restore() });
    }

    /// The configuration file of the balancer at this position. It keeps its identity over a restart.
    pub(super) async fn balancer_file(
        &self,
        scenario: &Scenario,
        post: BalancerPosition,
        discovery: SocketAddr,
        seed: u64,
        known: &[(String, SocketAddr, usize, usize)],
    ) -> Result<String, String> {
        let mut links = Vec::new();
        for at in &self.addresses {
            links.push(Link::start(*at).await.map_err(|e| e.to_string())?);
        }
        let to: Vec<String> = links.iter().map(|link| format!("\"{}\"", link.address)).collect();
        self.links.borrow_mut().insert(post.number, links);
        let (r, f) = (&scenario.rules, &scenario.fleet);
        let mut file_text = format!(
            "name = \"p{}\"\nlisten = \"127.0.0.1:0\"\ndiscovery = \"{discovery}\"\nseed = \"{seed:016x}\"\n\
             [place]\ntier = {}\nnumber = {}\ninstances = {}\nzone = \"{}\"\n\
             [load]\nreports = [\"utilisation\"]\nrefuse_over_share = true\n\
             [fleet]\ncluster = {:?}\nstewards = [{}]\nbeat_ms = {}\n\
             [limits]\ntransmissions = {}\ncancel = true\nconnect_ms = 250\nkeep_alive_s = 30\nretry_after = true\n\
             retry_after_s = {}\n\
             [rules]\ncold_from = {}\nwarm_within_s = {}\ncold_multiple = {}\ncold_window_s = {}\ndrain_grace_ms = {}\n",
            post.number,
            post.tier,
            post.number,
            post.instances,
            zone_name(post.zone),
            scenario.name,
            to.join(", "),
            f.beat_ms,
            r.max_transmissions,
            r.max_stay_away_ms / 1000.0,
            r.cold_from,
            r.warm_within_s,
            r.cold_multiple,
            r.cold_window_s,
            r.drain_grace_ms,
        );
        for m in &scenario.method {
            let effect = match m.effect {
                Effect::Retriable => "retriable",
                Effect::Deduped => "deduped",
                Effect::NonRetriable => "non_retriable",
            };
            let _ = writeln!(
                file_text,
                "[[method]]\nname = {:?}\neffect = \"{effect}\"\nsoft_ms = {}\nhard_ms = {}\ngain = {}",
                m.name, m.soft_ms, m.hard_ms, m.gain
            );
            if m.effect == Effect::Deduped {
                let group = match m.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                let _ = writeln!(file_text, "group = \"{group}\"\nwindow_s = {}", m.window_s);
            }
        }
        for t in &scenario.tenant {
            let _ = writeln!(file_text, "[[tenant]]\nname = {:?}\nrate = {}", t.name, t.rate);
        }
        for (id, at, zone, cell) in known {
            let zone = zone_name(*zone);
            let _ = writeln!(
                file_text,
                "[[upstream]]\nid = {id:?}\naddress = \"{at}\"\nzone = \"{zone}\"\ncell = \"{cell}\""
            );
        }
        Ok(file_text)
    }
}
