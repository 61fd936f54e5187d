//! A balancer's side: what is in force, what it was told of, and when it asks for it. The caller asks the stewards, lays
//! the parts over the balancer's own file, applies the outcome and keeps it on its disk; it says here how that went.

use super::{hash, tidy, whole, Fetch, Fetched, Part, Place, Report, Scope, Version, MOST_REASON};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first pause after a question that brought nothing, and the longest, tenths of a millisecond. They double, and each
/// is drawn between half and all of it: balancers that failed together do not come again together.
const FIRST_PAUSE: Time = 1_000;
const LONGEST_PAUSE: Time = 10_000;

/// All parts that concern a balancer, as of one version: what is kept on its disk, too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whom it concerns. Guards against a copy that is taken by a balancer that stands elsewhere by now: parts that it has
    /// never seen may be older than the copy, and would never be asked for.
    #[serde(default)]
    place: Place,
    pub version: Version,
    /// As [`whole`] makes it.
    #[serde(default)]
    whole: String,
    parts: BTreeMap<Scope, Part>,
}

impl Snapshot {
    /// Of a balancer that goes by its own file alone.
    fn none(place: Place) -> Self {
        Snapshot { whole: whole(&place, 0, []), place, version: 0, parts: BTreeMap::new() }
    }

    /// From the widest scope to the narrowest, those that say something.
    pub fn contents(&self) -> impl Iterator<Item = &str> {
        self.parts.values().map(|part| part.content.as_str()).filter(|content| !content.is_empty())
    }

    /// All parts, from the widest scope to the narrowest; those that say nothing any more too.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values()
    }

    /// Whether each content is what its hash says, and all together are one whole: no part is missing, of another version
    /// or of another balancer.
    pub fn is_sound(&self) -> bool {
        let scopes = self.place.scopes();
        let sound = |(scope, part): (&Scope, &Part)| {
            *scope == part.scope && scopes.contains(scope) && hash(&part.content) == part.hash
        };
        let newest = self.parts.values().map(|part| part.version).max().unwrap_or(0);
        self.parts.iter().all(sound)
            && newest == self.version
            && whole(&self.place, self.version, self.parts.values()) == self.whole
    }

    /// Whether a balancer that stands here may go by it. Only then it is to be applied before [`Follower::new`].
    pub fn is_for(&self, place: &Place) -> bool {
        self.place == *place && self.is_sound()
    }
}

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// The steward does not know it yet.
    Behind,
    /// Not newer than what is in force, or was refused.
    Older,
    /// A content is not what its hash says, a part is not of this balancer, or the parts are not one whole with those that
    /// it has: all are asked for next.
    Spoilt,
    /// Nothing was asked.
    Unasked,
}

#[derive(Clone, Debug)]
pub struct Follower {
    place: Place,
    in_force: Snapshot,
    /// The version that it was last told of.
    told: Version,
    /// A version that can't be gone by, and why: not asked for again until there is a newer one.
    refused: Option<(Version, String)>,
    /// What it has does not fit what came: all parts are asked for.
    all: bool,
    /// The question that is out.
    asked: Option<Fetch>,
    /// Not before.
    next: Time,
    pause: Time,
}

impl Follower {
    /// `kept` is what the process before this one had in force, where the disk still has it and it has been applied. One
    /// that is not [`Snapshot::is_for`] this place counts for none: all parts are asked for.
    pub fn new(place: Place, kept: Option<Snapshot>) -> Self {
        let kept = kept.filter(|kept| kept.is_for(&place));
        let in_force = kept.unwrap_or_else(|| Snapshot::none(place.clone()));
        let told = in_force.version;
        Follower {
            place,
            in_force,
            told,
            refused: None,
            all: false,
            asked: None,
            next: 0,
            pause: FIRST_PAUSE,
        }
    }

    pub fn in_force(&self) -> &Snapshot {
        &self.in_force
    }

    /// For the next beat.
    pub fn report(&self) -> Report {
        let (service, zone) = (self.place.service.clone(), self.place.zone.clone());
        Report { service, zone, in_force: self.in_force.version, refused: self.refused.clone() }
    }

    /// The version that it was told of last.
    pub fn told(&self) -> Version {
        self.told
    }

    /// The highest version that it knows how to do with: it goes by it, or refused it.
    pub fn known(&self) -> Version {
        self.refused.as_ref().map_or(0, |(version, _)| *version).max(self.in_force.version)
    }

    /// The leader said which version concerns this balancer. The last word counts, since an older one than before is of an
    /// answer that was overtaken, and put right by the next, or of a register that was begun anew, where the higher one
    /// would be asked for in vain for ever. Neither brings anything older than what is in force.
    pub fn hear(&mut self, version: Version) {
        if version > self.told {
            // News: at once, however the last ones went.
            (self.next, self.pause) = (0, FIRST_PAUSE);
        }
        self.told = version;
    }

    /// What to ask a steward for now, if anything. Until it is answered or failed there is nothing more.
    pub fn due(&mut self, now: Time) -> Option<Fetch> {
        if self.asked.is_some() || self.told <= self.known() || now < self.next {
            return None;
        }
        let have = if self.all { 0 } else { self.in_force.version };
        self.asked = Some(Fetch { place: self.place.clone(), have, want: self.told });
        self.asked.clone()
    }

    /// The steward did not answer, or not with anything that could be taken. `chance` is a draw between 0 and 1.
    pub fn failed(&mut self, now: Time, chance: f64) {
        self.asked = None;
        let chance = if (0.0..=1.0).contains(&chance) { chance } else { 1.0 };
        let pause = self.pause as f64 * (0.5 + chance / 2.0);
        self.next = now.saturating_add(pause as Time);
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }

    /// A steward's answer: what to apply, whole. Nothing of it is in force until [`Follower::applied`]; what is not taken
    /// has [`Follower::failed`].
    pub fn fetched(&mut self, fetched: Fetched) -> Result<Snapshot, NotTaken> {
        let Some(asked) = &self.asked else { return Err(NotTaken::Unasked) };
        let Fetched::Parts { version, whole, parts } = fetched else { return Err(NotTaken::Behind) };
        if version <= self.known() {
            return Err(NotTaken::Older);
        }
        // Newer than what is in force, and older than what it was told of: whoever says so has not applied that far.
        if version < asked.want {
            return Err(NotTaken::Behind);
        }
        let had = if asked.have == 0 { BTreeMap::new() } else { self.in_force.parts.clone() };
        let mut next = Snapshot { place: self.place.clone(), version, whole, parts: had };
        next.parts.extend(parts.into_iter().map(|part| (part.scope.clone(), part)));
        // Whether parts are missing, too old, or of a register that never had those that stand beside them: the steward's
        // word for the whole says so at once.
        self.all = !next.is_sound();
        if self.all {
            return Err(NotTaken::Spoilt);
        }
        Ok(next)
    }

    /// It is in force now, whole.
    pub fn applied(&mut self, snapshot: Snapshot) {
        self.asked = None;
        self.pause = FIRST_PAUSE;
        if snapshot.version > self.in_force.version {
            self.refused = self.refused.take().filter(|(version, _)| *version > snapshot.version);
            self.in_force = snapshot;
        }
    }

    /// It can't be gone by here; what was in force still is.
    pub fn refuse(&mut self, version: Version, why: &str) {
        self.asked = None;
        self.pause = FIRST_PAUSE;
        if version > self.known() {
            self.refused = Some((version, tidy(why, MOST_REASON)));
        }
    }

    /// The balancer's own file is another one: what was refused may load now, and is asked for again.
    pub fn retry(&mut self) {
        self.refused = None;
        (self.next, self.pause) = (0, FIRST_PAUSE);
    }
}
