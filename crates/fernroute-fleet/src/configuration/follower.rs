//! A balancer's side: what is in force, what it was told of, and when it asks for it. The caller asks the stewards, lays
//! the parts over the balancer's own file, applies the outcome and keeps it on its disk; it says here how that went.

use super::{hash, Fetch, Fetched, Part, Place, Report, Scope, Version};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first pause after a question that brought nothing, and the longest, tenths of a millisecond. They double, and each
/// is drawn between half and all of it: balancers that failed together do not come again together.
const FIRST_PAUSE: Time = 1_000;
const LONGEST_PAUSE: Time = 10_000;

/// The longest reason that is told on.
const MOST_REASON: usize = 200;

/// All parts that concern a balancer, as of one version: what is kept on its disk, too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: Version,
    parts: BTreeMap<Scope, Part>,
}

impl Snapshot {
    /// From the widest scope to the narrowest, those that say something.
    pub fn contents(&self) -> impl Iterator<Item = &str> {
        self.parts.values().map(|part| part.content.as_str()).filter(|content| !content.is_empty())
    }

    /// Whether each content is what its hash says, and no part is newer than the whole.
    pub fn is_sound(&self) -> bool {
        self.parts.values().all(|part| hash(&part.content) == part.hash && part.version <= self.version)
    }
}

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// The steward does not know it yet.
    Behind,
    /// Not newer than what is in force.
    Older,
    /// A content is not what its hash says, or a part is not of this balancer.
    Spoilt,
    /// Nothing was asked.
    Unasked,
}

#[derive(Clone, Debug)]
pub struct Follower {
    place: Place,
    in_force: Snapshot,
    /// The highest version that it was told of.
    told: Version,
    /// A version that can't be gone by, and why: not asked for again until there is a newer one.
    refused: Option<(Version, String)>,
    /// A question is out.
    asking: bool,
    /// Not before.
    next: Time,
    pause: Time,
}

impl Follower {
    /// `kept` is what the process before this one had in force, where the disk still has it and it has been applied.
    pub fn new(place: Place, kept: Option<Snapshot>) -> Self {
        let in_force = kept.unwrap_or_default();
        let told = in_force.version;
        Follower { place, in_force, told, refused: None, asking: false, next: 0, pause: FIRST_PAUSE }
    }

    pub fn in_force(&self) -> &Snapshot {
        &self.in_force
    }

    /// For the next beat.
    pub fn report(&self) -> Report {
        let (service, zone) = (self.place.service.clone(), self.place.zone.clone());
        Report { service, zone, in_force: self.in_force.version, refused: self.refused.clone() }
    }

    /// The leader said which version concerns this balancer.
    pub fn hear(&mut self, version: Version) {
        if version > self.told {
            self.told = version;
            // News: at once, however the last ones went.
            (self.next, self.pause) = (0, FIRST_PAUSE);
        }
    }

    /// What to ask a steward for now, if anything. Until it is answered or failed there is nothing more.
    pub fn due(&mut self, now: Time) -> Option<Fetch> {
        let known = self.refused.as_ref().map_or(0, |(version, _)| *version).max(self.in_force.version);
        if self.asking || self.told <= known || now < self.next {
            return None;
        }
        self.asking = true;
        let (place, have, want) = (self.place.clone(), self.in_force.version, self.told);
        Some(Fetch { place, have, want })
    }

    /// The steward did not answer, or not with anything that could be taken. `chance` is a draw between 0 and 1.
    pub fn failed(&mut self, now: Time, chance: f64) {
        self.asking = false;
        let pause = self.pause as f64 * (0.5 + chance / 2.0);
        self.next = now + pause as Time;
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }

    /// A steward's answer: what to apply, whole. Nothing of it is in force until [`Follower::applied`].
    pub fn fetched(&mut self, fetched: Fetched) -> Result<Snapshot, NotTaken> {
        if !self.asking {
            return Err(NotTaken::Unasked);
        }
        let Fetched::Parts { version, parts } = fetched else { return Err(NotTaken::Behind) };
        if version <= self.in_force.version {
            return Err(NotTaken::Older);
        }
        let mine = self.place.scopes();
        let mut next = self.in_force.clone();
        next.version = version;
        for part in parts {
            let older = next.parts.get(&part.scope).is_some_and(|had| had.version > part.version);
            if older || !mine.contains(&part.scope) {
                return Err(NotTaken::Spoilt);
            }
            next.parts.insert(part.scope.clone(), part);
        }
        let newest = next.parts.values().map(|part| part.version).max();
        if newest != Some(version) || !next.is_sound() {
            return Err(NotTaken::Spoilt);
        }
        Ok(next)
    }

    /// It is in force now, whole.
    pub fn applied(&mut self, snapshot: Snapshot) {
        self.asking = false;
        self.pause = FIRST_PAUSE;
        if snapshot.version > self.in_force.version {
            self.refused = self.refused.take().filter(|(version, _)| *version > snapshot.version);
            self.in_force = snapshot;
        }
    }

    /// It can't be gone by here; what was in force still is.
    pub fn refuse(&mut self, version: Version, why: &str) {
        self.asking = false;
        self.pause = FIRST_PAUSE;
        self.refused = Some((version, why.chars().take(MOST_REASON).collect()));
    }
}
