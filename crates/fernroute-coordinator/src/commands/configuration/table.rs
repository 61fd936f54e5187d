//! Tables of the configuration's status and history.

use crate::configuration::{ConfigurationStatus, ScopeStatus};
use chrono::{DateTime, SecondsFormat};
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState};
use std::fmt;

/// The rollout state of the scopes and the members.
pub struct StatusTable<'a>(pub &'a ConfigurationStatus);

impl fmt::Display for StatusTable<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_summary(out)?;
        self.write_scopes(out)?;
        self.write_members(out)
    }
}

impl StatusTable<'_> {
    fn write_summary(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigurationStatus { cluster, version, leader, summary: count, .. } = self.0;
        write!(out, "{cluster}: version {version}, {leader} leads; {} in force, ", count.active)?;
        write!(out, "{} on its way, {} refused, ", count.pending, count.rejected)?;
        write!(out, "{} ahead, {} not heard of, ", count.ahead, count.unreachable)?;
        writeln!(out, "{} follow none", count.not_following)?;
        if !self.0.is_reachability_known {
            writeln!(
                out,
                "the leader was elected recently: a member that is not heard of may not have sent it a heartbeat yet"
            )?;
        }
        Ok(())
    }

    fn write_scopes(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "\n{:<40} {:>8} {:>8}  sha256", "scope", "version", "bytes")?;
        for ScopeStatus { scope, version, content_hash, bytes } in &self.0.scopes {
            writeln!(out, "{:<40} {version:>8} {bytes:>8}  {content_hash:.12}", scope.to_string())?;
        }
        Ok(())
    }

    fn write_members(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "\n{:<24} {:<16} {:<12} {:>8} {:>8}  standing",
            "member", "service", "zone", "wanted", "in force"
        )?;
        for member in &self.0.members {
            let MemberRollout { name, service, zone, wanted, active, .. } = member;
            let state = state_text(member);
            writeln!(out, "{name:<24} {service:<16} {zone:<12} {wanted:>8} {active:>8}  {state}")?;
        }
        Ok(())
    }
}

fn state_text(member: &MemberRollout) -> String {
    match (member.state, &member.rejected) {
        (RolloutState::Active, _) => "in force".to_owned(),
        (RolloutState::Pending, Some((version, reason))) => {
            format!("on its way (refused {version}: {reason})")
        }
        (RolloutState::Pending, None) => "on its way".to_owned(),
        (RolloutState::Rejected, rejected) => {
            let reason = rejected.as_ref().map_or("", |(_, reason)| reason.as_str());
            format!("refused: {reason}")
        }
        (RolloutState::Ahead, _) => "ahead".to_owned(),
        (RolloutState::Unreachable, _) => "not heard of".to_owned(),
        (RolloutState::NotFollowing, _) => "follows none".to_owned(),
    }
}

/// The entries of the history, one in a line.
pub struct HistoryTable<'a>(pub &'a [HistoryEntry]);

impl fmt::Display for HistoryTable<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:>8} {:>8} {:<20} {:<40} {:>8}  {:<12}  who",
            "version", "from", "when", "scope", "bytes", "sha256"
        )?;
        for entry in self.0 {
            let HistoryEntry { version, base_version, content_hash, bytes, author, .. } = entry;
            let (entered_at, scope) = (timestamp(entry.entered_at_ms), entry.scope.to_string());
            write!(out, "{version:>8} {base_version:>8} {entered_at:<20} {scope:<40} ")?;
            writeln!(out, "{bytes:>8}  {content_hash:.12}  {author}")?;
        }
        Ok(())
    }
}

/// One entry of the history in one line.
pub fn entry_summary(entry: &HistoryEntry) -> String {
    let HistoryEntry { version, scope, author, bytes, .. } = entry;
    format!("{scope}: version {version}, by {author}, {}, {bytes} bytes", timestamp(entry.entered_at_ms))
}

/// RFC 3339; the bare number where it is beyond the calendar's range.
fn timestamp(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| unix_ms.to_string(), |time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
}
