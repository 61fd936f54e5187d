//! Answers other stewards, members and people.

use crate::configuration::{self, GET, HISTORY, PUT};
use crate::duties;
use crate::keep::Keeper;
use crate::peers::{sent, APPEND, CHANGE, MOST_BYTES, SNAPSHOT, STATUS, VOTE, WHO};
use crate::store::Mark;
use crate::{Kinds, Raft};
use actix_http::body::BoxBody;
use actix_http::{HttpService, Method, Payload, Request, Response, StatusCode};
use actix_service::{fn_service, Service as _, ServiceFactory as _};
use fernroute_fleet::configuration::{Scope, FETCH, MOST_CONTENT};
use fernroute_fleet::message::{Beat, Envelope, BEAT, VERSION};
use futures_util::StreamExt as _;
use openraft::raft::{AppendEntriesRequest, VoteRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A caller has this long for a head, and gives up on an answer sooner.
const HEAD: Duration = Duration::from_secs(5);

/// A message of a member: its name, what it wants of 1,024 budgets with the longest names, and as many duties.
pub const MOST_BEAT: usize = 256 << 10;

/// The longest content as JSON, every character of it escaped, and what stands round it.
const MOST_PUT: usize = 6 * MOST_CONTENT + MOST_BEAT;

/// Why a message is not taken.
struct Unfit(StatusCode, String);

/// Serves for as long as the program runs.
pub async fn serve(keeper: Rc<Keeper>, listener: TcpListener) -> Result<(), String> {
    let answer = move |request: Request| {
        let keeper = Rc::clone(&keeper);
        async move { Ok::<_, Infallible>(answer(&keeper, request).await) }
    };
    let service = HttpService::<_, _, BoxBody>::build().client_request_timeout(HEAD).h1(fn_service(answer));
    let service = service.new_service(()).await.map_err(|()| "the door did not open".to_owned())?;
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Only makes it quicker.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    let served = service.call((stream, Some::<SocketAddr>(peer))).await;
                    served.unwrap_or_else(|why| tracing::debug!("a connection: {why}"));
                });
            }
            Err(why) => {
                tracing::warn!("accept: {why}");
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn answer(keeper: &Rc<Keeper>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let done = match (request.method(), path.as_str()) {
        (&Method::GET, WHO) => json(&keeper.who()),
        (&Method::GET, STATUS) => json(&keeper.status()),
        (&Method::POST, APPEND | VOTE | SNAPSHOT) => steward(keeper, &path, &mut request).await,
        (&Method::POST, BEAT) => match read::<Beat>(keeper, &mut request, MOST_BEAT, false).await {
            Ok(beat) => json(&keeper.beat(&beat).await),
            Err(why) => Err(why),
        },
        (&Method::POST, CHANGE) => match read::<Vec<String>>(keeper, &mut request, MOST_BEAT, false).await {
            Ok(names) => json(&keeper.change(&names).await),
            Err(why) => Err(why),
        },
        (&Method::POST, duties::STATUS | duties::RELEASE | duties::NOTE) => {
            duty(keeper, &path, &mut request).await
        }
        (&Method::POST, FETCH | PUT | GET | HISTORY | configuration::STATUS) => {
            configured(keeper, &path, &mut request).await
        }
        (
            _,
            APPEND
            | VOTE
            | SNAPSHOT
            | BEAT
            | CHANGE
            | WHO
            | STATUS
            | FETCH
            | PUT
            | GET
            | HISTORY
            | configuration::STATUS
            | duties::STATUS
            | duties::RELEASE
            | duties::NOTE,
        ) => Err(Unfit(StatusCode::METHOD_NOT_ALLOWED, "another verb".to_owned())),
        _ => Err(Unfit(StatusCode::NOT_FOUND, "nothing is here".to_owned())),
    };
    match done {
        Ok(body) => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
        Err(Unfit(status, why)) => {
            // One for another steward, or another cluster, was read.
            if matches!(status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE) {
                keeper.unread.set(keeper.unread.get() + 1);
            }
            tracing::debug!("{path}: {why}");
            Response::build(status).body(why).map_into_boxed_body()
        }
    }
}

/// A message of another steward. What it says of how far that one went is noted.
async fn steward(keeper: &Keeper, path: &str, request: &mut Request) -> Result<Vec<u8>, Unfit> {
    let raft = |keeper: &Keeper| -> Result<Raft, Unfit> {
        let raft = keeper.raft().cloned();
        raft.ok_or_else(|| Unfit(StatusCode::SERVICE_UNAVAILABLE, keeper.trouble().unwrap_or_default()))
    };
    let hear = |from: u64, mark: Mark| keeper.peers.hear(from, mark);
    match path {
        APPEND => {
            let message: AppendEntriesRequest<Kinds> = read(keeper, request, MOST_BYTES, true).await?;
            hear(message.vote.leader_id.node_id, sent(&message));
            json(&raft(keeper)?.append_entries(message).await)
        }
        VOTE => {
            let message: VoteRequest<u64> = read(keeper, request, MOST_BYTES, true).await?;
            hear(message.vote.leader_id.node_id, Mark::new(&message.vote, message.last_log_id.as_ref()));
            json(&raft(keeper)?.vote(message).await)
        }
        _ => {
            let message = read(keeper, request, MOST_BYTES, true).await?;
            json(&raft(keeper)?.install_snapshot(message).await)
        }
    }
}

/// What concerns configuration. One that takes no part, or can't use its disk, says so: whoever asks goes to another.
async fn configured(keeper: &Keeper, path: &str, request: &mut Request) -> Result<Vec<u8>, Unfit> {
    if let Some(why) = keeper.trouble() {
        return Err(Unfit(StatusCode::SERVICE_UNAVAILABLE, format!("takes no part: {why}")));
    }
    match path {
        FETCH => json(&keeper.fetch(&read(keeper, request, MOST_BEAT, false).await?)),
        PUT => json(&keeper.put(read(keeper, request, MOST_PUT, false).await?).await),
        configuration::STATUS => {
            read::<()>(keeper, request, MOST_BEAT, false).await?;
            json(&keeper.standings().await)
        }
        GET => json(&keeper.latest(&read(keeper, request, MOST_BEAT, false).await?).await),
        _ => {
            let scope: Option<Scope> = read(keeper, request, MOST_BEAT, false).await?;
            json(&keeper.history(scope.as_ref()).await)
        }
    }
}

/// What concerns duties.
async fn duty(keeper: &Keeper, path: &str, request: &mut Request) -> Result<Vec<u8>, Unfit> {
    if let Some(why) = keeper.trouble() {
        return Err(Unfit(StatusCode::SERVICE_UNAVAILABLE, format!("takes no part: {why}")));
    }
    match path {
        duties::STATUS => {
            read::<()>(keeper, request, MOST_BEAT, false).await?;
            json(&keeper.duty_status().await)
        }
        duties::RELEASE => {
            let duty: String = read(keeper, request, MOST_BEAT, false).await?;
            json(&keeper.release_duty(&duty).await)
        }
        _ => json(&keeper.note_duty(read(keeper, request, MOST_BEAT, false).await?).await),
    }
}

fn json(what: &impl Serialize) -> Result<Vec<u8>, Unfit> {
    serde_json::to_vec(what).map_err(|e| Unfit(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))
}

/// The message of a request. One that is for a steward of before, whose disk is gone, is not taken: this one would vote
/// again where that one has voted.
async fn read<M: DeserializeOwned>(
    keeper: &Keeper,
    request: &mut Request,
    most: usize,
    mine: bool,
) -> Result<M, Unfit> {
    let mut payload: Payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Unfit(StatusCode::BAD_REQUEST, e.to_string()))?;
        if body.len() + part.len() > most {
            return Err(Unfit(StatusCode::PAYLOAD_TOO_LARGE, format!("over {most} bytes")));
        }
        body.extend_from_slice(&part);
    }
    let bad = |why: String| Unfit(StatusCode::BAD_REQUEST, why);
    // The envelope first: of another version nothing else may be readable.
    let envelope: Envelope<serde_json::Value> =
        serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?;
    if envelope.version != VERSION {
        return Err(bad(format!("version {} is not known here, {VERSION} is", envelope.version)));
    }
    if envelope.cluster != keeper.own.cluster {
        return Err(Unfit(StatusCode::CONFLICT, format!("this is the cluster {}", keeper.own.cluster)));
    }
    if mine && envelope.to != keeper.own.id {
        return Err(Unfit(StatusCode::CONFLICT, format!("this is the steward {}", keeper.own.id)));
    }
    serde_json::from_value(envelope.message).map_err(|e| bad(e.to_string()))
}
