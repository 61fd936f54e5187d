//! A new process of the balancer takes over from the old one while callers come.
//!
//! The new one asks for the listening socket, gets it with the list of upstreams and a part of the descriptors, says
//! when it can serve, and accepts from then on; the old one accepts nobody any more, closes each connection with its
//! next answer, tells what it leaves, and ends. Whatever goes wrong, both go on: the new process listens for itself, the
//! old one takes back what it gave.

use super::configuration::ConfigurationTask;
use super::running::RunningInstance;
use crate::protocol::handover::{FromNew, FromOld, Known};
use crate::transport::handover::{self as transport, Link, Meeting};
use fernroute_fleet::member::MemberHandover;
use futures_util::future::{join, select, Either};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The old process answers within this time, or is passed over: a new one is to be ready within six seconds, whatever
/// becomes of the old one.
const ANSWER: Duration = Duration::from_secs(1);

/// A new process that gets no list from the old one waits for discovery's for this long before it serves by its file's.
const TRUST: Duration = Duration::from_secs(3);

/// A process that is ending is waited for so long: told to stop, it is gone by then, and with it its door's address.
const ENDS: Duration = Duration::from_secs(5);

/// How often the state of things is looked at, and told to the other process.
const LOOK: Duration = Duration::from_millis(20);
const TELL: Duration = Duration::from_millis(100);

/// The process that was there before this one.
pub enum Predecessor {
    Nobody,
    Serving(Box<ServingPredecessor>),
    /// Somebody may be there, and does not hand over.
    Unknown,
}

impl Predecessor {
    pub fn serving(&self) -> Option<&ServingPredecessor> {
        match self {
            Predecessor::Serving(other) => Some(other),
            _ => None,
        }
    }
}

/// An old process that hands over.
pub struct ServingPredecessor {
    link: Link,
    pub listener: Option<TcpListener>,
    pub list: Known,
    pub descriptors: usize,
    /// Its half of a fleet's budgets, if it handed one over, and when it was asked to.
    pub member: Option<(MemberHandover, Instant)>,
}

/// Asks the process that serves at this address, if there is one, to hand over. An error is its word that it won't. Guards
/// against a restart that comes to nothing since the process before it is still answering its last callers.
pub async fn look(name: &str, listen: SocketAddr) -> Result<Predecessor, String> {
    let from = Instant::now();
    loop {
        if let Some(before) = look_once(name, listen).await? {
            return Ok(before);
        }
        if from.elapsed() >= ENDS {
            tracing::warn!("the process before is still ending, starting all the same");
            return Ok(Predecessor::Nobody);
        }
        actix_rt::time::sleep(TELL).await;
    }
}

/// None where the process that is there is ending.
async fn look_once(name: &str, listen: SocketAddr) -> Result<Option<Predecessor>, String> {
    let asked = async {
        let path = transport::path(name, listen)?;
        let link = match Link::connect(&path).await {
            // Killed, and its file is still there: nobody serves.
            Err(why) if why.kind() == std::io::ErrorKind::ConnectionRefused => {
                tracing::warn!("{}: left by a process that is no more", path.display());
                None
            }
            other => other.map_err(|e| format!("{}: {e}", path.display()))?,
        };
        match link {
            Some(link) => {
                timeout(ANSWER, take(link, listen)).await.map_err(|_| "no answer".to_owned())?.map(Some)
            }
            None => Ok(None),
        }
    };
    match asked.await {
        Ok(None) => Ok(Some(Predecessor::Nobody)),
        Ok(Some(Ok(serving))) => Ok(Some(Predecessor::Serving(Box::new(serving)))),
        Ok(Some(Err((_, true)))) => Ok(None),
        Ok(Some(Err((refused, false)))) => {
            Err(format!("the process that serves on {listen} hands nothing over: {refused}"))
        }
        Err(why) => {
            tracing::warn!("no process hands over, starting as if alone: {why}");
            Ok(Some(Predecessor::Unknown))
        }
    }
}

/// The inner error is a refusal, and whether it is of a process that is ending.
async fn take(
    mut link: Link,
    listen: SocketAddr,
) -> Result<Result<ServingPredecessor, (String, bool)>, String> {
    let asked = Instant::now();
    link.say(&FromNew::take()).await.map_err(|e| e.to_string())?;
    let (list, descriptors, member, socket) = match link.hear().await.map_err(|e| e.to_string())? {
        Some((FromOld::Given { list, descriptors, member, .. }, Some(socket))) => {
            (list, descriptors, member.map(|member| (member, asked)), socket)
        }
        Some((FromOld::Refused { why, ending }, _)) => return Ok(Err((why, ending))),
        Some((other, _)) => return Err(format!("{other:?} without the socket")),
        None => return Err("it ended".to_owned()),
    };
    let listener = std::net::TcpListener::from(socket);
    let same = listener.local_addr().is_ok_and(|at| at == listen || listen.port() == 0);
    if !same || listener.set_nonblocking(true).is_err() {
        return Err("its socket is another".to_owned());
    }
    let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
    Ok(Ok(ServingPredecessor { link, listener: Some(listener), list, descriptors, member }))
}

/// Takes over from the process before this one, if there is one, then waits for a successor for as long as the program
/// runs; ends once a successor has all.
pub async fn follow(
    running: Rc<RunningInstance>,
    before: Predecessor,
    followed: Option<Rc<ConfigurationTask>>,
) -> Result<(), String> {
    // The stewards' word of what to go by is waited for beside all else, and no longer than is stated.
    let told = async {
        if let Some(followed) = &followed {
            followed.settle().await;
        }
    };
    // What is in the way of handing over has been told then.
    let usual = matches!(before, Predecessor::Unknown);
    match before {
        Predecessor::Nobody if followed.is_none() => {}
        Predecessor::Nobody => {
            told.await;
            begin(&running).await?;
        }
        Predecessor::Unknown => {
            join(told, trust(&running)).await;
            begin(&running).await?;
        }
        Predecessor::Serving(other) => take_over(&running, other.link, told).await?,
    }
    loop {
        let meeting = match running.meeting() {
            Ok(path) => Meeting::open(&path).await.map_err(|why| format!("{}: {why}", path.display())),
            Err(why) => Err(why),
        };
        match meeting {
            Ok(meeting) => {
                if serve_successors(&running, meeting).await {
                    break;
                }
            }
            Err(why) => {
                if usual {
                    tracing::info!("no successor can be handed over to: {why}");
                } else {
                    tracing::warn!("no successor can be handed over to: {why}");
                }
                return std::future::pending().await;
            }
        }
    }
    tracing::info!("a successor has taken over");
    Ok(())
}

/// Told to stop before it began, a process never does.
async fn begin(running: &RunningInstance) -> Result<(), String> {
    if running.board.phase.get().is_leaving() {
        return std::future::pending().await;
    }
    running.begin()
}

/// Until discovery has told the list: what the file says may be old, and another process may have been told of upstreams
/// that leave.
async fn trust(running: &RunningInstance) {
    let from = Instant::now();
    while !running.board.heard.get() && from.elapsed() < TRUST {
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn take_over(
    running: &Rc<RunningInstance>,
    mut link: Link,
    told: impl Future<Output = ()>,
) -> Result<(), String> {
    tracing::info!(
        "taking over from the process that serves, {} descriptors for a start",
        running.share().part
    );
    {
        let listed = pin!(async {
            told.await;
            while running.board.upstreams.borrow().is_empty() {
                actix_rt::time::sleep(LOOK).await;
            }
        });
        // Guards against a queue that nobody serves from: with the old process gone, what is in it waits for this one.
        if let Either::Right((word, _)) = select(listed, pin!(link.hear::<FromOld>())).await {
            tracing::warn!("the old process did not wait for this one: {word:?}");
        }
    }
    if running.board.phase.get().is_leaving() {
        return std::future::pending().await;
    }
    // Its word is out before this process accepts: should it not get there, the old one is no more.
    let told = link.say(&FromNew::Ready).await;
    begin(running).await?;
    if told.is_ok() {
        let running = Rc::clone(running);
        let yours = Rc::new(Notify::new());
        let is_yours = Rc::clone(&yours);
        actix_rt::spawn(async move {
            while let Ok(Some((word, _))) = link.hear::<FromOld>().await {
                match word {
                    FromOld::Left { descriptors } => running.set_share(|share| share.part = descriptors),
                    FromOld::Yours => is_yours.notify_one(),
                    other => tracing::warn!("the old process says {other:?}"),
                }
            }
            tracing::info!("the old process has ended");
            running.set_share(|share| share.take_all());
            running.part(|part| part.take_all());
            is_yours.notify_one();
        });
        yours.notified().await;
    } else {
        running.set_share(|share| share.take_all());
        running.part(|part| part.take_all());
    }
    Ok(())
}

/// Waits at the meeting place; true once a successor has all that this process had.
async fn serve_successors(running: &RunningInstance, meeting: Meeting) -> bool {
    loop {
        let link = match meeting.accept().await {
            Ok(link) => link,
            Err(why) => {
                tracing::warn!("a successor: {why}");
                actix_rt::time::sleep(TELL).await;
                continue;
            }
        };
        let ready = {
            let refuse = pin!(refuse_others(&meeting));
            match select(pin!(give(running, link)), refuse).await {
                Either::Left((ready, _)) => ready,
                Either::Right(((), _)) => None,
            }
        };
        let Some(link) = ready else {
            running.set_share(|share| share.take_all());
            running.part(|part| part.take_back());
            continue;
        };
        running.board.phase_change(|phase, now| phase.hand_over(now));
        running.server.set_accepting(false);
        running.set_share(|share| share.handed = true);
        tracing::info!("a successor serves");
        drop(meeting);
        if leave_to(running, link).await {
            return true;
        }
        tracing::warn!("the successor has ended, serving again");
        running.board.phase_change(|phase, _| phase.take_back());
        running.server.set_accepting(true);
        running.set_share(|share| share.take_all());
        running.part(|part| part.take_back());
        return false;
    }
}

/// While one successor is served no other is.
async fn refuse_others(meeting: &Meeting) {
    loop {
        match meeting.accept().await {
            Ok(link) => {
                // An end with a word unread would cut off the answer.
                let _ = timeout(ANSWER, link.hear::<FromNew>()).await;
                refuse(link, "another process takes over already", false).await;
            }
            Err(_) => actix_rt::time::sleep(TELL).await,
        }
    }
}

async fn refuse(mut link: Link, why: &str, ending: bool) {
    let _ = timeout(ANSWER, link.say(&FromOld::Refused { why: why.to_owned(), ending })).await;
}

/// Hands over to a successor; its end of the link once it can serve, none if it never will.
async fn give(running: &RunningInstance, mut link: Link) -> Option<Link> {
    let known = match timeout(ANSWER, link.hear::<FromNew>()).await {
        Ok(Ok(Some((word @ FromNew::Take { .. }, _)))) => word.is_known(),
        other => {
            tracing::warn!("who came to take over says {other:?}");
            return None;
        }
    };
    if !known {
        refuse(link, "this process can't hand over to one of that version", false).await;
        return None;
    }
    let Some(socket) = running.server.listener() else {
        refuse(link, "this process is ending", true).await;
        return None;
    };
    running.set_share(|share| share.keep(running.connections()));
    let descriptors = running.share().left(running.connections());
    tracing::info!("a successor comes, it gets {descriptors} descriptors");
    let mut handed = None;
    running.part(|part| handed = part.hand_over());
    let given = FromOld::given(running.known(), descriptors, handed);
    match timeout(ANSWER, link.say_with(&given, socket)).await {
        Ok(Ok(())) => {}
        _ => return None,
    }
    match link.hear::<FromNew>().await {
        Ok(Some((FromNew::Ready, _))) => Some(link),
        _ => {
            tracing::warn!("the successor ended before it could serve");
            None
        }
    }
}

/// Tells the successor what is left to it as connections end; true once none is left, false if the successor ends
/// before that.
async fn leave_to(running: &RunningInstance, mut link: Link) -> bool {
    if link.say(&FromOld::Yours).await.is_err() {
        return false;
    }
    let mut told = 0;
    while running.server.connections() > 0 {
        let descriptors = running.share().left(running.connections());
        if descriptors != told && link.say(&FromOld::Left { descriptors }).await.is_err() {
            return false;
        }
        told = descriptors;
        if let Ok(Ok(None) | Err(_)) = timeout(TELL, link.hear::<FromNew>()).await {
            return false;
        }
    }
    true
}
