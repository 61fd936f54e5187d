//! Injects the faults of a scenario at their times.

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
    pub(super) async fn inject_fault(self: Rc<Self>, i: usize, fault: &Fault, from: Time) {
        let at = |s: f64| self.start + duration(from + seconds(s));
        sleep_until(at(fault.at_s)).await;
        let tier = self.scenario.tier_of(fault);
        let discovery = &self.scenario.discovery;
        let is_up = |n: &usize| {
            let stand_in = self.stand_in(*n);
            let model = stand_in.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let all = (0..self.upstreams.borrow().len()).filter(is_up);
        let all = all.map(|n| (n, self.stand_in(n).model.borrow().zone)).collect();
        let all = fault_targets(fault, i, self.seed, all);
        for n in &all {
            let apply = |a| {
                self.stand_in(*n).model.borrow_mut().fault_effects.insert(i, a);
            };
            match fault.kind {
                FaultKind::Crash => {
                    self.stop_upstream(*n, State::Dead);
                    self.announce(*n, EndpointState::Gone, discovery.late_ms);
                }
                FaultKind::Vanish | FaultKind::ZoneLoss => {
                    self.stop_upstream(*n, State::Silent);
                    self.announce(*n, EndpointState::Gone, discovery.gone_late_ms);
                }
                FaultKind::Drain => {
                    self.stand_in(*n).model.borrow_mut().state = State::Draining;
                    self.announce(*n, EndpointState::Drains, discovery.late_ms);
                }
                FaultKind::Slow => apply(FaultEffect::Slow(fault.size)),
                FaultKind::FastErrors => apply(FaultEffect::Errors(fault.size)),
                FaultKind::Hang => apply(FaultEffect::Hang),
                _ => {}
            }
        }
        let (mut lost, mut cut, mut down) = (Vec::new(), Vec::new(), Vec::new());
        let coordinators = self.coordinators.borrow().clone();
        match fault.kind {
            FaultKind::StewardsDown => down = (0..self.scenario.fleet.stewards).collect(),
            FaultKind::LeaderLoss => {
                if let Some(coordinators) = &coordinators {
                    down.extend(coordinators.leader().await);
                }
            }
            FaultKind::FleetCut => {
                let all = (0..self.first_tier.borrow().len()).map(|n| (n, 0)).collect();
                cut = fault_targets(fault, i, self.seed, all);
            }
            FaultKind::BalancerLoss => {
                let alive = |n: &usize| self.balancer(self.first_tier.borrow()[*n]).alive.get();
                let all = (0..self.first_tier.borrow().len()).filter(alive).map(|n| (n, 0)).collect();
                lost = fault_targets(fault, i, self.seed, all);
                lost.iter().for_each(|n| self.kill_balancer(self.first_tier.borrow()[*n]));
            }
            FaultKind::ReportsLate => drop(self.reports_late.borrow_mut().insert(i, seconds(fault.size))),
            FaultKind::ListDown => {
                let until = from + seconds(fault.at_s + fault.for_s);
                self.list_unavailable_until.set(self.list_unavailable_until.get().max(until));
            }
            _ => {}
        }
        if let Some(coordinators) = &coordinators {
            down.iter().for_each(|n| coordinators.kill(*n));
            cut.iter().for_each(|n| coordinators.cut(*n, true));
        }
        let end = fault.at_s + fault.for_s;
        match fault.kind {
            FaultKind::Replace => {
                let apart = fault.for_s / all.len().max(1) as f64;
                for (n, old) in all.iter().enumerate() {
                    sleep_until(at(fault.at_s + apart * n as f64)).await;
                    let (tier, zone, cell, state) = {
                        let stand_in = self.stand_in(*old);
                        let model = stand_in.model.borrow();
                        (model.tier, model.zone, model.cell, model.state)
                    };
                    if state != State::Up {
                        continue;
                    }
                    self.stand_in(*old).model.borrow_mut().state = State::Draining;
                    self.announce(*old, EndpointState::Drains, discovery.late_ms);
                    let (lab, old, late) = (Rc::clone(&self), *old, discovery.late_ms);
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(late / 1000.0 + DRAINED_EXIT_DELAY_S)).await;
                        lab.stop_upstream(old, State::Dead);
                        lab.announce(old, EndpointState::Gone, late);
                    });
                    let new = match self.new_stand_in(tier, zone, cell).await {
                        Ok(new) => self.new_upstream_balancer(new).await.map(|()| new),
                        Err(error) => Err(error),
                    };
                    match new {
                        Ok(new) => self.announce(new, EndpointState::Ready, discovery.late_ms),
                        Err(error) => drop(self.error.replace(Some(error))),
                    }
                }
            }
            FaultKind::Flap => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    for u in &all {
                        let state = self.stand_in(*u).model.borrow().state;
                        if n.is_multiple_of(2) && state.serves() {
                            self.stop_upstream(*u, State::Dead);
                            self.announce(*u, EndpointState::Gone, discovery.late_ms);
                        } else if !n.is_multiple_of(2) && state == State::Dead {
                            self.restart_upstream(*u).await;
                        }
                    }
                }
            }
            FaultKind::Pauses => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    let until = self.now() + seconds(fault.size);
                    all.iter().for_each(|u| self.stand_in(*u).model.borrow_mut().paused_until = until);
                }
            }
            FaultKind::BalancerRestart => {
                let count = self.first_tier.borrow().len();
                for n in 0..count {
                    sleep_until(at(fault.at_s + fault.for_s * n as f64 / count as f64)).await;
                    let old = self.first_tier.borrow()[n];
                    let zone = self.balancer(old).zone;
                    self.kill_balancer(old);
                    match self.start_balancer(0, n, zone).await {
                        Ok(balancer) => self.first_tier.borrow_mut()[n] = balancer,
                        Err(error) => drop(self.error.replace(Some(error))),
                    }
                }
            }
            _ => {}
        }
        sleep_until(at(end)).await;
        self.reports_late.borrow_mut().remove(&i);
        if let Some(coordinators) = &coordinators {
            cut.iter().for_each(|n| coordinators.cut(*n, false));
            for n in &down {
                coordinators.restart(*n).unwrap_or_else(|error| drop(self.error.replace(Some(error))));
            }
        }
        for n in lost {
            match self.start_balancer(0, n, n % self.scenario.tier[0].zones).await {
                Ok(balancer) => self.first_tier.borrow_mut()[n] = balancer,
                Err(error) => drop(self.error.replace(Some(error))),
            }
        }
        for n in all {
            self.stand_in(n).model.borrow_mut().fault_effects.remove(&i);
            let state = self.stand_in(n).model.borrow().state;
            match fault.kind {
                FaultKind::Crash | FaultKind::Vanish | FaultKind::ZoneLoss | FaultKind::Flap
                    if !state.serves() =>
                {
                    self.restart_upstream(n).await;
                }
                FaultKind::Drain if state == State::Draining => {
                    self.stand_in(n).model.borrow_mut().state = State::Up;
                    self.announce(n, EndpointState::Ready, discovery.late_ms);
                }
                _ => {}
            }
        }
    }
}
