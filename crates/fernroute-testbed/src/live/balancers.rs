//! The real balancers of a run, a process each.

use super::discovery::Agent;
use super::Lab;
use crate::demand::balancer_seed;
use crate::policy::BalancerPosition;
use crate::trace::{EndpointState, Event};
use crate::upstream::State;
use fernroute_test_support::http::Connection;
use fernroute_test_support::process::Process;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

/// A real balancer, by its number in the run.
pub(super) struct Node {
    pub(super) name: String,
    pub(super) tier: usize,
    pub(super) zone: usize,
    pub(super) address: SocketAddr,
    pub(super) agent: Rc<Agent>,
    pub(super) process: Process,
    pub(super) alive: Cell<bool>,
    /// Connections to it that stand idle.
    pub(super) idle: RefCell<Vec<Connection>>,
}

impl Lab {
    pub(super) fn node(&self, number: usize) -> Rc<Node> {
        Rc::clone(&self.nodes.borrow()[number])
    }

    pub(super) async fn new_balancer_of(self: &Rc<Self>, upstream: usize) -> Result<(), String> {
        let stand = self.stand(upstream);
        let (tier, zone) = (stand.model.borrow().tier + 1, stand.model.borrow().zone);
        if tier < self.scenario.tier.len() {
            let node = self.new_node(tier, upstream, zone).await?;
            stand.balancer.set(Some(node));
        }
        Ok(())
    }

    /// Starts a real balancer, and waits until it says where it serves.
    pub(super) async fn new_node(
        self: &Rc<Self>,
        tier: usize,
        number: usize,
        zone: usize,
    ) -> Result<usize, String> {
        /// Far longer than a start takes, on a busy machine too.
        const START: Duration = Duration::from_secs(10);
        let node = self.nodes.borrow().len();
        let agent = self.new_agent(node).await?;
        let up = |n: &usize| {
            let stand = self.stand(*n);
            let model = stand.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let known: Vec<usize> = (0..self.stands.borrow().len()).filter(up).collect();
        known.iter().for_each(|n| {
            self.observe(&Event::Heard { balancer: node, upstream: *n, told: EndpointState::Ready })
        });
        let post = BalancerPosition { tier, number, instances: self.scenario.balancer_count(tier), zone };
        let seed = balancer_seed(self.seed, node);
        let name = format!("b{node}");
        let stewards = self.stewards.borrow().clone().filter(|_| tier == 0);
        let (file, page) = match stewards {
            Some(stewards) => {
                let entry = |n: &usize| {
                    let stand = self.stand(*n);
                    let model = stand.model.borrow();
                    (model.name.to_string(), stand.address.get(), model.zone, model.cell)
                };
                let known: Vec<_> = known.iter().map(entry).collect();
                let page = stewards.page(&self.scenario, post, agent.address, seed, &known).await?;
                (self.folder.join(format!("{name}.toml")), page)
            }
            None => {
                let known: Vec<Value> =
                    known.into_iter().map(|n| self.entry(n, EndpointState::Ready)).collect();
                let page = json!({
                    "name": name, "listen": "127.0.0.1:0", "discovery": agent.address, "seed": format!("{seed:016x}"),
                    "limits": {"sockets": 1024}, "known": {"version": 0, "full": true, "servers": known},
                    "settings": self.scenario.settings(post),
                });
                (self.folder.join(format!("{name}.json")), page.to_string())
            }
        };
        std::fs::write(&file, page).map_err(|e| format!("{}: {e}", file.display()))?;
        let (word, words) = self.program.split_first().ok_or("no program is named")?;
        let mut command = Command::new(word);
        command.args(words).arg("--config").arg(&file).stdout(Stdio::null());
        // Else it would take over from the balancer of that name of another run.
        command.env("TMPDIR", &self.folder);
        let process = Process::launch(command).map_err(|e| format!("{word}: {e}"))?;
        let address =
            process.logged_address("serving on ", START).await.map_err(|why| format!("{word}: {why}"))?;
        let (alive, idle) = (Cell::new(true), RefCell::default());
        self.nodes.borrow_mut().push(Rc::new(Node {
            name,
            tier,
            zone,
            address,
            agent,
            process,
            alive,
            idle,
        }));
        Ok(node)
    }

    pub(super) fn balancer_dies(&self, number: usize) {
        let node = self.node(number);
        node.alive.set(false);
        self.observe(&Event::BalancerDied { balancer: number });
        node.agent.serving.abort();
        node.process.kill();
        node.idle.borrow_mut().clear();
    }
}
