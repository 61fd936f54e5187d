//! The balancers of a live run, one process each.

use super::discovery::DiscoveryAgent;
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

/// A balancer process.
pub(super) struct BalancerProcess {
    pub(super) name: String,
    pub(super) tier: usize,
    pub(super) zone: usize,
    pub(super) address: SocketAddr,
    pub(super) agent: Rc<DiscoveryAgent>,
    pub(super) process: Process,
    pub(super) alive: Cell<bool>,
    /// Idle connections to it.
    pub(super) idle: RefCell<Vec<Connection>>,
}

impl Lab {
    pub(super) fn balancer(&self, number: usize) -> Rc<BalancerProcess> {
        Rc::clone(&self.balancers.borrow()[number])
    }

    pub(super) async fn new_upstream_balancer(self: &Rc<Self>, upstream: usize) -> Result<(), String> {
        let stand_in = self.stand_in(upstream);
        let (tier, zone) = (stand_in.model.borrow().tier + 1, stand_in.model.borrow().zone);
        if tier < self.scenario.tier.len() {
            let index = self.start_balancer(tier, upstream, zone).await?;
            stand_in.balancer.set(Some(index));
        }
        Ok(())
    }

    /// Starts a balancer and waits until it reports its address.
    pub(super) async fn start_balancer(
        self: &Rc<Self>,
        tier: usize,
        number: usize,
        zone: usize,
    ) -> Result<usize, String> {
        /// Well above a normal start, also on a busy machine.
        const START_TIMEOUT: Duration = Duration::from_secs(10);
        let index = self.balancers.borrow().len();
        let agent = self.new_agent(index).await?;
        let is_up = |n: &usize| {
            let stand_in = self.stand_in(*n);
            let model = stand_in.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let known: Vec<usize> = (0..self.upstreams.borrow().len()).filter(is_up).collect();
        known.iter().for_each(|n| {
            self.record(&Event::Heard { balancer: index, upstream: *n, told: EndpointState::Ready })
        });
        let post = BalancerPosition { tier, number, instances: self.scenario.balancer_count(tier), zone };
        let seed = balancer_seed(self.seed, index);
        let name = format!("b{index}");
        let coordinators = self.coordinators.borrow().clone().filter(|_| tier == 0);
        let (file, file_text) = match coordinators {
            Some(coordinators) => {
                let entry = |n: &usize| {
                    let stand_in = self.stand_in(*n);
                    let model = stand_in.model.borrow();
                    (model.name.to_string(), stand_in.address.get(), model.zone, model.cell)
                };
                let known: Vec<_> = known.iter().map(entry).collect();
                let file_text =
                    coordinators.balancer_file(&self.scenario, post, agent.address, seed, &known).await?;
                (self.folder.join(format!("{name}.toml")), file_text)
            }
            None => {
                let known: Vec<Value> =
                    known.into_iter().map(|n| self.entry(n, EndpointState::Ready)).collect();
                let file_text = json!({
                    "name": name, "listen": "127.0.0.1:0", "discovery": agent.address, "seed": format!("{seed:016x}"),
                    "limits": {"sockets": 1024}, "known": {"version": 0, "full": true, "servers": known},
                    "settings": self.scenario.settings(post),
                });
                (self.folder.join(format!("{name}.json")), file_text.to_string())
            }
        };
        std::fs::write(&file, file_text).map_err(|e| format!("{}: {e}", file.display()))?;
        let (program, arguments) =
            self.balancer_command.split_first().ok_or("no balancer program is given")?;
        let mut command = Command::new(program);
        command.args(arguments).arg("--config").arg(&file).stdout(Stdio::null());
        // With the default directory it would take over from a balancer of the same name of another run.
        command.env("TMPDIR", &self.folder);
        let process = Process::launch(command).map_err(|e| format!("{program}: {e}"))?;
        let address = process
            .logged_address("serving on ", START_TIMEOUT)
            .await
            .map_err(|error| format!("{program}: {error}"))?;
        let (alive, idle) = (Cell::new(true), RefCell::default());
        self.balancers.borrow_mut().push(Rc::new(BalancerProcess {
            name,
            tier,
            zone,
            address,
            agent,
            process,
            alive,
            idle,
        }));
        Ok(index)
    }

    pub(super) fn kill_balancer(&self, number: usize) {
        let balancer = self.balancer(number);
        balancer.alive.set(false);
        self.record(&Event::BalancerDied { balancer: number });
        balancer.agent.serving.abort();
        balancer.process.kill();
        balancer.idle.borrow_mut().clear();
    }
}
