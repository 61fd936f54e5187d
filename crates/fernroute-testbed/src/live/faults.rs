//! The faults of a scenario, as they come due.

use super::Lab;
use crate::demand::{fault_targets, DRAINED_EXIT_DELAY_S};
use crate::scenario::{seconds, Fault, FaultKind};
use crate::trace::EndpointState;
use crate::upstream::{FaultEffect, State};
use fernroute::Time;
use fernroute_server::routing::clock::duration;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

impl Lab {
    pub(super) async fn fault(self: Rc<Self>, i: usize, fault: &Fault, from: Time) {
        let at = |s: f64| self.start + duration(from + seconds(s));
        sleep_until(at(fault.at_s)).await;
        let tier = self.scenario.tier_of(fault);
        let d = &self.scenario.discovery;
        let up = |n: &usize| {
            let stand = self.stand(*n);
            let model = stand.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let all = (0..self.stands.borrow().len()).filter(up);
        let all = all.map(|n| (n, self.stand(n).model.borrow().zone)).collect();
        let all = fault_targets(fault, i, self.seed, all);
        for n in &all {
            let afflict = |a| {
                self.stand(*n).model.borrow_mut().fault_effects.insert(i, a);
            };
            match fault.kind {
                FaultKind::Crash => {
                    self.die(*n, State::Dead);
                    self.announce(*n, EndpointState::Gone, d.late_ms);
                }
                FaultKind::Vanish | FaultKind::ZoneLoss => {
                    self.die(*n, State::Silent);
                    self.announce(*n, EndpointState::Gone, d.gone_late_ms);
                }
                FaultKind::Drain => {
                    self.stand(*n).model.borrow_mut().state = State::Draining;
                    self.announce(*n, EndpointState::Drains, d.late_ms);
                }
                FaultKind::Slow => afflict(FaultEffect::Slow(fault.size)),
                FaultKind::FastErrors => afflict(FaultEffect::Errors(fault.size)),
                FaultKind::Hang => afflict(FaultEffect::Hang),
                _ => {}
            }
        }
        let (mut lost, mut cut, mut down) = (Vec::new(), Vec::new(), Vec::new());
        let stewards = self.stewards.borrow().clone();
        match fault.kind {
            FaultKind::StewardsDown => down = (0..self.scenario.fleet.stewards).collect(),
            FaultKind::LeaderLoss => {
                if let Some(stewards) = &stewards {
                    down.extend(stewards.leader().await);
                }
            }
            FaultKind::FleetCut => {
                let all = (0..self.first.borrow().len()).map(|n| (n, 0)).collect();
                cut = fault_targets(fault, i, self.seed, all);
            }
            FaultKind::BalancerLoss => {
                let alive = |n: &usize| self.node(self.first.borrow()[*n]).alive.get();
                let all = (0..self.first.borrow().len()).filter(alive).map(|n| (n, 0)).collect();
                lost = fault_targets(fault, i, self.seed, all);
                lost.iter().for_each(|n| self.balancer_dies(self.first.borrow()[*n]));
            }
            FaultKind::ReportsLate => drop(self.reports_late.borrow_mut().insert(i, seconds(fault.size))),
            FaultKind::ListDown => {
                let until = from + seconds(fault.at_s + fault.for_s);
                self.list_down_until.set(self.list_down_until.get().max(until));
            }
            _ => {}
        }
        if let Some(stewards) = &stewards {
            down.iter().for_each(|n| stewards.kill(*n));
            cut.iter().for_each(|n| stewards.cut(*n, true));
        }
        let end = fault.at_s + fault.for_s;
        match fault.kind {
            FaultKind::Replace => {
                let apart = fault.for_s / all.len().max(1) as f64;
                for (n, old) in all.iter().enumerate() {
                    sleep_until(at(fault.at_s + apart * n as f64)).await;
                    let (tier, zone, cell, state) = {
                        let stand = self.stand(*old);
                        let model = stand.model.borrow();
                        (model.tier, model.zone, model.cell, model.state)
                    };
                    if state != State::Up {
                        continue;
                    }
                    self.stand(*old).model.borrow_mut().state = State::Draining;
                    self.announce(*old, EndpointState::Drains, d.late_ms);
                    let (lab, old, late) = (Rc::clone(&self), *old, d.late_ms);
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(late / 1000.0 + DRAINED_EXIT_DELAY_S)).await;
                        lab.die(old, State::Dead);
                        lab.announce(old, EndpointState::Gone, late);
                    });
                    let new = match self.new_stand(tier, zone, cell).await {
                        Ok(new) => self.new_balancer_of(new).await.map(|()| new),
                        Err(why) => Err(why),
                    };
                    match new {
                        Ok(new) => self.announce(new, EndpointState::Ready, d.late_ms),
                        Err(why) => drop(self.trouble.replace(Some(why))),
                    }
                }
            }
            FaultKind::Flap => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    for u in &all {
                        let state = self.stand(*u).model.borrow().state;
                        if n.is_multiple_of(2) && state.serves() {
                            self.die(*u, State::Dead);
                            self.announce(*u, EndpointState::Gone, d.late_ms);
                        } else if !n.is_multiple_of(2) && state == State::Dead {
                            self.revive(*u).await;
                        }
                    }
                }
            }
            FaultKind::Pauses => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    let until = self.now() + seconds(fault.size);
                    all.iter().for_each(|u| self.stand(*u).model.borrow_mut().paused_until = until);
                }
            }
            FaultKind::BalancerRestart => {
                let count = self.first.borrow().len();
                for n in 0..count {
                    sleep_until(at(fault.at_s + fault.for_s * n as f64 / count as f64)).await;
                    let old = self.first.borrow()[n];
                    let zone = self.node(old).zone;
                    self.balancer_dies(old);
                    match self.new_node(0, n, zone).await {
                        Ok(node) => self.first.borrow_mut()[n] = node,
                        Err(why) => drop(self.trouble.replace(Some(why))),
                    }
                }
            }
            _ => {}
        }
        sleep_until(at(end)).await;
        self.reports_late.borrow_mut().remove(&i);
        if let Some(stewards) = &stewards {
            cut.iter().for_each(|n| stewards.cut(*n, false));
            for n in &down {
                stewards.start_again(*n).unwrap_or_else(|why| drop(self.trouble.replace(Some(why))));
            }
        }
        for n in lost {
            match self.new_node(0, n, n % self.scenario.tier[0].zones).await {
                Ok(node) => self.first.borrow_mut()[n] = node,
                Err(why) => drop(self.trouble.replace(Some(why))),
            }
        }
        for n in all {
            self.stand(n).model.borrow_mut().fault_effects.remove(&i);
            let state = self.stand(n).model.borrow().state;
            match fault.kind {
                FaultKind::Crash | FaultKind::Vanish | FaultKind::ZoneLoss | FaultKind::Flap
                    if !state.serves() =>
                {
                    self.revive(n).await;
                }
                FaultKind::Drain if state == State::Draining => {
                    self.stand(n).model.borrow_mut().state = State::Up;
                    self.announce(n, EndpointState::Ready, d.late_ms);
                }
                _ => {}
            }
        }
    }
}
