//! The balancer's part in a fleet: a task beside the RPCs that says what is asked, and hears what is granted. No RPC waits
//! for it, and it waits for none. Where no fleet is named nothing of this runs.

use super::configuration::ConfigurationTask;
use super::coordinators::CoordinatorClient;
use super::duties::HeldDuties;
use crate::protocol::ops::Control;
use crate::routing::clock::{duration, tenths, Clock};
use crate::routing::switchboard::Switchboard;
use fernroute::{Settings, Time, RETRY_BUDGET, TRIAL_BUDGET};
use fernroute_config::Fleet;
use fernroute_fleet::demand::DemandMeter;
use fernroute_fleet::member::{Member, MemberHandover, ReplyStatus};
use fernroute_fleet::message::{Heartbeat, HeartbeatError, HeartbeatReply, HEARTBEAT_PATH};
use fernroute_fleet::BudgetAmounts;
use std::cell::{Cell, RefCell};
use std::fs::{File, TryLockError};
use std::io::{Read as _, Seek as _, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest answer of a steward: floors and shares of 1,024 budgets with the longest names, and as many duties.
const MOST_ANSWER: usize = 512 << 10;

/// How long the process before this one is waited for between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Begins the balancer's part. Until something is granted it has nothing of any share, but half of what the process
/// before it handed over, which was asked for it at that time.
///
/// `place` is the file that says who this balancer is in the ledger.
pub fn join(
    board: Rc<Switchboard>,
    name: &str,
    place: PathBuf,
    fleet: &Fleet,
    terms: &Settings,
    handed: Option<(MemberHandover, Instant)>,
    followed: Option<Rc<ConfigurationTask>>,
) -> Rc<FleetMember> {
    let now = board.clock.now();
    board.control.replace(Some(Control::default()));
    let member = handed.map(|(handed, asked)| {
        let asked = now.saturating_sub(tenths(asked.elapsed()));
        Member::take_over(name, asked, first(), &handed)
    });
    let part = Rc::new(FleetMember {
        stewards: CoordinatorClient::new(fleet, Rc::clone(&board)),
        duties: HeldDuties::new(Rc::clone(&board), draw()),
        board,
        followed,
        beat: duration(fleet.beat),
        name: name.to_owned(),
        member: RefCell::new(member),
        handed: Cell::new(false),
        divides: fleet.divides.clone(),
        further: RefCell::new((DemandMeter::new(now), 0)),
    });
    part.divide_by(terms);
    actix_rt::spawn(Rc::clone(&part).follow(place));
    part
}

/// Beats are counted on from where no earlier process under the same identity was.
fn first() -> u64 {
    Clock::start().now() << 8
}

pub struct FleetMember {
    board: Rc<Switchboard>,
    stewards: CoordinatorClient,
    pub duties: HeldDuties,
    /// The fleet's configuration, where it goes by it.
    followed: Option<Rc<ConfigurationTask>>,
    beat: Duration,
    name: String,
    /// None until it is known who this balancer is in the ledger.
    member: RefCell<Option<Member>>,
    /// A successor goes on under the same identity: this process says nothing more.
    handed: Cell<bool>,
    /// What is divided beside tenants' shares.
    divides: Vec<&'static str>,
    /// Transmissions beyond the first that would have been of use, and how many there had been at the last look.
    further: RefCell<(DemandMeter, u64)>,
}

impl FleetMember {
    /// What is asked of each tenant of these terms is counted from now on. Guards against a tenant that is new and has an even
    /// part beside what is granted, and against one that is gone and has all grants refused with it.
    pub fn divide_by(&self, terms: &Settings) {
        let now = self.board.clock.now();
        let count = terms.get("tenants.count").and_then(|n| n.parse().ok()).unwrap_or(0);
        let names = (0..count).filter_map(|i: usize| terms.get(&format!("tenants.{i}.name")).cloned());
        let mut before = self.board.asked.take().unwrap_or_default();
        let meter = |name: String| {
            let meter = before.remove(&name).unwrap_or_else(|| DemandMeter::new(now));
            (name, meter)
        };
        self.board.asked.replace(Some(names.map(meter).collect()));
        self.grant();
    }

    /// A successor asks for what this process holds: half of it goes over.
    pub fn hand_over(&self) -> Option<MemberHandover> {
        self.duties.set_replaced(true);
        let now = self.board.clock.now();
        let handed = self.member.borrow_mut().as_mut()?.hand_over(now)?;
        self.handed.set(true);
        self.grant();
        Some(handed)
    }

    /// The process before this one has ended.
    pub fn take_all(&self) {
        self.member.borrow_mut().iter_mut().for_each(Member::own_whole_grant);
        self.grant();
    }

    /// The successor has ended.
    pub fn take_back(&self) {
        self.duties.set_replaced(false);
        if self.handed.replace(false) {
            self.member.borrow_mut().iter_mut().for_each(|member| member.resume_after_handover(first()));
            self.grant();
        }
    }

    async fn follow(self: Rc<Self>, place: PathBuf) {
        let known = self.member.borrow().is_some();
        // Held for as long as this process lives: whoever has it knows that the process before has ended.
        let mut lock = None;
        if !known {
            let (identity, held) = self.identity(&place).await;
            lock = held;
            self.member.replace(Some(Member::new(&self.name, identity, first())));
        }
        let (mut to, mut told) = (0, String::new());
        loop {
            if lock.is_none() {
                // Of what was handed over: the process before this one has it until it ends.
                lock = take(&place).ok().flatten().map(|(_, file)| file);
            }
            let now = self.board.clock.now();
            let wants = self.wants(now);
            let quiet = self.handed.get();
            let beat = self
                .member
                .borrow_mut()
                .as_mut()
                .filter(|_| !quiet)
                .map(|member| member.heartbeat(now, wants));
            let Some(mut beat) = beat else {
                actix_rt::time::sleep(self.beat).await;
                continue;
            };
            beat.duties = Some(self.duties.report(beat.number));
            beat.configuration = self.followed.as_ref().map(|followed| followed.report());
            let said = self.say(&beat, &mut to).await;
            match &said {
                Ok(answer) => self.duties.hear(beat.number, answer.duties.as_ref()),
                Err(_) => self.duties.look(),
            }
            if let (Some(followed), Ok(answer)) = (&self.followed, &said) {
                followed.hear(answer.configuration);
            }
            let now = self.board.clock.now();
            let hear = |answer| {
                self.member.borrow_mut().as_mut().map_or(ReplyStatus::Stale, |m| m.on_reply(now, answer))
            };
            let news = match said {
                Ok(answer) => match hear(&answer) {
                    ReplyStatus::NewGrant | ReplyStatus::Extended => {
                        self.grant();
                        if answer.quotas_valid_for < 3 * tenths(self.beat) {
                            "shares end before three beats: lengthen them, or beat more often".to_owned()
                        } else {
                            format!("of the fleet {}", self.stewards.cluster)
                        }
                    }
                    // It was long on its way; the next one may not be.
                    ReplyStatus::Stale | ReplyStatus::OlderEpoch => told.clone(),
                },
                Err(why) => format!("nothing is granted by the fleet {}: {why}", self.stewards.cluster),
            };
            if news != told {
                tracing::info!("{news}");
                told = news;
            }
            // A balancer that drains says so at once: another one takes its duties over.
            let changed = self.board.phase_changed.notified();
            let _ = actix_rt::time::timeout(self.beat, changed).await;
        }
    }

    /// Who this balancer is in the ledger, over all its processes: what the file says, once no other process has it.
    async fn identity(&self, place: &Path) -> (u64, Option<File>) {
        loop {
            match take(place) {
                Ok(Some((identity, file))) => return (identity, Some(file)),
                // The process before this one holds what there is.
                Ok(None) => {}
                Err(why) => {
                    tracing::warn!("{}: {why}; a start of its own in the ledger", place.display());
                    return (draw(), None);
                }
            }
            actix_rt::time::sleep(LOOK).await;
        }
    }

    fn wants(&self, now: Time) -> BudgetAmounts {
        /// A breaker closes by three trials: as many in a second while any upstream is out of use.
        const OF_TRIALS: u64 = 3_000;
        let mut asked = self.board.asked.borrow_mut();
        let mut wants: BudgetAmounts =
            asked.iter_mut().flatten().map(|(name, meter)| (name.clone(), meter.demand(now))).collect();
        for budget in &self.divides {
            let want = match *budget {
                TRIAL_BUDGET if self.board.standing().1 > 0 => OF_TRIALS,
                RETRY_BUDGET => {
                    let (meter, seen) = &mut *self.further.borrow_mut();
                    let wished = self.board.wished();
                    (*seen..wished).for_each(|_| meter.count(now));
                    *seen = wished;
                    meter.demand(now)
                }
                _ => 0,
            };
            wants.insert((*budget).to_owned(), want);
        }
        wants
    }

    /// What is held now reaches the decisions. Guards against a budget that has no end until it is known who this balancer
    /// is: until then all that is divided is named, and nothing of it is held.
    fn grant(&self) {
        let member = self.member.borrow();
        let rates = |name| member.as_ref().map(|member| member.rates(name)).unwrap_or_default();
        let asked = self.board.asked.borrow();
        let tenants = asked.iter().flat_map(|asked| asked.keys().map(String::as_str));
        let names = tenants.chain(self.divides.iter().copied());
        let all: Vec<(&str, [(f64, Time); 2])> = names.map(|name| (name, rates(name))).collect();
        if let Err(bad) = self.board.new_shares(&all) {
            tracing::warn!("not taken over, all stays as it was: {bad}");
        }
    }

    /// To the steward that answered last, or that was said to lead; then to the others. `to` is its place.
    async fn say(&self, beat: &Heartbeat, to: &mut usize) -> Result<HeartbeatReply, String> {
        let mut why = String::new();
        let all = &self.stewards.addresses;
        for _ in 0..=all.len() {
            let at = all[*to % all.len()];
            self.board.note(|control| control.beats += 1);
            match self.stewards.ask(at, HEARTBEAT_PATH, beat, self.beat, MOST_ANSWER).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(HeartbeatError::Rejected(refusal))) => return Err(format!("{at}: {refusal:?}")),
                Ok(Err(HeartbeatError::NotLeader(leader))) => {
                    why = format!("{at}: another one leads, or none");
                    let leader = leader.and_then(|leader| leader.parse().ok());
                    let known = all.iter().position(|at| Some(*at) == leader);
                    *to = known.unwrap_or(*to + 1);
                }
                Err(failed) => {
                    why = format!("{at}: {failed}");
                    *to += 1;
                }
            }
        }
        Err(why)
    }
}

fn draw() -> u64 {
    use std::hash::{BuildHasher as _, RandomState};
    RandomState::new().hash_one(std::process::id()) >> 1
}

/// The identity that stands in the file, or a new one; none while another process has it.
fn take(place: &Path) -> std::io::Result<Option<(u64, File)>> {
    let mut file = File::options().create(true).truncate(false).read(true).write(true).open(place)?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Ok(None),
        Err(TryLockError::Error(why)) => return Err(why),
    }
    let mut text = String::new();
    file.read_to_string(&mut text)?;
    if let Ok(identity) = u64::from_str_radix(text.trim(), 16) {
        return Ok(Some((identity, file)));
    }
    let identity = draw();
    file.set_len(0)?;
    file.rewind()?;
    file.write_all(format!("{identity:016x}\n").as_bytes())?;
    file.sync_all()?;
    Ok(Some((identity, file)))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two processes that spend one grant each, and against a restart that is a stranger to the ledger.
    #[test]
    fn an_identity_is_one_processs_at_a_time_and_outlives_it() {
        let place = std::env::temp_dir().join(format!("fernroute-{}.member", std::process::id()));
        let (identity, held) = take(&place).expect("a file").expect("nobody has it");
        assert!(take(&place).expect("a file").is_none());
        drop(held);
        let (again, held) = take(&place).expect("a file").expect("nobody has it");
        assert_eq!(again, identity);
        std::fs::write(&place, "no number").expect("a file");
        drop(held);
        let (other, _held) = take(&place).expect("a file").expect("nobody has it");
        assert_ne!(other, identity);
        std::fs::remove_file(&place).expect("it was there");
        assert!(take(Path::new("/nonexistent/place")).is_err());
    }
}
