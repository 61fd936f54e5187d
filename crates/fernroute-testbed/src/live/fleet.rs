//! The stewards of a real run, the links that its balancers reach them by, and what a balancer of a fleet is told: a file of
//! this project's own form, since the platform's names no fleet.

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

/// Far longer than an election takes, on a busy machine too.
const LEADS: Duration = Duration::from_secs(10);

pub(super) struct Stewards {
    words: Vec<String>,
    pages: Vec<PathBuf>,
    addresses: Vec<SocketAddr>,
    pub(super) processes: RefCell<Vec<Process>>,
    /// By the place of a balancer of the first tier: its ways to the stewards.
    links: RefCell<BTreeMap<usize, Vec<Rc<Link>>>>,
}

impl Stewards {
    /// Starts as many as the scenario has, and waits until one leads.
    pub(super) async fn start(scenario: &Scenario, words: &[String], folder: &Path) -> Result<Self, String> {
        let f = &scenario.fleet;
        let all = free_addresses(f.stewards).map_err(|e| e.to_string())?;
        let mut list = String::new();
        for (n, at) in all.iter().enumerate() {
            let _ = writeln!(list, "[[steward]]\nname = \"s{n}\"\naddress = \"{at}\"");
        }
        for t in &scenario.tenant {
            let _ =
                writeln!(list, "[[budget]]\nname = {:?}\nwhole = {}\nfloors = {}", t.name, t.rate, f.floors);
        }
        let mut pages = Vec::new();
        for n in 0..all.len() {
            let page = folder.join(format!("s{n}.toml"));
            let text = format!(
                "cluster = {:?}\nname = \"s{n}\"\nfolder = {:?}\nmembers = {}\nshares_ms = {}\nbeat_ms = {}\nfloors_s = {}\n\
                 drift_ppm = {}\n{list}",
                scenario.name,
                folder.join(format!("s{n}")),
                scenario.tier[0].balancers,
                f.shares_for_ms,
                f.beat_ms,
                f.floors_for_s,
                f.drift_ppm
            );
            std::fs::write(&page, text).map_err(|e| format!("{}: {e}", page.display()))?;
            pages.push(page);
        }
        let stewards = Stewards {
            words: words.to_vec(),
            pages,
            addresses: all,
            processes: RefCell::default(),
            links: RefCell::default(),
        };
        for n in 0..stewards.pages.len() {
            let process = stewards.launch(n)?;
            stewards.processes.borrow_mut().push(process);
        }
        let leads = async {
            while stewards.leader().await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let led = tokio::time::timeout(LEADS, leads).await;
        led.map_err(|_| format!("no steward leads: {:?}", stewards.processes.borrow()[0].log()))?;
        Ok(stewards)
    }

    fn launch(&self, n: usize) -> Result<Process, String> {
        let (word, words) = self.words.split_first().ok_or("no program is named for stewards")?;
        let mut command = Command::new(word);
        command.args(words).arg("--config").arg(&self.pages[n]).stdout(Stdio::null());
        Process::launch(command).map_err(|e| format!("{word}: {e}"))
    }

    /// Which one leads, by its own word.
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

    /// With its disk.
    pub(super) fn start_again(&self, n: usize) -> Result<(), String> {
        let process = self.launch(n)?;
        self.processes.borrow_mut()[n] = process;
        Ok(())
    }

    /// Cuts a balancer's ways to all stewards, or opens them again.
    pub(super) fn cut(&self, place: usize, cut: bool) {
        let links = self.links.borrow();
        let ways = links.get(&place).into_iter().flatten();
        ways.for_each(|link| if cut { link.refuse_connections() } else { link.restore() });
    }

    /// What the balancer at this place is told. One that starts again is the same one.
    pub(super) async fn page(
        &self,
        scenario: &Scenario,
        post: BalancerPosition,
        discovery: SocketAddr,
        seed: u64,
        known: &[(String, SocketAddr, usize, usize)],
    ) -> Result<String, String> {
        let mut ways = Vec::new();
        for at in &self.addresses {
            ways.push(Link::start(*at).await.map_err(|e| e.to_string())?);
        }
        let to: Vec<String> = ways.iter().map(|way| format!("\"{}\"", way.address)).collect();
        self.links.borrow_mut().insert(post.number, ways);
        let (r, f) = (&scenario.rules, &scenario.fleet);
        let mut page = format!(
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
                page,
                "[[method]]\nname = {:?}\neffect = \"{effect}\"\nsoft_ms = {}\nhard_ms = {}\ngain = {}",
                m.name, m.soft_ms, m.hard_ms, m.gain
            );
            if m.effect == Effect::Deduped {
                let group = match m.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                let _ = writeln!(page, "group = \"{group}\"\nwindow_s = {}", m.window_s);
            }
        }
        for t in &scenario.tenant {
            let _ = writeln!(page, "[[tenant]]\nname = {:?}\nrate = {}", t.name, t.rate);
        }
        for (id, at, zone, cell) in known {
            let zone = zone_name(*zone);
            let _ = writeln!(
                page,
                "[[upstream]]\nid = {id:?}\naddress = \"{at}\"\nzone = \"{zone}\"\ncell = \"{cell}\""
            );
        }
        Ok(page)
    }
}
