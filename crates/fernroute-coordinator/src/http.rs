//! Answers other stewards, members and people.

use crate::configuration::{self, GET, HISTORY, PUT};
use crate::duties;
use crate::peers::{position_after, APPEND, CHANGE, INFO_PATH, MAX_MESSAGE_BYTES, SNAPSHOT, STATUS, VOTE};
use crate::replica::Replica;
use crate::store::ReplicaPosition;
use crate::{Raft, RaftTypes};
use actix_http::body::BoxBody;
use actix_http::{HttpService, Method, Payload, Request, Response, StatusCode};
use actix_service::{fn_service, Service as _, ServiceFactory as _};
use fernroute_fleet::configuration::{Scope, FETCH_PATH, MAX_CONTENT_BYTES};
use fernroute_fleet::message::{Envelope, Heartbeat, HEARTBEAT_PATH, PROTOCOL_VERSION};
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
pub const MAX_HEARTBEAT_BYTES: usize = 256 << 10;

/// The longest content as JSON, every character of it escaped, and what stands round it.
const MAX_PUT_BYTES: usize = 6 * MAX_CONTENT_BYTES + MAX_HEARTBEAT_BYTES;

/// Why a message is not taken.
struct HttpError(StatusCode, String);

/// Serves for as long as the program runs.
pub async fn serve(keeper: Rc<Replica>, listener: TcpListener) -> Result<(), String> {
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

async fn answer(keeper: &Rc<Replica>, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let done = match (request.method(), path.as_str()) {
        (&Method::GET, INFO_PATH) => json(&keeper.info()),
        (&Method::GET, STATUS) => json(&keeper.status()),
        (&Method::POST, APPEND | VOTE | SNAPSHOT) => steward(keeper, &path, &mut request).await,
        (&Method::POST, HEARTBEAT_PATH) => {
            match read::<Heartbeat>(keeper, &mut request, MAX_HEARTBEAT_BYTES, false).await {
                Ok(beat) => json(&keeper.on_heartbeat(&beat).await),
                Err(why) => Err(why),
            }
        }
        (&Method::POST, CHANGE) => {
            match read::<Vec<String>>(keeper, &mut request, MAX_HEARTBEAT_BYTES, false).await {
                Ok(names) => json(&keeper.change_membership(&names).await.map_err(|error| error.to_string())),
                Err(why) => Err(why),
            }
        }
        (&Method::POST, duties::STATUS | duties::RELEASE | duties::NOTE) => {
            duty(keeper, &path, &mut request).await
        }
        (&Method::POST, FETCH_PATH | PUT | GET | HISTORY | configuration::STATUS) => {
            configured(keeper, &path, &mut request).await
        }
        (
            _,
            APPEND
            | VOTE
            | SNAPSHOT
            | HEARTBEAT_PATH
            | CHANGE
            | INFO_PATH
            | STATUS
            | FETCH_PATH
            | PUT
            | GET
            | HISTORY
            | configuration::STATUS
            | duties::STATUS
            | duties::RELEASE
            | duties::NOTE,
        ) => Err(HttpError(StatusCode::METHOD_NOT_ALLOWED, "another verb".to_owned())),
        _ => Err(HttpError(StatusCode::NOT_FOUND, "nothing is here".to_owned())),
    };
    match done {
        Ok(body) => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
        Err(HttpError(status, why)) => {
            // One for another steward, or another cluster, was read.
            if matches!(status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE) {
                keeper.unreadable_messages.set(keeper.unreadable_messages.get() + 1);
            }
            tracing::debug!("{path}: {why}");
            Response::build(status).body(why).map_into_boxed_body()
        }
    }
}

/// A message of another steward. What it says of how far that one went is noted.
async fn steward(keeper: &Replica, path: &str, request: &mut Request) -> Result<Vec<u8>, HttpError> {
    let raft = |keeper: &Replica| -> Result<Raft, HttpError> {
        let raft = keeper.raft().cloned();
        raft.ok_or_else(|| {
            HttpError(
                StatusCode::SERVICE_UNAVAILABLE,
                keeper.fault().map_or_else(String::new, |fault| fault.to_string()),
            )
        })
    };
    let hear = |from: u64, mark: ReplicaPosition| keeper.peers.record_position(from, mark);
    match path {
        APPEND => {
            let message: AppendEntriesRequest<RaftTypes> =
                read(keeper, request, MAX_MESSAGE_BYTES, true).await?;
            hear(message.vote.leader_id.node_id, position_after(&message));
            json(&raft(keeper)?.append_entries(message).await)
        }
        VOTE => {
            let message: VoteRequest<u64> = read(keeper, request, MAX_MESSAGE_BYTES, true).await?;
            hear(
                message.vote.leader_id.node_id,
                ReplicaPosition::new(&message.vote, message.last_log_id.as_ref()),
            );
            json(&raft(keeper)?.vote(message).await)
        }
        _ => {
            let message = read(keeper, request, MAX_MESSAGE_BYTES, true).await?;
            json(&raft(keeper)?.install_snapshot(message).await)
        }
    }
}

/// What concerns configuration. One that takes no part, or can't use its disk, says so: whoever asks goes to another.
async fn configured(keeper: &Replica, path: &str, request: &mut Request) -> Result<Vec<u8>, HttpError> {
    if let Some(why) = keeper.fault() {
        return Err(HttpError(StatusCode::SERVICE_UNAVAILABLE, format!("takes no part: {why}")));
    }
    match path {
        FETCH_PATH => json(&keeper.fetch(&read(keeper, request, MAX_HEARTBEAT_BYTES, false).await?)),
        PUT => json(&keeper.put(read(keeper, request, MAX_PUT_BYTES, false).await?).await),
        configuration::STATUS => {
            read::<()>(keeper, request, MAX_HEARTBEAT_BYTES, false).await?;
            json(&keeper.configuration_status().await)
        }
        GET => json(&keeper.latest(&read(keeper, request, MAX_HEARTBEAT_BYTES, false).await?).await),
        _ => {
            let scope: Option<Scope> = read(keeper, request, MAX_HEARTBEAT_BYTES, false).await?;
            json(&keeper.history(scope.as_ref()).await)
        }
    }
}

/// What concerns duties.
async fn duty(keeper: &Replica, path: &str, request: &mut Request) -> Result<Vec<u8>, HttpError> {
    if let Some(why) = keeper.fault() {
        return Err(HttpError(StatusCode::SERVICE_UNAVAILABLE, format!("takes no part: {why}")));
    }
    match path {
        duties::STATUS => {
            read::<()>(keeper, request, MAX_HEARTBEAT_BYTES, false).await?;
            json(&keeper.duty_status().await)
        }
        duties::RELEASE => {
            let duty: String = read(keeper, request, MAX_HEARTBEAT_BYTES, false).await?;
            json(&keeper.release_duty(&duty).await)
        }
        _ => json(&keeper.note_duty(read(keeper, request, MAX_HEARTBEAT_BYTES, false).await?).await),
    }
}

fn json(what: &impl Serialize) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(what).map_err(|e| HttpError(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))
}

/// The message of a request. One that is for a steward of before, whose disk is gone, is not taken: this one would vote
/// again where that one has voted.
async fn read<M: DeserializeOwned>(
    keeper: &Replica,
    request: &mut Request,
    most: usize,
    mine: bool,
) -> Result<M, HttpError> {
    let mut payload: Payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| HttpError(StatusCode::BAD_REQUEST, e.to_string()))?;
        if body.len() + part.len() > most {
            return Err(HttpError(StatusCode::PAYLOAD_TOO_LARGE, format!("over {most} bytes")));
        }
        body.extend_from_slice(&part);
    }
    let bad = |why: String| HttpError(StatusCode::BAD_REQUEST, why);
    // The envelope first: of another version nothing else may be readable.
    let envelope: Envelope<serde_json::Value> =
        serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?;
    if envelope.version != PROTOCOL_VERSION {
        return Err(bad(format!("version {} is not known here, {PROTOCOL_VERSION} is", envelope.version)));
    }
    if envelope.cluster != keeper.identity.cluster {
        return Err(HttpError(
            StatusCode::CONFLICT,
            format!("this is the cluster {}", keeper.identity.cluster),
        ));
    }
    if mine && envelope.recipient != keeper.identity.id {
        return Err(HttpError(StatusCode::CONFLICT, format!("this is the steward {}", keeper.identity.id)));
    }
    serde_json::from_value(envelope.message).map_err(|e| bad(e.to_string()))
}
