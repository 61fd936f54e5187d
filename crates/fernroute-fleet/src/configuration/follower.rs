//! A balancer's side of the configuration: which entries are active, which version it was notified of, and
//! when it fetches that.
//!
//! The balancer's configuration task sends what [`ConfigurationFollower::next_fetch`] returns to any
//! coordinator. It passes the reply to [`ConfigurationFollower::on_reply`], or reports a failure with
//! [`ConfigurationFollower::fetch_failed`]. A [`ConfigurationSnapshot`] from a reply is merged over the
//! balancer's own file; the caller then reports [`ConfigurationFollower::activate`] or
//! [`ConfigurationFollower::reject`], and stores an active one on its disk.
//!
//! Invariants: the active version never decreases, and an active snapshot is complete: its entries match the
//! hash that the coordinator computed over all entries that concern the balancer.

use super::{
    bundle_hash, content_hash, sanitize, ConfigurationReport, FetchReply, FetchRequest, Scope, ScopeEntry,
    Target, Version, MAX_REASON_CHARS,
};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first backoff after a failed fetch, in tenths of a millisecond. Each further one doubles.
const MIN_BACKOFF: Time = 1_000;

/// The longest backoff, in tenths of a millisecond.
const MAX_BACKOFF: Time = 10_000;

/// All entries that concern a balancer, as of one version. Also the form in which they are stored on its
/// disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// The balancer that it concerns. Guards against a stored copy from before the balancer was moved: older
    /// entries that concern it now would never be fetched.
    #[serde(default)]
    #[serde(rename = "place")]
    target: Target,
    /// The highest version of its entries; 0 without any.
    pub version: Version,
    /// The [`bundle_hash`] of its entries.
    #[serde(default)]
    #[serde(rename = "whole")]
    bundle_hash: String,
    #[serde(rename = "parts")]
    entries: BTreeMap<Scope, ScopeEntry>,
}

impl ConfigurationSnapshot {
    /// For a balancer that uses its own file alone.
    fn empty(target: Target) -> Self {
        let bundle_hash = bundle_hash(&target, 0, []);
        ConfigurationSnapshot { target, version: 0, bundle_hash, entries: BTreeMap::new() }
    }

    /// The contents that are not empty, from the widest scope to the narrowest.
    pub fn contents(&self) -> impl Iterator<Item = &str> {
        self.entries.values().map(|entry| entry.content.as_str()).filter(|content| !content.is_empty())
    }

    /// All entries, from the widest scope to the narrowest, including those of cleared scopes.
    pub fn entries(&self) -> impl Iterator<Item = &ScopeEntry> {
        self.entries.values()
    }

    /// Whether each content matches its hash, and all entries together match the bundle's: none is missing,
    /// of another version, or of another balancer.
    pub fn is_sound(&self) -> bool {
        let newest_version = self.entries.values().map(|entry| entry.version).max().unwrap_or(0);
        self.entries.iter().all(|(scope, entry)| self.is_entry_sound(scope, entry))
            && newest_version == self.version
            && bundle_hash(&self.target, self.version, self.entries.values()) == self.bundle_hash
    }

    fn is_entry_sound(&self, scope: &Scope, entry: &ScopeEntry) -> bool {
        *scope == entry.scope
            && self.target.scopes().contains(scope)
            && content_hash(&entry.content) == entry.content_hash
    }

    /// Whether the balancer may use it. Only then it is to be applied before [`ConfigurationFollower::new`].
    pub fn matches(&self, target: &Target) -> bool {
        self.target == *target && self.is_sound()
    }
}

/// Why a reply was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// The coordinator has not applied the wanted version yet.
    #[error("the coordinator has not applied the wanted version")]
    Behind,
    /// It is no newer than the active version, or was rejected.
    #[error("the version is not newer than the active or rejected one")]
    Older,
    /// A content does not match its hash, an entry is not of this balancer, or the entries do not form one
    /// bundle with those that the balancer has. The next request asks for all entries.
    #[error("the entries do not match their hashes")]
    Corrupt,
    /// No request is unanswered.
    #[error("no request is pending")]
    Unsolicited,
}

/// A version that could not be applied.
#[derive(Clone, Debug)]
struct Rejection {
    version: Version,
    reason: String,
}

/// The configuration state of one balancer.
#[derive(Clone, Debug)]
pub struct ConfigurationFollower {
    target: Target,
    active: ConfigurationSnapshot,
    /// The version that the leader last notified the balancer of.
    notified_version: Version,
    /// Not fetched again until there is a newer version.
    rejection: Option<Rejection>,
    /// The last reply did not fit the active entries, so all are fetched.
    needs_all_entries: bool,
    /// The request that is not answered yet.
    pending_request: Option<FetchRequest>,
    next_fetch_at: Time,
    backoff: Time,
}

impl ConfigurationFollower {
    /// `stored` is the snapshot that the former process stored, where it could be read and has been applied.
    /// One that does not [match](ConfigurationSnapshot::matches) the target is ignored, and all entries are
    /// fetched.
    pub fn new(target: Target, stored: Option<ConfigurationSnapshot>) -> Self {
        let stored = stored.filter(|stored| stored.matches(&target));
        let active = stored.unwrap_or_else(|| ConfigurationSnapshot::empty(target.clone()));
        let notified_version = active.version;
        ConfigurationFollower {
            target,
            active,
            notified_version,
            rejection: None,
            needs_all_entries: false,
            pending_request: None,
            next_fetch_at: 0,
            backoff: MIN_BACKOFF,
        }
    }

    /// The active entries.
    pub fn active(&self) -> &ConfigurationSnapshot {
        &self.active
    }

    /// The report for the next heartbeat.
    pub fn report(&self) -> ConfigurationReport {
        let rejection = self.rejection.as_ref();
        ConfigurationReport {
            service: self.target.service.clone(),
            zone: self.target.zone.clone(),
            active: self.active.version,
            rejected: rejection.map(|rejection| (rejection.version, rejection.reason.clone())),
        }
    }

    /// The version that the leader last notified the balancer of.
    pub fn notified_version(&self) -> Version {
        self.notified_version
    }

    /// The highest version that is active or was rejected.
    pub fn decided_version(&self) -> Version {
        self.rejection.as_ref().map_or(0, |rejection| rejection.version).max(self.active.version)
    }

    /// The leader's notice of the version that concerns this balancer. The last notice counts, even if it is
    /// lower: it is from an overtaken reply, and the next one corrects it, or from a register that was created
    /// anew, which does not have the higher version. In neither case an older version than the active one is
    /// used.
    pub fn on_notification(&mut self, version: Version) {
        if version > self.notified_version {
            self.reset_backoff();
        }
        self.notified_version = version;
    }

    /// The request to send at `now`, if any. There is none while one is unanswered.
    pub fn next_fetch(&mut self, now: Time) -> Option<FetchRequest> {
        let is_up_to_date = self.notified_version <= self.decided_version();
        if self.pending_request.is_some() || is_up_to_date || now < self.next_fetch_at {
            return None;
        }
        let known_version = if self.needs_all_entries { 0 } else { self.active.version };
        self.pending_request = Some(FetchRequest {
            target: self.target.clone(),
            known_version,
            wanted_version: self.notified_version,
        });
        self.pending_request.clone()
    }

    /// No reply came, or none that could be used. `jitter` is a random number between 0 and 1 that draws the
    /// backoff from its upper half. Guards against balancers that retry together after they failed together.
    pub fn fetch_failed(&mut self, now: Time, jitter: f64) {
        self.pending_request = None;
        let jitter = if (0.0..=1.0).contains(&jitter) { jitter } else { 1.0 };
        let backoff = self.backoff as f64 * (0.5 + jitter / 2.0);
        self.next_fetch_at = now.saturating_add(backoff as Time);
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
    }

    /// The complete snapshot to apply, from a coordinator's reply. It is not active before
    /// [`ConfigurationFollower::activate`]; after an error the caller reports
    /// [`ConfigurationFollower::fetch_failed`].
    pub fn on_reply(&mut self, reply: FetchReply) -> Result<ConfigurationSnapshot, FetchError> {
        let Some(request) = &self.pending_request else { return Err(FetchError::Unsolicited) };
        let FetchReply::Entries { version, bundle_hash, entries } = reply else {
            return Err(FetchError::Behind);
        };
        if version <= self.decided_version() {
            return Err(FetchError::Older);
        }
        if version < request.wanted_version {
            return Err(FetchError::Behind);
        }
        let mut snapshot = ConfigurationSnapshot {
            target: self.target.clone(),
            version,
            bundle_hash,
            entries: BTreeMap::new(),
        };
        if request.known_version != 0 {
            snapshot.entries = self.active.entries.clone();
        }
        for entry in entries {
            snapshot.entries.insert(entry.scope.clone(), entry);
        }
        // The bundle's hash shows missing or old entries, and active ones that this register never had.
        self.needs_all_entries = !snapshot.is_sound();
        if self.needs_all_entries {
            return Err(FetchError::Corrupt);
        }
        Ok(snapshot)
    }

    /// The snapshot has been applied completely.
    pub fn activate(&mut self, snapshot: ConfigurationSnapshot) {
        self.pending_request = None;
        self.backoff = MIN_BACKOFF;
        if snapshot.version > self.active.version {
            self.rejection = self.rejection.take().filter(|rejection| rejection.version > snapshot.version);
            self.active = snapshot;
        }
    }

    /// The version could not be applied; the active one stays.
    pub fn reject(&mut self, version: Version, reason: &str) {
        self.pending_request = None;
        self.backoff = MIN_BACKOFF;
        if version > self.decided_version() {
            self.rejection = Some(Rejection { version, reason: sanitize(reason, MAX_REASON_CHARS) });
        }
    }

    /// The balancer's own file has changed: a rejected version may load now, and is fetched again.
    pub fn retry_rejected(&mut self) {
        self.rejection = None;
        self.reset_backoff();
    }

    /// Lets the next fetch start at once.
    fn reset_backoff(&mut self) {
        self.next_fetch_at = 0;
        self.backoff = MIN_BACKOFF;
    }
}
