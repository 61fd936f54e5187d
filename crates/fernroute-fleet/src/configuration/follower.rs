//! A balancer's side: what is in force, what it was notified_version of, and when it asks for it. The caller asks the stewards, lays
//! the entries over the balancer's own file, applies the outcome and keeps it on its disk; it says here how that went.

use super::{
    bundle_hash, content_hash, sanitize, ConfigurationReport, FetchReply, FetchRequest, Scope, ScopeEntry,
    Target, Version, MAX_REASON_CHARS,
};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first pause after a question that brought nothing, and the longest, tenths of a millisecond. They double, and each
/// is drawn between half and all of it: balancers that failed together do not come again together.
const FIRST_PAUSE: Time = 1_000;
const LONGEST_PAUSE: Time = 10_000;

/// All entries that concern a balancer, as of one version: what is kept on its disk, too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// Whom it concerns. Guards against a copy that is taken by a balancer that stands elsewhere by now: entries that it has
    /// never seen may be older than the copy, and would never be asked for.
    #[serde(default)]
    #[serde(rename = "place")]
    target: Target,
    pub version: Version,
    /// As [`bundle_hash`] makes it.
    #[serde(default)]
    #[serde(rename = "whole")]
    bundle_hash: String,
    #[serde(rename = "parts")]
    entries: BTreeMap<Scope, ScopeEntry>,
}

impl ConfigurationSnapshot {
    /// Of a balancer that goes by its own file alone.
    fn none(target: Target) -> Self {
        ConfigurationSnapshot {
            bundle_hash: bundle_hash(&target, 0, []),
            target,
            version: 0,
            entries: BTreeMap::new(),
        }
    }

    /// From the widest scope to the narrowest, those that say something.
    pub fn contents(&self) -> impl Iterator<Item = &str> {
        self.entries.values().map(|part| part.content.as_str()).filter(|content| !content.is_empty())
    }

    /// All entries, from the widest scope to the narrowest; those that say nothing any more too.
    pub fn entries(&self) -> impl Iterator<Item = &ScopeEntry> {
        self.entries.values()
    }

    /// Whether each content is what its content_hash says, and all together are one bundle_hash: no part is missing, of another version
    /// or of another balancer.
    pub fn is_sound(&self) -> bool {
        let scopes = self.target.scopes();
        let sound = |(scope, part): (&Scope, &ScopeEntry)| {
            *scope == part.scope && scopes.contains(scope) && content_hash(&part.content) == part.content_hash
        };
        let newest = self.entries.values().map(|part| part.version).max().unwrap_or(0);
        self.entries.iter().all(sound)
            && newest == self.version
            && bundle_hash(&self.target, self.version, self.entries.values()) == self.bundle_hash
    }

    /// Whether a balancer that stands here may go by it. Only then it is to be applied before [`ConfigurationFollower::new`].
    pub fn matches(&self, target: &Target) -> bool {
        self.target == *target && self.is_sound()
    }
}

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The steward does not know it yet.
    Behind,
    /// Not newer than what is in force, or was refused.
    Older,
    /// A content is not what its content_hash says, a part is not of this balancer, or the entries are not one bundle_hash with those that
    /// it has: all are asked for next.
    Corrupt,
    /// Nothing was asked.
    Unsolicited,
}

#[derive(Clone, Debug)]
pub struct ConfigurationFollower {
    target: Target,
    active: ConfigurationSnapshot,
    /// The version that it was last notified_version of.
    notified_version: Version,
    /// A version that can't be gone by, and why: not asked for again until there is a newer one.
    refused: Option<(Version, String)>,
    /// What it has does not fit what came: all entries are asked for.
    all: bool,
    /// The question that is out.
    asked: Option<FetchRequest>,
    /// Not before.
    next: Time,
    pause: Time,
}

impl ConfigurationFollower {
    /// `kept` is what the process before this one had in force, where the disk still has it and it has been applied. One
    /// that is not [`ConfigurationSnapshot::is_for`] this target counts for none: all entries are asked for.
    pub fn new(target: Target, kept: Option<ConfigurationSnapshot>) -> Self {
        let kept = kept.filter(|kept| kept.matches(&target));
        let active = kept.unwrap_or_else(|| ConfigurationSnapshot::none(target.clone()));
        let notified_version = active.version;
        ConfigurationFollower {
            target,
            active,
            notified_version,
            refused: None,
            all: false,
            asked: None,
            next: 0,
            pause: FIRST_PAUSE,
        }
    }

    pub fn active(&self) -> &ConfigurationSnapshot {
        &self.active
    }

    /// For the next beat.
    pub fn report(&self) -> ConfigurationReport {
        let (service, zone) = (self.target.service.clone(), self.target.zone.clone());
        ConfigurationReport { service, zone, active: self.active.version, rejected: self.refused.clone() }
    }

    /// The version that it was notified_version of last.
    pub fn notified_version(&self) -> Version {
        self.notified_version
    }

    /// The highest version that it knows how to do with: it goes by it, or refused it.
    pub fn decided_version(&self) -> Version {
        self.refused.as_ref().map_or(0, |(version, _)| *version).max(self.active.version)
    }

    /// The leader said which version concerns this balancer. The last word counts, since an older one than before is of an
    /// answer that was overtaken, and put right by the next, or of a register that was begun anew, where the higher one
    /// would be asked for in vain for ever. Neither brings anything older than what is in force.
    pub fn on_notification(&mut self, version: Version) {
        if version > self.notified_version {
            // News: at once, however the last ones went.
            (self.next, self.pause) = (0, FIRST_PAUSE);
        }
        self.notified_version = version;
    }

    /// What to ask a steward for now, if anything. Until it is answered or failed there is nothing more.
    pub fn next_fetch(&mut self, now: Time) -> Option<FetchRequest> {
        if self.asked.is_some() || self.notified_version <= self.decided_version() || now < self.next {
            return None;
        }
        let have = if self.all { 0 } else { self.active.version };
        self.asked = Some(FetchRequest {
            target: self.target.clone(),
            known_version: have,
            wanted_version: self.notified_version,
        });
        self.asked.clone()
    }

    /// The steward did not answer, or not with anything that could be taken. `chance` is a draw between 0 and 1.
    pub fn fetch_failed(&mut self, now: Time, chance: f64) {
        self.asked = None;
        let chance = if (0.0..=1.0).contains(&chance) { chance } else { 1.0 };
        let pause = self.pause as f64 * (0.5 + chance / 2.0);
        self.next = now.saturating_add(pause as Time);
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }

    /// A steward's answer: what to apply, bundle_hash. Nothing of it is in force until [`ConfigurationFollower::applied`]; what is not taken
    /// has [`ConfigurationFollower::failed`].
    pub fn on_reply(&mut self, fetched: FetchReply) -> Result<ConfigurationSnapshot, FetchError> {
        let Some(asked) = &self.asked else { return Err(FetchError::Unsolicited) };
        let FetchReply::Entries { version, bundle_hash, entries } = fetched else {
            return Err(FetchError::Behind);
        };
        if version <= self.decided_version() {
            return Err(FetchError::Older);
        }
        // Newer than what is in force, and older than what it was notified_version of: whoever says so has not applied that far.
        if version < asked.wanted_version {
            return Err(FetchError::Behind);
        }
        let had = if asked.known_version == 0 { BTreeMap::new() } else { self.active.entries.clone() };
        let mut next =
            ConfigurationSnapshot { target: self.target.clone(), version, bundle_hash, entries: had };
        next.entries.extend(entries.into_iter().map(|part| (part.scope.clone(), part)));
        // Whether entries are missing, too old, or of a register that never had those that stand beside them: the steward's
        // word for the bundle_hash says so at once.
        self.all = !next.is_sound();
        if self.all {
            return Err(FetchError::Corrupt);
        }
        Ok(next)
    }

    /// It is in force now, bundle_hash.
    pub fn activate(&mut self, snapshot: ConfigurationSnapshot) {
        self.asked = None;
        self.pause = FIRST_PAUSE;
        if snapshot.version > self.active.version {
            self.refused = self.refused.take().filter(|(version, _)| *version > snapshot.version);
            self.active = snapshot;
        }
    }

    /// It can't be gone by here; what was in force still is.
    pub fn reject(&mut self, version: Version, why: &str) {
        self.asked = None;
        self.pause = FIRST_PAUSE;
        if version > self.decided_version() {
            self.refused = Some((version, sanitize(why, MAX_REASON_CHARS)));
        }
    }

    /// The balancer's own file is another one: what was refused may load now, and is asked for again.
    pub fn retry_rejected(&mut self) {
        self.refused = None;
        (self.next, self.pause) = (0, FIRST_PAUSE);
    }
}
