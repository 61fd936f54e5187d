//! The balancer's membership of a fleet: a background task that sends heartbeats with the demand for each shared budget and
//! applies the grants in the replies. RPCs never wait for it. It runs only where a fleet is configured.
//!
//! The states of a member and their transitions:
//! - *unidentified*: no identity in the ledger yet, no heartbeats, no shared budget. Ends once the identity file is locked.
//! - *sharing*: it took over from a predecessor process, has half of the predecessor's grant and sends the heartbeats. Ends
//!   when the predecessor ends ([`FleetMember::predecessor_ended`]).
//! - *sole*: it has its whole grant and sends the heartbeats.
//! - *handed over*: a successor has half of the grant and sends the heartbeats ([`FleetMember::hand_over`]). Back to *sole*
//!   if the successor ends first ([`FleetMember::resume_after_failed_upgrade`]).

use super::configuration::ConfigurationTask;
use super::coordinators::{CoordinatorClient, CoordinatorError, RequestLimits};
use super::duties::HeldDuties;
use super::identity::wait_for_identity;
use super::random::random_identity;
use crate::protocol::ops::FleetStatus;
use crate::routing::clock::{duration, tenths, Clock};
use crate::routing::dispatcher::Dispatcher;
use fernroute::{Settings, Time, RETRY_BUDGET, TRIAL_BUDGET};
use fernroute_config::FleetConfig;
use fernroute_fleet::demand::DemandMeter;
use fernroute_fleet::member::{Member, MemberHandover, ReplyStatus};
use fernroute_fleet::message::{Heartbeat, HeartbeatError, HeartbeatReply, RejectReason, HEARTBEAT_PATH};
use fernroute_fleet::BudgetAmounts;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

pub use super::identity::{lock_identity, LockedIdentity};

/// Large enough for the guarantees and quotas of 1,024 budgets with the longest names, and as many duties.
const MAX_REPLY_BYTES: usize = 512 << 10;

/// The minimum validity of a quota in heartbeat intervals; a shorter one is logged.
const MIN_HEARTBEATS_PER_QUOTA: Time = 3;

/// The demand for trials while any upstream is ejected, in thousandths per second: a circuit breaker closes after three
/// trials.
const TRIAL_DEMAND: u64 = 3_000;

/// The membership as handed over by a predecessor process.
pub struct ReceivedHandover {
    /// Its identity and its half of the grant.
    pub handover: MemberHandover,
    /// When this process requested the handover. The validity of the grant is counted from here.
    pub requested_at: Instant,
}

/// The options of a new membership.
pub struct MembershipOptions<'a> {
    /// The balancer's name in the ledger.
    pub name: &'a str,
    /// The file that keeps the balancer's identity in the ledger over restarts.
    pub identity_path: PathBuf,
    /// The fleet as configured in the balancer's file.
    pub fleet: &'a FleetConfig,
    /// The settings, which list the tenants whose budgets are shared.
    pub settings: &'a Settings,
    /// The membership of a predecessor process, where there is one.
    pub received: Option<ReceivedHandover>,
    /// The follower of the fleet's configuration, where this balancer has one.
    pub configuration: Option<Rc<ConfigurationTask>>,
}

/// Starts the task. Until the first grant arrives, the member has only those parts of the shared budgets that a predecessor
/// handed over.
pub fn join(dispatcher: Rc<Dispatcher>, membership: MembershipOptions<'_>) -> Rc<FleetMember> {
    let MembershipOptions { name, identity_path, fleet, settings, received, configuration } = membership;
    let now = dispatcher.clock.now();
    dispatcher.fleet_status.replace(Some(FleetStatus::default()));
    let member = received.map(|ReceivedHandover { handover, requested_at }| {
        let requested_at = now.saturating_sub(tenths(requested_at.elapsed()));
        Member::take_over(name, requested_at, first_heartbeat_number(), &handover)
    });
    let fleet_member = Rc::new(FleetMember {
        coordinators: CoordinatorClient::new(fleet, Rc::clone(&dispatcher)),
        duties: HeldDuties::new(Rc::clone(&dispatcher), random_identity()),
        dispatcher,
        configuration,
        heartbeat_interval: duration(fleet.heartbeat_interval),
        name: name.to_owned(),
        member: RefCell::new(member),
        handed_over: Cell::new(false),
        shared_budgets: fleet.shared_budgets.clone(),
        retry_demand: RefCell::new(RetryDemand { meter: DemandMeter::new(now), counted: 0 }),
    });
    fleet_member.set_tenants(settings);
    actix_rt::spawn(Rc::clone(&fleet_member).run(identity_path));
    fleet_member
}

/// Derived from the clock, so that the numbers from here on were not used by an earlier process with the same identity.
fn first_heartbeat_number() -> u64 {
    Clock::start().now() << 8
}

/// The demand for the fleet's retry budget.
struct RetryDemand {
    meter: DemandMeter,
    /// How many of the retries that the decisions wanted have been counted by the meter.
    counted: u64,
}

/// This balancer as a member of its fleet.
pub struct FleetMember {
    dispatcher: Rc<Dispatcher>,
    coordinators: CoordinatorClient,
    /// The duties that this balancer holds.
    pub duties: HeldDuties,
    configuration: Option<Rc<ConfigurationTask>>,
    heartbeat_interval: Duration,
    name: String,
    /// `None` while unidentified. Set once by the task, then changed by replies and upgrades.
    member: RefCell<Option<Member>>,
    /// Whether a successor sends the heartbeats in place of this process. Written by `hand_over` and
    /// `resume_after_failed_upgrade`.
    handed_over: Cell<bool>,
    /// The budgets that are shared in addition to those of the tenants.
    shared_budgets: Vec<&'static str>,
    /// Updated for each heartbeat.
    retry_demand: RefCell<RetryDemand>,
}

impl FleetMember {
    /// Meters the demand of the tenants in these settings from now on. This keeps a new tenant from using an even part of a
    /// budget that was not granted, and a removed tenant from having the whole grant rejected.
    pub fn set_tenants(&self, settings: &Settings) {
        let now = self.dispatcher.clock.now();
        let count = settings.get("tenants.count").and_then(|count| count.parse().ok()).unwrap_or(0);
        let names =
            (0..count).filter_map(|index: usize| settings.get(&format!("tenants.{index}.name")).cloned());
        let mut previous = self.dispatcher.tenant_demand.take().unwrap_or_default();
        let with_meter = |name: String| {
            let meter = previous.remove(&name).unwrap_or_else(|| DemandMeter::new(now));
            (name, meter)
        };
        self.dispatcher.tenant_demand.replace(Some(names.map(with_meter).collect()));
        self.apply_grant();
    }

    /// Gives half of the grant to a successor process; `None` where there is no grant, or a predecessor still shares it.
    pub fn hand_over(&self) -> Option<MemberHandover> {
        self.duties.set_replaced(true);
        let now = self.dispatcher.clock.now();
        let handover = self.member.borrow_mut().as_mut()?.hand_over(now)?;
        self.handed_over.set(true);
        self.apply_grant();
        Some(handover)
    }

    /// Takes the whole grant: the predecessor process has ended.
    pub fn predecessor_ended(&self) {
        if let Some(member) = &mut *self.member.borrow_mut() {
            member.own_whole_grant();
        }
        self.apply_grant();
    }

    /// Takes the whole grant back: the successor process has ended.
    pub fn resume_after_failed_upgrade(&self) {
        self.duties.set_replaced(false);
        if !self.handed_over.replace(false) {
            return;
        }
        if let Some(member) = &mut *self.member.borrow_mut() {
            member.resume_after_handover(first_heartbeat_number());
        }
        self.apply_grant();
    }

    /// The task: sends heartbeats and applies their replies until the program ends.
    async fn run(self: Rc<Self>, identity_path: PathBuf) {
        // Locked until this process ends: a process that gets the lock knows that its predecessor has ended.
        let mut identity_file = self.establish_identity(&identity_path).await;
        let mut coordinator_index = 0;
        let mut logged_status = String::new();
        loop {
            if identity_file.is_none() {
                identity_file = lock_identity(&identity_path).ok().flatten().map(|locked| locked.file);
            }
            let Some(heartbeat) = self.next_heartbeat() else {
                actix_rt::time::sleep(self.heartbeat_interval).await;
                continue;
            };
            let result = self.send(&heartbeat, &mut coordinator_index).await;
            self.notify_duties_and_configuration(heartbeat.number, &result);
            if let Some(status) = self.apply_reply(result).filter(|status| *status != logged_status) {
                tracing::info!("{status}");
                logged_status = status;
            }
            // A balancer that begins to drain reports it at once, so that another one takes over its duties.
            let phase_changed = self.dispatcher.phase_changed.notified();
            let _ = actix_rt::time::timeout(self.heartbeat_interval, phase_changed).await;
        }
    }

    /// Leaves the *unidentified* state. Returns the locked identity file; `None` where the identity came from a predecessor
    /// that still holds the lock, or where the file can't be used.
    async fn establish_identity(&self, path: &Path) -> Option<File> {
        if self.member.borrow().is_some() {
            return None;
        }
        let (identity, file) = match wait_for_identity(path).await {
            Ok(locked) => (locked.identity, Some(locked.file)),
            Err(error) => {
                tracing::warn!("{}: {error}; using a new identity in the ledger", path.display());
                (random_identity(), None)
            }
        };
        self.member.replace(Some(Member::new(&self.name, identity, first_heartbeat_number())));
        file
    }

    /// The next heartbeat; `None` while a successor sends the heartbeats.
    fn next_heartbeat(&self) -> Option<Heartbeat> {
        let now = self.dispatcher.clock.now();
        // Also measured while handed over, so that the meters stay up to date.
        let demand = self.measure_demand(now);
        if self.handed_over.get() {
            return None;
        }
        let mut heartbeat = self.member.borrow_mut().as_mut()?.heartbeat(now, demand);
        heartbeat.duties = Some(self.duties.report(heartbeat.number));
        heartbeat.configuration = self.configuration.as_ref().map(|configuration| configuration.report());
        Some(heartbeat)
    }

    fn notify_duties_and_configuration(
        &self,
        heartbeat_number: u64,
        result: &Result<HeartbeatReply, HeartbeatFailure>,
    ) {
        let Ok(reply) = result else { return self.duties.expire() };
        self.duties.on_reply(heartbeat_number, reply.duties.as_ref());
        if let Some(configuration) = &self.configuration {
            configuration.on_heartbeat_reply(reply.configuration);
        }
    }

    /// Applies the grant in the reply. Returns the status to log; `None` where the reply is out of date.
    fn apply_reply(&self, result: Result<HeartbeatReply, HeartbeatFailure>) -> Option<String> {
        let cluster = &self.coordinators.cluster;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return Some(format!("no grant from the fleet {cluster}: {error}")),
        };
        let now = self.dispatcher.clock.now();
        let status = self
            .member
            .borrow_mut()
            .as_mut()
            .map_or(ReplyStatus::Stale, |member| member.on_reply(now, &reply));
        match status {
            ReplyStatus::NewGrant | ReplyStatus::Extended => {}
            ReplyStatus::Stale | ReplyStatus::OlderEpoch => return None,
        }
        self.apply_grant();
        if reply.quotas_valid_for < MIN_HEARTBEATS_PER_QUOTA * tenths(self.heartbeat_interval) {
            return Some(
                "quotas expire within three heartbeats: lengthen them, or send heartbeats more often"
                    .to_owned(),
            );
        }
        Some(format!("member of the fleet {cluster}"))
    }

    /// The demand for each shared budget, in thousandths per second.
    fn measure_demand(&self, now: Time) -> BudgetAmounts {
        let mut tenants = self.dispatcher.tenant_demand.borrow_mut();
        let mut demand: BudgetAmounts =
            tenants.iter_mut().flatten().map(|(name, meter)| (name.clone(), meter.demand(now))).collect();
        for budget in &self.shared_budgets {
            let amount = match *budget {
                TRIAL_BUDGET if self.has_ejected_upstreams() => TRIAL_DEMAND,
                RETRY_BUDGET => self.measure_retry_demand(now),
                _ => 0,
            };
            demand.insert((*budget).to_owned(), amount);
        }
        demand
    }

    fn has_ejected_upstreams(&self) -> bool {
        let (_, ejected) = self.dispatcher.upstream_counts();
        ejected > 0
    }

    fn measure_retry_demand(&self, now: Time) -> u64 {
        let RetryDemand { meter, counted } = &mut *self.retry_demand.borrow_mut();
        let wanted = self.dispatcher.retries_wanted();
        for _ in *counted..wanted {
            meter.count(now);
        }
        *counted = wanted;
        meter.demand(now)
    }

    /// Passes the grant on to the decisions. All shared budgets are always included, with an amount of 0 where there is no
    /// grant, so that none of them is unlimited while the member is unidentified.
    fn apply_grant(&self) {
        let member = self.member.borrow();
        let rates = |name| member.as_ref().map(|member| member.rates(name)).unwrap_or_default();
        let tenants = self.dispatcher.tenant_demand.borrow();
        let tenant_names = tenants.iter().flat_map(|meters| meters.keys().map(String::as_str));
        let names = tenant_names.chain(self.shared_budgets.iter().copied());
        let budgets: Vec<(&str, [(f64, Time); 2])> = names.map(|name| (name, rates(name))).collect();
        if let Err(error) = self.dispatcher.set_budget_rates(&budgets) {
            tracing::warn!("grant rejected, nothing has changed: {error}");
        }
    }

    /// Sends the heartbeat to the coordinator that replied last or that is known as the leader, then to the others. `index` is
    /// its position in the list, kept from one heartbeat to the next.
    async fn send(
        &self,
        heartbeat: &Heartbeat,
        index: &mut usize,
    ) -> Result<HeartbeatReply, HeartbeatFailure> {
        let limits = RequestLimits { timeout: self.heartbeat_interval, max_reply_bytes: MAX_REPLY_BYTES };
        let addresses = &self.coordinators.addresses;
        let mut failure = HeartbeatFailure::NoCoordinator;
        for _ in 0..=addresses.len() {
            let coordinator = addresses[*index % addresses.len()];
            self.dispatcher.update_fleet_status(|status| status.beats += 1);
            let reply = self.coordinators.request(coordinator, HEARTBEAT_PATH, heartbeat, limits).await;
            match reply {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(HeartbeatError::Rejected(reason))) => {
                    return Err(HeartbeatFailure::Rejected { coordinator, reason });
                }
                Ok(Err(HeartbeatError::NotLeader(leader))) => {
                    let leader = leader.and_then(|leader| leader.parse().ok());
                    let leader_index = addresses.iter().position(|address| Some(*address) == leader);
                    *index = leader_index.unwrap_or(*index + 1);
                    failure = HeartbeatFailure::NotLeader { coordinator };
                }
                Err(source) => {
                    *index += 1;
                    failure = HeartbeatFailure::Request { coordinator, source };
                }
            }
        }
        Err(failure)
    }
}

/// Why no grant was received for a heartbeat.
#[derive(Debug, Error)]
enum HeartbeatFailure {
    #[error("no coordinator is configured")]
    NoCoordinator,
    #[error("{coordinator}: {reason:?}")]
    Rejected { coordinator: SocketAddr, reason: RejectReason },
    #[error("{coordinator}: not the leader")]
    NotLeader { coordinator: SocketAddr },
    #[error("{coordinator}: {source}")]
    Request { coordinator: SocketAddr, source: CoordinatorError },
}
