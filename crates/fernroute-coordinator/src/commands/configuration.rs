//! `fernroute-coordinator configuration`: what the balancers of a fleet go by.

use super::operator::{print, Operator, Said, AGAIN};
use super::{end, refuse, run_on_one_thread};
use crate::configuration::{
    check, ConfigurationStatus, Latest, PutRequest, RequestError, ScopeStatus, GET, HISTORY, PUT, STATUS,
};
use argh::FromArgs;
use chrono::{DateTime, SecondsFormat};
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState};
use fernroute_fleet::configuration::{content_hash, Scope, Target, Version, MAX_CONTENT_BYTES};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long `put --wait` waits where it is not told, seconds.
const WAIT: &str = "60";

/// How many members a line names.
const MOST_NAMED: usize = 10;

/// What the balancers of a fleet go by: check, put, get, status, history.
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub struct Configuration {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Put(Put),
    Get(Get),
    Status(Status),
    History(History),
}

/// Say whether balancers would take a file as a part of theirs.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// part of a balancer's file
    #[argh(positional)]
    file: PathBuf,
}

/// Enter a part of a balancer's file for a scope, and print its version.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// part of a balancer's file; an empty one says nothing any more
    #[argh(positional)]
    file: PathBuf,
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// all, service/S, service/S/zone/Z or balancer/B
    #[argh(option)]
    scope: Scope,
    /// the scope's version that the file was made from, 0 for none; the latest one where it is left out
    #[argh(option)]
    from: Option<Version>,
    /// who says so; $USER where it is left out
    #[argh(option)]
    who: Option<String>,
    /// wait so many seconds until it is in force at every member that is heard of; 60 where no number stands there
    #[argh(option)]
    wait: Option<f64>,
}

/// Print what a scope says: the content to standard output, its version to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// all, service/S, service/S/zone/Z or balancer/B
    #[argh(option)]
    scope: Scope,
}

/// Print where each member stands: in force, on its way, refused, not heard of.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Print who entered what and when, the oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// of this scope alone
    #[argh(option)]
    scope: Option<Scope>,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// The words of a command line, with a number after each `--wait` of `put` that has none: the parser knows options with
/// a value or without, not both.
pub fn waits(words: Vec<&str>) -> Vec<&str> {
    if !words.starts_with(&["configuration", "put"]) {
        return words;
    }
    let next = words.iter().skip(1).map(Some).chain([None]);
    let more = |(word, next): (&&'_ str, Option<&&str>)| {
        let bare = *word == "--wait" && next.is_none_or(|next| next.parse::<f64>().is_err());
        bare.then_some(WAIT)
    };
    let more: Vec<Option<&str>> = words.iter().zip(next).map(more).collect();
    words.into_iter().zip(more).flat_map(|(word, more)| [Some(word), more]).flatten().collect()
}

/// Refusals are one line and code 2; what is entered and not in force everywhere, or not known to be entered, is one line
/// and code 1.
pub fn run(command: Configuration) -> ExitCode {
    let done = match command.command {
        Command::Check(it) => read(&it.file).and_then(|content| {
            check(&content).map_err(|why| format!("{}: {why}", it.file.display()))?;
            println!("{}: will do: {} bytes, {}", it.file.display(), content.len(), content_hash(&content));
            Ok(ExitCode::SUCCESS)
        }),
        Command::Put(it) => read(&it.file).and_then(|content| run_on_one_thread(put(it, content))),
        Command::Get(it) => run_on_one_thread(get(it)),
        Command::Status(it) => run_on_one_thread(async move {
            let standings: ConfigurationStatus = Operator::open(&it.at).await?.ask(STATUS, &()).await?;
            print(it.json, &standings, table(&standings))
        }),
        Command::History(it) => run_on_one_thread(async move {
            let lines: Vec<HistoryEntry> = Operator::open(&it.at).await?.ask(HISTORY, &it.scope).await?;
            print(it.json, &lines, past(&lines))
        }),
    };
    done.unwrap_or_else(|why| refuse(&why))
}

fn read(file: &Path) -> Result<String, String> {
    let trouble = |why: String| format!("{}: {why}", file.display());
    let bytes = std::fs::read(file).map_err(|e| trouble(e.to_string()))?;
    if bytes.len() > MAX_CONTENT_BYTES {
        return Err(trouble(format!("it has {} bytes, over {MAX_CONTENT_BYTES}", bytes.len())));
    }
    String::from_utf8(bytes).map_err(|e| trouble(e.to_string()))
}

async fn get(it: Get) -> Result<ExitCode, String> {
    let latest: Latest = Operator::open(&it.at).await?.ask(GET, &it.scope).await?;
    let Some(part) = latest.part else { return Err(format!("{}: nothing was ever put", it.scope)) };
    print!("{}", part.content);
    match latest.line {
        Some(line) => eprintln!("{}", told(&line)),
        None => eprintln!("{}: version {}, {}", it.scope, part.version, part.content_hash),
    }
    Ok(ExitCode::SUCCESS)
}

async fn put(it: Put, content: String) -> Result<ExitCode, String> {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    let who = it.who.or_else(user).ok_or("--who: nobody is named, and $USER is not there")?;
    let wait = it.wait.map(Duration::try_from_secs_f64).transpose().map_err(|e| format!("--wait: {e}"))?;
    let operator = Operator::open(&it.at).await?;
    let latest: Latest = operator.ask(GET, &it.scope).await?;
    let base = it.from.unwrap_or(latest.part.map_or(0, |part| part.version));
    let wish = PutRequest { scope: it.scope, base, hash: content_hash(&content), content, who };
    let version = match enter(&operator, &wish).await? {
        Ok(version) => version,
        Err(unknown) => return Ok(end(1, &unknown)),
    };
    println!("version {version}");
    match wait {
        Some(wait) => in_force(&operator, &wish.scope, version, wait).await,
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Its version; or that it is not known whether it is entered. Asked again where it is not known: guards against a word
/// that is taken for lost because the leader was, and entered twice. It names its base, so it is entered once.
async fn enter(operator: &Operator, wish: &PutRequest) -> Result<Result<Version, String>, String> {
    let mut unsure = false;
    match operator.say(PUT, wish, &mut unsure).await {
        Said::Answer(version) => Ok(Ok(version)),
        Said::Not(RequestError::OutOfDate(line)) if unsure => match entered(operator, wish).await? {
            Some(version) => Ok(Ok(version)),
            None => Err(out_of_date(line, wish)),
        },
        Said::Not(RequestError::OutOfDate(line)) => Err(out_of_date(line, wish)),
        Said::Not(RequestError::Refused(why)) => Err(why),
        Said::Not(not) => Err(format!("{not:?}")),
        Said::Nobody(why) if unsure => Ok(Err(format!(
            "not known whether it is entered, see history, or put it again with --from {}: {why}",
            wish.base
        ))),
        Said::Nobody(why) => Err(why),
    }
}

fn out_of_date(latest: Option<Box<HistoryEntry>>, wish: &PutRequest) -> String {
    let latest = latest.map_or_else(|| format!("{}: of another version", wish.scope), |line| told(&line));
    format!("{latest}; the file was made from version {}", wish.base)
}

/// The version under which this very word stands in the history, if it does.
async fn entered(operator: &Operator, wish: &PutRequest) -> Result<Option<Version>, String> {
    let lines: Vec<HistoryEntry> = operator.ask(HISTORY, &Some(&wish.scope)).await?;
    let same = |line: &&HistoryEntry| {
        line.base_version == wish.base && line.content_hash == wish.hash && line.author == wish.who
    };
    Ok(lines.iter().find(same).map(|line| line.version))
}

/// Waits until the version is in force wherever it concerns a member that is heard of.
async fn in_force(
    operator: &Operator,
    scope: &Scope,
    version: Version,
    wait: Duration,
) -> Result<ExitCode, String> {
    let from = Instant::now();
    loop {
        let s: ConfigurationStatus = match operator.say(STATUS, &(), &mut false).await {
            Said::Answer(standings) => standings,
            Said::Nobody(why) | Said::Not(RequestError::Refused(why)) => {
                return Ok(end(
                    1,
                    &format!("version {version} is entered; where it is in force is not known: {why}"),
                ));
            }
            Said::Not(not) => return Ok(end(1, &format!("version {version} is entered; {not:?}"))),
        };
        let concerned = |m: &&MemberRollout| {
            let place = Target { name: m.name.clone(), service: m.service.clone(), zone: m.zone.clone() };
            m.state != RolloutState::NotFollowing && place.scopes().contains(scope)
        };
        let (mut done, mut silent, mut coming, mut refused) = (0, Vec::new(), Vec::new(), Vec::new());
        for m in s.members.iter().filter(concerned) {
            match (&m.rejected, m.state) {
                (_, RolloutState::Unreachable) => silent.push(m.name.clone()),
                _ if m.active >= version => done += 1,
                (Some((no, why)), _) if *no >= version => refused.push(format!("{}: {why}", m.name)),
                _ => coming.push(m.name.clone()),
            }
        }
        // Of a member that it has not heard of a new leader does not know where it stands.
        if !s.settled {
            let silent = s.members.iter().filter(|m| m.state == RolloutState::Unreachable);
            coming = coming.into_iter().chain(silent.map(|m| m.name.clone())).collect();
        }
        if coming.is_empty() && refused.is_empty() {
            let silent =
                if silent.is_empty() { String::new() } else { format!("; not heard of: {}", few(&silent)) };
            println!("in force at {done} of {done}{silent}");
            return Ok(ExitCode::SUCCESS);
        }
        if coming.is_empty() || from.elapsed() >= wait {
            let all = done + refused.len() + coming.len();
            let say = |what: &str, names: &[String]| {
                if names.is_empty() {
                    String::new()
                } else {
                    format!("; {what} {}", few(names))
                }
            };
            let (no, on) = (say("refused by", &refused), say("on its way to", &coming));
            return Ok(end(1, &format!("version {version} is in force at {done} of {all}{no}{on}")));
        }
        actix_rt::time::sleep(AGAIN).await;
    }
}

fn few(names: &[String]) -> String {
    let more = names.len().saturating_sub(MOST_NAMED);
    let named = names.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>().join(", ");
    if more == 0 {
        named
    } else {
        format!("{named} and {more} more")
    }
}

fn when(ms: u64) -> String {
    let at = i64::try_from(ms).ok().and_then(DateTime::from_timestamp_millis);
    at.map_or_else(|| ms.to_string(), |at| at.to_rfc3339_opts(SecondsFormat::Secs, true))
}

fn told(line: &HistoryEntry) -> String {
    let HistoryEntry { version, scope, author: who, entered_at_ms: when_ms, bytes, .. } = line;
    format!("{scope}: version {version}, by {who}, {}, {bytes} bytes", when(*when_ms))
}

/// The status for people.
fn table(s: &ConfigurationStatus) -> String {
    let n = &s.summary;
    let mut out = format!(
        "{}: version {}, {} leads; {} in force, {} on its way, {} refused, {} ahead, {} not heard of, {} follow none\n",
        s.cluster, s.version, s.leader, n.active, n.pending, n.rejected, n.ahead, n.unreachable, n.not_following
    );
    if !s.settled {
        out += "it has been elected just now: a member that is not heard of may not have come yet\n";
    }
    // Writing to a text does not fail.
    let _ = writeln!(out, "\n{:<40} {:>8} {:>8}  sha256", "scope", "version", "bytes");
    for ScopeStatus { scope, version, hash, bytes } in &s.scopes {
        let _ = writeln!(out, "{:<40} {version:>8} {bytes:>8}  {hash:.12}", scope.to_string());
    }
    let _ = writeln!(
        out,
        "\n{:<24} {:<16} {:<12} {:>8} {:>8}  standing",
        "member", "service", "zone", "wanted", "in force"
    );
    for m in &s.members {
        let standing = match (m.state, &m.rejected) {
            (RolloutState::Active, _) => "in force".to_owned(),
            (RolloutState::Pending, Some((no, why))) => format!("on its way (refused {no}: {why})"),
            (RolloutState::Pending, None) => "on its way".to_owned(),
            (RolloutState::Rejected, why) => {
                format!("refused: {}", why.as_ref().map_or("", |(_, why)| why.as_str()))
            }
            (RolloutState::Ahead, _) => "ahead".to_owned(),
            (RolloutState::Unreachable, _) => "not heard of".to_owned(),
            (RolloutState::NotFollowing, _) => "follows none".to_owned(),
        };
        let MemberRollout { name, service, zone, wanted, active: in_force, .. } = m;
        let _ = writeln!(out, "{name:<24} {service:<16} {zone:<12} {wanted:>8} {in_force:>8}  {standing}");
    }
    out
}

/// The history for people.
fn past(lines: &[HistoryEntry]) -> String {
    let mut out = format!(
        "{:>8} {:>8} {:<20} {:<40} {:>8}  {:<12}  who\n",
        "version", "from", "when", "scope", "bytes", "sha256"
    );
    for HistoryEntry {
        version,
        scope,
        base_version: base,
        content_hash: hash,
        bytes,
        author: who,
        entered_at_ms: when_ms,
    } in lines
    {
        let (when, scope) = (when(*when_ms), scope.to_string());
        let _ = writeln!(out, "{version:>8} {base:>8} {when:<20} {scope:<40} {bytes:>8}  {hash:.12}  {who}");
    }
    out
}
