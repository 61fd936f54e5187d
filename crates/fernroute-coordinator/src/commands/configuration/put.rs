//! `fernroute-coordinator configuration put`: enters a new version of a scope, and waits for its rollout.

use super::file;
use super::table::entry_summary;
use crate::commands::client::{CallError, CallFailure, Client, POLL_INTERVAL};
use crate::commands::error::CommandError;
use crate::commands::run_on_one_thread;
use crate::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, GET_PATH, HISTORY_PATH, PUT_PATH, STATUS_PATH,
};
use argh::FromArgs;
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState};
use fernroute_fleet::configuration::{content_hash, Scope, Target, Version};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, TryFromFloatSecsError};

/// How many members a line names before it counts the rest.
const MAX_NAMED_MEMBERS: usize = 10;

/// Enter a part of a balancer's file for a scope, and print its version.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct Put {
    /// part of a balancer's file; an empty one clears the scope
    #[argh(positional)]
    file: PathBuf,
    /// address of a coordinator; may be given several times
    #[argh(option, long = "at")]
    addresses: Vec<SocketAddr>,
    /// all, service/S, service/S/zone/Z or balancer/B
    #[argh(option)]
    scope: Scope,
    /// version of the scope that the file is based on, 0 for none; defaults to the latest version
    #[argh(option, long = "from")]
    base_version: Option<Version>,
    /// author of the entry; defaults to $USER
    #[argh(option, long = "who")]
    author: Option<String>,
    /// wait until the version is active at every reachable member, at most so many seconds; 60 where no
    /// number follows
    #[argh(option, long = "wait")]
    wait_s: Option<f64>,
}

/// Why `put` was rejected or is not complete.
#[derive(Debug, thiserror::Error)]
pub enum PutError {
    /// Neither the arguments nor the environment name an author.
    #[error("--who: it is absent, and $USER is not set")]
    NoAuthor,
    /// `--wait` is negative, not a number or too large.
    #[error("--wait: {0}")]
    InvalidWait(#[from] TryFromFloatSecsError),
    /// The file is based on another version than the scope's latest.
    #[error("{latest}; the file is based on version {base_version}")]
    OutOfDate {
        /// The scope's latest entry, in one line.
        latest: String,
        /// The version that the file is based on.
        base_version: Version,
    },
    /// The leader was not reached or rejected the call.
    #[error(transparent)]
    Call(#[from] CallError),
    /// No attempt got a definite reply.
    #[error("outcome unknown, see history, or repeat with --from {base_version}: {source}")]
    OutcomeUnknown {
        /// The version that the file is based on.
        base_version: Version,
        /// The last attempt's error.
        source: CallError,
    },
    /// The version is entered, but its rollout cannot be followed.
    #[error("version {version} is entered; {}", rollout_unknown_text(source))]
    RolloutUnknown {
        /// The version that was entered.
        version: Version,
        /// Why the status of the rollout is not known.
        source: CallError,
    },
    /// The version is entered, and is not active at every member that it concerns.
    #[error("version {version} is in force at {}", progress.incomplete_text())]
    RolloutIncomplete {
        /// The version that was entered.
        version: Version,
        /// How far its rollout is.
        progress: RolloutProgress,
    },
}

impl PutError {
    /// Whether the version is entered, or may be.
    pub fn may_be_entered(&self) -> bool {
        match self {
            PutError::OutcomeUnknown { .. }
            | PutError::RolloutUnknown { .. }
            | PutError::RolloutIncomplete { .. } => true,
            PutError::NoAuthor
            | PutError::InvalidWait(_)
            | PutError::OutOfDate { .. }
            | PutError::Call(_) => false,
        }
    }
}

fn rollout_unknown_text(error: &CallError) -> String {
    match error {
        CallError::NoLeader(_) | CallError::Rejected(RequestError::Rejected(_)) => {
            format!("its rollout state is unknown: {error}")
        }
        CallError::Rejected(_) => error.to_string(),
    }
}

/// Runs the command.
///
/// # Errors
/// The file cannot be used, the leader was not reached or rejected the entry, or the rollout is not complete
/// in time.
pub fn run(arguments: Put) -> Result<(), CommandError> {
    let content = file::read(&arguments.file)?;
    run_on_one_thread(put(arguments, content))
}

async fn put(arguments: Put, content: String) -> Result<(), CommandError> {
    let author = arguments.author.or_else(user_name).ok_or(PutError::NoAuthor)?;
    let wait = arguments.wait_s.map(Duration::try_from_secs_f64).transpose().map_err(PutError::from)?;
    let client = Client::connect(&arguments.addresses).await?;
    let latest: LatestEntry = client.call(GET_PATH, &arguments.scope).await?;
    let latest_version = latest.entry.map_or(0, |entry| entry.version);
    let request = PutRequest {
        scope: arguments.scope,
        base_version: arguments.base_version.unwrap_or(latest_version),
        content_hash: content_hash(&content),
        content,
        author,
    };
    let version = enter(&client, &request).await?;
    println!("version {version}");
    if let Some(timeout) = wait {
        wait_until_active(&client, &request.scope, version, timeout).await?;
    }
    Ok(())
}

fn user_name() -> Option<String> {
    std::env::var("USER").ok().filter(|user| !user.is_empty())
}

/// Enters the request and returns its version. Guards against an entry that is reported as rejected because
/// the reply to an earlier attempt was lost: the request names its base version, so it is entered once at
/// most.
async fn enter(client: &Client, request: &PutRequest) -> Result<Version, PutError> {
    let CallFailure { error, may_be_entered } = match client.call(PUT_PATH, request).await {
        Ok(version) => return Ok(version),
        Err(failure) => failure,
    };
    match error {
        CallError::Rejected(RequestError::OutOfDate(latest)) => {
            let version = if may_be_entered { entered_version(client, request).await? } else { None };
            version.ok_or_else(|| out_of_date(latest.as_deref(), request))
        }
        CallError::NoLeader(_) if may_be_entered => {
            Err(PutError::OutcomeUnknown { base_version: request.base_version, source: error })
        }
        CallError::NoLeader(_) | CallError::Rejected(_) => Err(PutError::Call(error)),
    }
}

fn out_of_date(latest: Option<&HistoryEntry>, request: &PutRequest) -> PutError {
    let unknown = || format!("{}: its latest version is another one", request.scope);
    PutError::OutOfDate {
        latest: latest.map_or_else(unknown, entry_summary),
        base_version: request.base_version,
    }
}

/// The version under which this request is in the history.
async fn entered_version(client: &Client, request: &PutRequest) -> Result<Option<Version>, PutError> {
    let history: Result<Vec<HistoryEntry>, CallFailure> =
        client.call(HISTORY_PATH, &Some(&request.scope)).await;
    let history = history.map_err(|failure| failure.error)?;
    let entry = history.iter().find(|entry| {
        entry.base_version == request.base_version
            && entry.content_hash == request.content_hash
            && entry.author == request.author
    });
    Ok(entry.map(|entry| entry.version))
}

/// Polls the rollout until the version is active at every reachable member that it concerns, and prints that.
async fn wait_until_active(
    client: &Client,
    scope: &Scope,
    version: Version,
    timeout: Duration,
) -> Result<(), PutError> {
    let started_at = Instant::now();
    loop {
        let status = client.call(STATUS_PATH, &()).await;
        let status: ConfigurationStatus = status
            .map_err(|CallFailure { error, .. }| PutError::RolloutUnknown { version, source: error })?;
        let progress = RolloutProgress::new(&status, scope, version);
        if progress.is_complete() {
            println!("in force at {}", progress.complete_text());
            return Ok(());
        }
        if progress.pending.is_empty() || started_at.elapsed() >= timeout {
            return Err(PutError::RolloutIncomplete { version, progress });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// How far the rollout of a version is, by the members that it concerns.
#[derive(Debug, Default)]
pub struct RolloutProgress {
    /// Members where the version, or a later one, is active.
    active: usize,
    /// Members that will activate or reject it.
    pending: Vec<String>,
    /// Members that rejected it, each with its reason.
    rejected: Vec<String>,
    /// Members without a recent heartbeat.
    unreachable: Vec<String>,
}

impl RolloutProgress {
    fn new(status: &ConfigurationStatus, scope: &Scope, version: Version) -> Self {
        let mut progress = RolloutProgress::default();
        for member in status.members.iter().filter(|member| concerns(scope, member)) {
            progress.add(member, version);
        }
        if !status.is_reachability_known {
            progress.expect_unreachable(&status.members);
        }
        progress
    }

    fn add(&mut self, member: &MemberRollout, version: Version) {
        match &member.rejected {
            _ if member.state == RolloutState::Unreachable => self.unreachable.push(member.name.clone()),
            _ if member.active >= version => self.active += 1,
            Some((rejected, reason)) if *rejected >= version => {
                self.rejected.push(format!("{}: {reason}", member.name));
            }
            _ => self.pending.push(member.name.clone()),
        }
    }

    /// Counts every unreachable member as pending: a leader that was just elected does not know the service
    /// and zone of a member that has not sent it a heartbeat.
    fn expect_unreachable(&mut self, members: &[MemberRollout]) {
        let unreachable = members.iter().filter(|member| member.state == RolloutState::Unreachable);
        self.pending.extend(unreachable.map(|member| member.name.clone()));
    }

    fn is_complete(&self) -> bool {
        self.pending.is_empty() && self.rejected.is_empty()
    }

    fn complete_text(&self) -> String {
        let unreachable = named("; not heard of: ", &self.unreachable);
        format!("{active} of {active}{unreachable}", active = self.active)
    }

    fn incomplete_text(&self) -> String {
        let all = self.active + self.rejected.len() + self.pending.len();
        let rejected = named("; refused by ", &self.rejected);
        let pending = named("; on its way to ", &self.pending);
        format!("{} of {all}{rejected}{pending}", self.active)
    }
}

fn concerns(scope: &Scope, member: &MemberRollout) -> bool {
    let target =
        Target { name: member.name.clone(), service: member.service.clone(), zone: member.zone.clone() };
    member.state != RolloutState::NotFollowing && target.scopes().contains(scope)
}

/// The label and the first of the names; nothing where there are none.
fn named(label: &str, names: &[String]) -> String {
    if names.is_empty() {
        return String::new();
    }
    let shown = names.iter().take(MAX_NAMED_MEMBERS).cloned().collect::<Vec<_>>().join(", ");
    match names.len().saturating_sub(MAX_NAMED_MEMBERS) {
        0 => format!("{label}{shown}"),
        hidden => format!("{label}{shown} and {hidden} more"),
    }
}
