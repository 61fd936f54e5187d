//! The ledger of one steward: founded once, led by one of them at a time.

use crate::config::{CoordinatorAddress, CoordinatorConfig};
use crate::peers::{Peers, ReplicaInfo, INFO_PATH};
pub use crate::status::{BudgetStatus, MemberStatus, ReplicaStatus, Status};
use crate::store::{LogStore, ReplicaIdentity, ReplicaPosition, StateMachineStore};
use crate::Raft;
use fernroute::Time;
use fernroute_fleet::duties::{self, EndReason};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::ledger::{Entry, Ledger};
use fernroute_fleet::message::{Heartbeat, HeartbeatError, HeartbeatReply};
use openraft::{BasicNode, Config, RaftMetrics, ServerState, SnapshotPolicy, Vote};
use rustix::time::{clock_gettime, ClockId};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
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

/// A snapshot goes in pieces of so many bytes, each some four times as long on its way, and has this long for each, ms.
const CHUNK: u64 = 128 << 10;
const CHUNK_WITHIN: u64 = 2_000;

/// How long a question to another steward may take while a ledger is founded.
const ASK: Duration = Duration::from_millis(500);

/// This machine's time since its start, tenths of a millisecond. It counts while the process is stopped and while the
/// machine sleeps.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    at.tv_sec as Time * 10_000 + at.tv_nsec as Time / 100_000
}

/// How long a start waits for all other stewards to say how far they know this one to have gone; then some will do.
const ALL_WITHIN: Duration = Duration::from_secs(1);

/// How long a steward that is taken in may take to have the ledger.
const CATCH_UP: Duration = Duration::from_secs(10);

/// What this steward knows as the leader, and as of which term.
pub(crate) struct Leading {
    term: u64,
    pub(crate) budgets: Leader,
    pub(crate) duties: duties::leader::Leader,
}

pub struct Replica {
    pub terms: CoordinatorConfig,
    pub own: ReplicaIdentity,
    disk: LogStore,
    /// How far this steward had gone by its disk when it started; none where it never was of a ledger's processes.
    mark: Option<ReplicaPosition>,
    /// Begun once it is known that the disk is no older one.
    raft: OnceCell<Raft>,
    /// Why it takes no part, if that is not the library's to say.
    waits: RefCell<Option<String>>,
    pub(crate) book: StateMachineStore,
    /// Messages that could not be read, since the start.
    pub unread: Cell<u64>,
    /// While this steward leads.
    pub(crate) leading: RefCell<Option<Leading>>,
    /// How often duties ended since the start, by the reason.
    pub(crate) duties_ended: RefCell<BTreeMap<EndReason, u64>>,
    /// Since when it leads.
    pub(crate) leads_from: Cell<Time>,
    /// A term in which a step was sent off and is not known to be entered: nobody is answered in it any more.
    unsure: Cell<Option<u64>>,
    pub peers: Peers,
}

impl Replica {
    pub async fn open(terms: CoordinatorConfig) -> Result<Rc<Self>, String> {
        let (disk, own) = LogStore::open(&terms.folder, &terms.cluster)?;
        let book = StateMachineStore::open(disk.clone())?;
        let mark = disk.mark()?;
        let peers = Peers::new(&terms.cluster, &terms.stewards);
        Ok(Rc::new(Replica {
            terms,
            own,
            disk,
            mark,
            raft: OnceCell::new(),
            waits: RefCell::default(),
            book,
            unread: Cell::default(),
            leading: RefCell::default(),
            duties_ended: RefCell::default(),
            leads_from: Cell::default(),
            unsure: Cell::default(),
            peers,
        }))
    }

    pub fn raft(&self) -> Option<&Raft> {
        self.raft.get()
    }

    pub(crate) fn metrics(&self) -> Option<RaftMetrics<u64, BasicNode>> {
        self.raft().map(|raft| raft.metrics().borrow().clone())
    }

    /// Why this steward takes no part, if it takes none.
    pub fn trouble(&self) -> Option<String> {
        let stopped = self.metrics().and_then(|m| m.running_state.err()).map(|why| why.to_string());
        stopped.or_else(|| self.waits.borrow().clone())
    }

    /// Takes part from here on: votes, keeps entries, may be elected. Guards against a disk that was set back to an older
    /// copy of itself: such a steward has voted and kept what it knows nothing of, and would vote for others again. How far
    /// it went the other stewards know, those that led or asked for votes and ran since.
    pub async fn begin(&self) -> Result<(), String> {
        while let Some(older) = self.older().await? {
            let changed = self.waits.replace(Some(older.clone())).as_ref() != Some(&older);
            if changed {
                tracing::warn!("takes no part: {older}");
            }
            actix_rt::time::sleep(LOOK * 4).await;
        }
        let config = Config {
            cluster_name: self.terms.cluster.clone(),
            heartbeat_interval: HEARTBEAT,
            election_timeout_min: ELECTION.0,
            election_timeout_max: ELECTION.1,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_AFTER),
            snapshot_max_chunk_size: CHUNK,
            install_snapshot_timeout: CHUNK_WITHIN,
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        let (disk, book) = (self.disk.clone(), self.book.clone());
        let raft = Raft::new(self.own.id, config, self.peers.clone(), disk, book).await;
        let _ = self.raft.set(raft.map_err(|e| e.to_string())?);
        self.waits.replace(None);
        Ok(())
    }

    /// Why the disk may be an older one, if it may: asks those that vote by this disk, until it is known.
    async fn older(&self) -> Result<Option<String>, String> {
        let Some(mark) = self.mark else { return Ok(None) };
        let voters = self.disk.stewards()?;
        let others: Vec<(&u64, &String)> = voters.iter().filter(|(id, _)| **id != self.own.id).collect();
        let from = now();
        loop {
            let mut said = 0;
            for (id, name) in &others {
                let Some(at) = self.peers.place(name) else { continue };
                let who: Result<ReplicaInfo, String> = self.peers.ask(&at.to_string(), INFO_PATH, ASK).await;
                let Some(who) = who.ok().filter(|who| who.id == **id) else { continue };
                said += 1;
                if who.heard.get(&self.own.id).is_some_and(|heard| *heard > mark) {
                    return Ok(Some(format!(
                        "the disk is older than what {name} has heard of this steward: end it, empty its folder, \
                         and have it taken in anew"
                    )));
                }
            }
            let waited = now().saturating_sub(from) >= ALL_WITHIN.as_micros() as Time / 100;
            if said == others.len() || waited && 2 * (said + 1) > others.len() + 1 {
                return Ok(None);
            }
            if waited {
                let why = "a majority of the stewards is not there to say that its disk is no older one";
                return Ok(Some(why.to_owned()));
            }
            actix_rt::time::sleep(LOOK).await;
        }
    }

    pub fn who(&self) -> ReplicaInfo {
        // What was kept since the start counts too: a blank one may have been taken in.
        let kept = self.metrics().is_some_and(|m| m.last_log_index.is_some() || m.vote != Vote::default());
        let (cluster, name, id) = (self.own.cluster.clone(), self.terms.name.clone(), self.own.id);
        ReplicaInfo {
            cluster,
            name,
            id,
            blank: self.mark.is_none() && !kept,
            heard: self.peers.heard.borrow().clone(),
        }
    }

    /// Begins a ledger where there is none: the first steward of the file does, once all of them are there and none has
    /// ever had one, and what a ledger before may have granted has lapsed. Guards against two ledgers of one fleet, and
    /// against one that grants again what members hold of a ledger that was lost with all its disks.
    pub async fn found(&self, at_once: bool) {
        let Some(raft) = self.raft() else { return };
        let first = self.terms.stewards.first().is_some_and(|s| s.name == self.terms.name);
        if !first || !self.who().blank {
            return;
        }
        if !at_once {
            let wait = Duration::from_micros(self.terms.floors.expires_after() * 100);
            tracing::info!(
                "no ledger yet: one is begun in {} s, when what one before may have granted has lapsed",
                wait.as_secs()
            );
            actix_rt::time::sleep(wait).await;
        }
        loop {
            match self.all_blank().await {
                Ok(Some(members)) => match raft.initialize(members).await {
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
        let mut members = BTreeMap::from([(self.own.id, BasicNode::new(&self.terms.name))]);
        for steward in self.terms.stewards.iter().filter(|s| s.name != self.terms.name) {
            let who = self.who_is(steward).await?;
            if !who.blank {
                return Ok(None);
            }
            members.insert(who.id, BasicNode::new(&steward.name));
        }
        Ok(Some(members))
    }

    async fn who_is(&self, steward: &CoordinatorAddress) -> Result<ReplicaInfo, String> {
        let who: ReplicaInfo = self.peers.ask(&steward.address.to_string(), INFO_PATH, ASK).await?;
        if who.cluster != self.terms.cluster || who.name != steward.name {
            return Err(format!("{}: it is {} of {}", steward.address, who.name, who.cluster));
        }
        Ok(who)
    }

    /// Makes the ledger's processes those of this leader's file, whose names are told for comparison: who is new, or has
    /// come back with another disk, is taken in once it has the ledger; whoever is not named any more has no vote.
    pub async fn change(&self, names: &[String]) -> Result<Vec<String>, String> {
        self.look();
        let Some(raft) = self.raft().filter(|_| self.leading.borrow().is_some()) else {
            let leader = self.status().leader;
            return Err(
                leader.map_or("nobody leads".to_owned(), |leader| format!("{leader} leads: ask there"))
            );
        };
        let own: Vec<&str> = self.terms.stewards.iter().map(|s| s.name.as_str()).collect();
        if own.iter().collect::<BTreeSet<_>>()
            != names.iter().map(String::as_str).collect::<Vec<_>>().iter().collect()
        {
            return Err(format!(
                "the file of {}, which leads, names {}: end it, give it the new file, and start it again",
                self.terms.name,
                own.join(", ")
            ));
        }
        let known: BTreeMap<u64, String> = self.stewards().into_iter().map(|s| (s.id, s.name)).collect();
        let mut voters = BTreeSet::new();
        let mut taken = Vec::new();
        for steward in &self.terms.stewards {
            if steward.name == self.terms.name {
                voters.insert(self.own.id);
                continue;
            }
            match self.who_is(steward).await {
                Ok(who) if known.contains_key(&who.id) => {
                    voters.insert(who.id);
                }
                Ok(who) if who.blank => {
                    let learns = raft.add_learner(who.id, BasicNode::new(&steward.name), true);
                    let learnt = actix_rt::time::timeout(CATCH_UP, learns).await;
                    let learnt = learnt.map_err(|_| format!("{}: it did not catch up", steward.name))?;
                    learnt.map_err(|e| e.to_string())?;
                    voters.insert(who.id);
                    taken.push(steward.name.clone());
                }
                Ok(_) => {
                    return Err(format!(
                        "{}: it has a part in another ledger of {}",
                        steward.name, self.own.cluster
                    ))
                }
                // One that is down keeps its vote.
                Err(why) => match known.iter().find(|(_, name)| **name == steward.name) {
                    Some((id, _)) => {
                        voters.insert(*id);
                    }
                    None => return Err(format!("{}: {why}", steward.name)),
                },
            }
        }
        raft.change_membership(voters, false).await.map_err(|e| e.to_string())?;
        tracing::info!("the ledger's processes are {}; taken in: {}", own.join(", "), taken.join(", "));
        Ok(taken)
    }

    pub fn ledger<T>(&self, look: impl FnOnce(&Ledger) -> T) -> T {
        look(&self.book.kept.borrow().ledger)
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
    pub(crate) fn look(&self) {
        let Some(metrics) = self.metrics() else { return };
        let leads = metrics.state == ServerState::Leader && self.unsure.get() != Some(metrics.current_term);
        let mut leading = self.leading.borrow_mut();
        if !leads {
            if leading.take().is_some() {
                tracing::info!("another steward leads, or none");
            }
        } else if leading.as_ref().is_none_or(|leading| leading.term != metrics.current_term) {
            let t = &self.terms;
            *leading = Some(Leading {
                term: metrics.current_term,
                budgets: self.ledger(|ledger| Leader::new(now(), ledger, t.shares, t.floors, t.members)),
                duties: self.duties(|table| duties::leader::Leader::new(now(), table, t.duty_lease)),
            });
            self.leads_from.set(now());
            tracing::info!("leads, term {}", metrics.current_term);
        }
    }

    /// Enters what is due: the budgets of the file, and what the leader decides.
    async fn enter(&self) {
        let Some(raft) = self.raft().filter(|_| self.leading.borrow().is_some()) else { return };
        if raft.ensure_linearizable().await.is_err() {
            return;
        }
        if self.ledger(|ledger| *ledger.budgets() != self.terms.budgets) {
            let _ = write(raft, Entry::Budgets(self.terms.budgets.clone())).await;
        }
        let step = {
            let mut leading = self.leading.borrow_mut();
            let Some(leading) = leading.as_mut() else { return };
            self.ledger(|ledger| leading.budgets.next_transition(now(), ledger))
        };
        if let Some(step) = step {
            if !self.enter_for_certain(raft, Entry::Transition(step)).await {
                return;
            }
            self.leading.borrow_mut().iter_mut().for_each(|leading| leading.budgets.transition_done());
        }
        self.enter_duties(raft).await;
    }

    /// Enters what the leader decided; whether it is known to be entered, or refused. Guards against a member that is answered
    /// while its lapse may still be entered: where it is not known nobody is answered in this term, and in the next one all
    /// that was sent off is entered before anybody is, or never.
    pub(crate) async fn enter_for_certain(&self, raft: &Raft, entry: Entry) -> bool {
        let Err(why) = write(raft, entry).await else { return true };
        tracing::warn!("not known to be entered: {why}");
        self.unsure.set(self.leading.take().map(|leading| leading.term));
        if self.unsure.get() == Some(raft.metrics().borrow().current_term) {
            // An error is its word that it does not lead, or has ended.
            let _ = raft.trigger().elect().await;
        }
        false
    }

    /// A member's beat.
    pub async fn beat(&self, beat: &Heartbeat) -> Result<HeartbeatReply, HeartbeatError> {
        self.look();
        let heard = {
            let mut leading = self.leading.borrow_mut();
            match leading.as_mut() {
                Some(leading) => {
                    leading.duties.on_heartbeat(now(), beat);
                    self.ledger(|ledger| leading.budgets.on_heartbeat(now(), beat, ledger))
                }
                None => return Err(HeartbeatError::NotLeader(self.leader_address())),
            }
        };
        heard.map_err(HeartbeatError::Rejected)?;
        // After the beat came: a majority says that this steward still leads, and all that was entered is applied.
        let sure = match self.raft() {
            Some(raft) => raft.ensure_linearizable().await.is_ok(),
            None => false,
        };
        if !sure {
            return Err(HeartbeatError::NotLeader(self.leader_address()));
        }
        let mut leading = self.leading.borrow_mut();
        let Some(leading) = leading.as_mut() else {
            return Err(HeartbeatError::NotLeader(None));
        };
        let kept = self.book.kept.borrow();
        let answer = leading.budgets.reply(beat, &kept.ledger, &kept.register);
        let answer = answer.map_err(HeartbeatError::Rejected)?;
        Ok(HeartbeatReply { duties: leading.duties.assignments_for(beat, &kept.duties), ..answer })
    }

    /// As this steward's own file says it: members may reach it elsewhere, and then ask the others in turn.
    pub(crate) fn leader_address(&self) -> Option<String> {
        let metrics = self.metrics()?;
        let leader = metrics.current_leader.filter(|leader| *leader != self.own.id)?;
        let name = &metrics.membership_config.membership().get_node(&leader)?.addr;
        self.peers.place(name).map(|at| at.to_string())
    }
}

async fn write(raft: &Raft, entry: Entry) -> Result<(), String> {
    let written = raft.client_write(entry).await.map_err(|e| e.to_string())?;
    if let Err(why) = written.data {
        tracing::warn!("refused by the ledger: {}", why.why);
    }
    Ok(())
}
