//! The ledger of one steward: founded once, led by one of them at a time.

use crate::peers::{Peers, Who, WHO};
use crate::store::{Book, Disk, Kept, Own};
use crate::terms::Terms;
use crate::Raft;
use fernroute::Time;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::ledger::{Entry, Ledger};
use fernroute_fleet::message::{Answer, Beat, Unanswered};
use fernroute_fleet::UNIT;
use openraft::{BasicNode, Config, ServerState, SnapshotPolicy};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Stewards hear from their leader this often, and elect another after the longer times: two lost messages elect nobody.
/// Votes are refused for the longer time after the last word of a leader, and two candidates at a time elect none: some rounds
/// of it must fit into a lease of the usual length. With 250 to 500 ms a share of 1.5 s lapsed once in six runs.
const HEARTBEAT: u64 = 50;
const ELECTION: (u64, u64) = (160, 320);

/// How often a leader looks for what is due beside beats: of who lapsed it hears of nothing.
const LOOK: Duration = Duration::from_millis(25);

/// Entries between snapshots: some seconds of a large fleet's changes.
const SNAPSHOT_AFTER: u64 = 2_000;

/// How long a question to another steward may take while a ledger is founded.
const ASK: Duration = Duration::from_millis(500);

/// This machine's time since its start, tenths of a millisecond. It counts while the process is stopped and while the
/// machine sleeps.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    at.tv_sec as Time * 10_000 + at.tv_nsec as Time / 100_000
}

pub struct Keeper {
    pub terms: Terms,
    pub own: Own,
    pub raft: Raft,
    kept: Rc<RefCell<Kept>>,
    /// While this steward leads, and as of which term.
    leading: RefCell<Option<(u64, Leader)>>,
    /// A term in which a step was sent off and is not known to be entered: nobody is answered in it any more.
    unsure: Cell<Option<u64>>,
    pub peers: Peers,
}

/// A member of the fleet, for people.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberLine {
    pub name: String,
    pub epoch: u64,
    /// What it may hold at the most, a second, by budget.
    pub holds: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetLine {
    pub whole: f64,
    pub floor: f64,
    pub held: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub cluster: String,
    pub steward: String,
    pub id: u64,
    /// leader, follower, candidate, learner or blank.
    pub state: String,
    /// Who leads, by its name.
    pub leader: Option<String>,
    pub term: u64,
    pub epoch: u64,
    pub budgets: BTreeMap<String, BudgetLine>,
    pub members: Vec<MemberLine>,
}

impl Keeper {
    pub async fn open(terms: Terms) -> Result<Rc<Self>, String> {
        let (disk, own) = Disk::open(&terms.folder, &terms.cluster)?;
        let book = Book::open(disk.clone())?;
        let kept = Rc::clone(&book.kept);
        let config = Config {
            cluster_name: terms.cluster.clone(),
            heartbeat_interval: HEARTBEAT,
            election_timeout_min: ELECTION.0,
            election_timeout_max: ELECTION.1,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_AFTER),
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        let peers = Peers::new(&terms.cluster);
        let raft = Raft::new(own.id, config, peers.clone(), disk, book).await.map_err(|e| e.to_string())?;
        Ok(Rc::new(Keeper {
            terms,
            own,
            raft,
            kept,
            leading: RefCell::default(),
            unsure: Cell::default(),
            peers,
        }))
    }

    pub async fn who(&self) -> Who {
        let blank = !self.raft.is_initialized().await.unwrap_or(true);
        Who { cluster: self.own.cluster.clone(), name: self.terms.name.clone(), id: self.own.id, blank }
    }

    /// Begins a ledger where there is none: the first steward of the file does, once all of them are there and none has
    /// ever had one, and what a ledger before may have granted has lapsed. Guards against two ledgers of one fleet, and
    /// against one that grants again what members hold of a ledger that was lost with all its disks.
    pub async fn found(&self, at_once: bool) {
        let first = self.terms.stewards.first().is_some_and(|s| s.name == self.terms.name);
        if !first || !self.who().await.blank {
            return;
        }
        if !at_once {
            let wait = Duration::from_micros(self.terms.floors.lapse() * 100);
            tracing::info!(
                "no ledger yet: one is begun in {} s, when what one before may have granted has lapsed",
                wait.as_secs()
            );
            actix_rt::time::sleep(wait).await;
        }
        loop {
            match self.all_blank().await {
                Ok(Some(members)) => match self.raft.initialize(members).await {
                    Ok(()) => return tracing::info!("a new ledger of {}", self.terms.cluster),
                    Err(why) => return tracing::error!("no ledger was begun: {why}"),
                },
                Ok(None) => {
                    return tracing::error!(
                        "this steward has no part in the ledger: another one has, and its own disk is empty; it is to be taken in anew"
                    )
                }
                Err(why) => tracing::debug!("not all stewards are there: {why}"),
            }
            actix_rt::time::sleep(ASK).await;
        }
    }

    /// All stewards by their ids, if none has had a ledger.
    async fn all_blank(&self) -> Result<Option<BTreeMap<u64, BasicNode>>, String> {
        let mut members = BTreeMap::from([(self.own.id, BasicNode::new(self.terms.address))]);
        for steward in self.terms.stewards.iter().filter(|s| s.name != self.terms.name) {
            let who: Who = self.peers.ask(&steward.address.to_string(), WHO, ASK).await?;
            if who.cluster != self.terms.cluster || who.name != steward.name {
                return Err(format!("{}: it is {} of {}", steward.address, who.name, who.cluster));
            }
            if !who.blank {
                return Ok(None);
            }
            members.insert(who.id, BasicNode::new(steward.address));
        }
        Ok(Some(members))
    }

    pub fn ledger<T>(&self, look: impl FnOnce(&Ledger) -> T) -> T {
        look(&self.kept.borrow().ledger)
    }

    /// Leads whenever this steward is elected, for as long as the program runs.
    pub async fn lead(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(LOOK).await;
            self.look();
            self.enter().await;
        }
    }

    /// Begins to lead, or ends, as the library says.
    fn look(&self) {
        let metrics = self.raft.metrics().borrow().clone();
        let leads = metrics.state == ServerState::Leader && self.unsure.get() != Some(metrics.current_term);
        let mut leading = self.leading.borrow_mut();
        if !leads {
            if leading.take().is_some() {
                tracing::info!("another steward leads, or none");
            }
        } else if leading.as_ref().is_none_or(|(term, _)| *term != metrics.current_term) {
            let t = &self.terms;
            let leader = self.ledger(|ledger| Leader::new(now(), ledger, t.shares, t.floors, t.members));
            *leading = Some((metrics.current_term, leader));
            tracing::info!("leads, term {}", metrics.current_term);
        }
    }

    /// Enters what is due: the budgets of the file, and what the leader decides.
    async fn enter(&self) {
        if self.leading.borrow().is_none() || self.raft.ensure_linearizable().await.is_err() {
            return;
        }
        if self.ledger(|ledger| *ledger.budgets() != self.terms.budgets) {
            let _ = self.write(Entry::Budgets(self.terms.budgets.clone())).await;
        }
        let step = {
            let mut leading = self.leading.borrow_mut();
            let Some((_, leader)) = leading.as_mut() else { return };
            self.ledger(|ledger| leader.due(now(), ledger))
        };
        let Some(step) = step else { return };
        let Err(why) = self.write(Entry::Step(step)).await else {
            return self.leading.borrow_mut().iter_mut().for_each(|(_, leader)| leader.entered());
        };
        // Guards against a member that is answered while its lapse may still be entered: in this term nobody is, and in
        // the next one all that was sent off is entered before anybody is, or never.
        tracing::warn!("not known to be entered: {why}");
        self.unsure.set(self.leading.take().map(|(term, _)| term));
        if self.unsure.get() == Some(self.raft.metrics().borrow().current_term) {
            // An error is its word that it does not lead, or has ended.
            let _ = self.raft.trigger().elect().await;
        }
    }

    async fn write(&self, entry: Entry) -> Result<(), String> {
        let written = self.raft.client_write(entry).await.map_err(|e| e.to_string())?;
        if let Err(why) = written.data {
            tracing::warn!("refused by the ledger: {why}");
        }
        Ok(())
    }

    /// A member's beat.
    pub async fn beat(&self, beat: &Beat) -> Result<Answer, Unanswered> {
        self.look();
        let heard = {
            let mut leading = self.leading.borrow_mut();
            match leading.as_mut() {
                Some((_, leader)) => self.ledger(|ledger| leader.hear(now(), beat, ledger)),
                None => return Err(Unanswered::Elsewhere(self.leader_address())),
            }
        };
        heard.map_err(Unanswered::Refused)?;
        // After the beat came: a majority says that this steward still leads, and all that was entered is applied.
        if self.raft.ensure_linearizable().await.is_err() {
            return Err(Unanswered::Elsewhere(self.leader_address()));
        }
        let leading = self.leading.borrow();
        let Some((_, leader)) = leading.as_ref() else {
            return Err(Unanswered::Elsewhere(None));
        };
        self.ledger(|ledger| leader.answer(beat, ledger)).map_err(Unanswered::Refused)
    }

    fn leader_address(&self) -> Option<String> {
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != self.own.id)?;
        metrics.membership_config.membership().get_node(&leader).map(|node| node.addr.clone())
    }

    pub async fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.and_then(|leader| {
            let node = metrics.membership_config.membership().get_node(&leader)?.addr.clone();
            let named = self.terms.stewards.iter().find(|s| s.address.to_string() == node);
            Some(named.map_or(node, |s| s.name.clone()))
        });
        let blank = self.who().await.blank;
        let state = if blank { "blank".to_owned() } else { format!("{:?}", metrics.state).to_lowercase() };
        self.ledger(|ledger| Status {
            cluster: self.terms.cluster.clone(),
            steward: self.terms.name.clone(),
            id: self.own.id,
            state,
            leader,
            term: metrics.current_term,
            epoch: ledger.epoch(),
            budgets: ledger
                .budgets()
                .iter()
                .map(|(name, b)| {
                    let of = |units: u64| units as f64 / UNIT;
                    let line =
                        BudgetLine { whole: of(b.whole), floor: of(b.floor), held: of(ledger.held(name)) };
                    (name.clone(), line)
                })
                .collect(),
            members: ledger
                .holders()
                .values()
                .map(|holder| MemberLine {
                    name: holder.name.clone(),
                    epoch: holder.latest().epoch,
                    holds: ledger
                        .budgets()
                        .keys()
                        .map(|name| (name.clone(), holder.holds(name) as f64 / UNIT))
                        .collect(),
                })
                .collect(),
        })
    }
}
