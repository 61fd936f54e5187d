//! The HTTP service of a replica: one table of routes, for other replicas, members and operators.

use crate::peers::{self, position_after, MAX_MESSAGE_BYTES};
use crate::replica::Replica;
use crate::store::ReplicaPosition;
use crate::{configuration, duties, Raft, RaftTypes};
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
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
use thiserror::Error;
use tokio::net::TcpListener;

/// How long a caller may take to send a request's head; callers give up on a reply sooner.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The longest message of a member: its name, its demand for 1,024 budgets with the longest names, and as many duties.
pub const MAX_HEARTBEAT_BYTES: usize = 256 << 10;

/// The longest content as JSON, every character of it escaped, with its envelope.
const MAX_PUT_BYTES: usize = 6 * MAX_CONTENT_BYTES + MAX_HEARTBEAT_BYTES;

/// Why a request gets no reply of its own kind. The text is the response's body.
#[derive(Debug, Error)]
enum HttpError {
    #[error("method not allowed")]
    MethodNotAllowed,
    #[error("no such path")]
    NotFound,
    #[error("{0}")]
    NotStarted(String),
    #[error("replica unavailable: {0}")]
    Unavailable(String),
    #[error(transparent)]
    Receive(#[from] PayloadError),
    #[error("message longer than {max_bytes} bytes")]
    TooLong { max_bytes: usize },
    #[error(transparent)]
    Decode(serde_json::Error),
    #[error("unsupported protocol version {version}, expected {PROTOCOL_VERSION}")]
    UnknownVersion { version: u32 },
    #[error("wrong cluster: this coordinator belongs to the cluster {own}")]
    OtherCluster { own: String },
    #[error("wrong recipient: this coordinator has the identifier {own}")]
    OtherReplica { own: u64 },
    #[error(transparent)]
    Encode(serde_json::Error),
}

impl HttpError {
    fn status(&self) -> StatusCode {
        match self {
            HttpError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            HttpError::NotFound => StatusCode::NOT_FOUND,
            HttpError::NotStarted(_) | HttpError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            HttpError::Receive(_) | HttpError::Decode(_) | HttpError::UnknownVersion { .. } => {
                StatusCode::BAD_REQUEST
            }
            HttpError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            HttpError::OtherCluster { .. } | HttpError::OtherReplica { .. } => StatusCode::CONFLICT,
            HttpError::Encode(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Whether the message could not be read, unlike one for another replica or another cluster.
    fn is_unreadable(&self) -> bool {
        matches!(self.status(), StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE)
    }
}

/// What handles the requests of a path.
#[derive(Clone, Copy)]
enum Handler {
    Info,
    Status,
    Append,
    Vote,
    Snapshot,
    Heartbeat,
    Membership,
    DutyStatus,
    DutyRelease,
    DutyNote,
    ConfigurationFetch,
    ConfigurationPut,
    ConfigurationGet,
    ConfigurationHistory,
    ConfigurationStatus,
}

/// One path, with the only method that it accepts.
struct Route {
    method: Method,
    path: &'static str,
    handler: Handler,
}

const fn get(path: &'static str, handler: Handler) -> Route {
    Route { method: Method::GET, path, handler }
}

const fn post(path: &'static str, handler: Handler) -> Route {
    Route { method: Method::POST, path, handler }
}

static ROUTES: [Route; 15] = [
    get(peers::INFO_PATH, Handler::Info),
    get(peers::STATUS_PATH, Handler::Status),
    post(peers::APPEND_PATH, Handler::Append),
    post(peers::VOTE_PATH, Handler::Vote),
    post(peers::SNAPSHOT_PATH, Handler::Snapshot),
    post(HEARTBEAT_PATH, Handler::Heartbeat),
    post(peers::CHANGE_PATH, Handler::Membership),
    post(duties::STATUS_PATH, Handler::DutyStatus),
    post(duties::RELEASE_PATH, Handler::DutyRelease),
    post(duties::NOTE_PATH, Handler::DutyNote),
    post(FETCH_PATH, Handler::ConfigurationFetch),
    post(configuration::PUT_PATH, Handler::ConfigurationPut),
    post(configuration::GET_PATH, Handler::ConfigurationGet),
    post(configuration::HISTORY_PATH, Handler::ConfigurationHistory),
    post(configuration::STATUS_PATH, Handler::ConfigurationStatus),
];

/// Serves for as long as the program runs.
///
/// # Errors
/// Where the service could not be built, as the one line that an operator reads.
pub async fn serve(replica: Rc<Replica>, listener: TcpListener) -> Result<(), String> {
    let respond = move |request: Request| {
        let replica = Rc::clone(&replica);
        async move { Ok::<_, Infallible>(respond(&replica, request).await) }
    };
    let service =
        HttpService::<_, _, BoxBody>::build().client_request_timeout(HEAD_TIMEOUT).h1(fn_service(respond));
    let service =
        service.new_service(()).await.map_err(|()| "could not build the HTTP service".to_owned())?;
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // A failure only adds latency.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    if let Err(error) = service.call((stream, Some::<SocketAddr>(peer))).await {
                        tracing::debug!(%peer, %error, "connection failed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn respond(replica: &Replica, mut request: Request) -> Response<BoxBody> {
    match handle(replica, &mut request).await {
        Ok(body) => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
        Err(error) => {
            if error.is_unreadable() {
                replica.unreadable_messages.set(replica.unreadable_messages.get() + 1);
            }
            tracing::debug!(path = request.path(), %error, "request rejected");
            Response::build(error.status()).body(error.to_string()).map_into_boxed_body()
        }
    }
}

async fn handle(replica: &Replica, request: &mut Request) -> Result<Vec<u8>, HttpError> {
    let route = ROUTES.iter().find(|route| route.path == request.path()).ok_or(HttpError::NotFound)?;
    if route.method != *request.method() {
        return Err(HttpError::MethodNotAllowed);
    }
    match route.handler {
        Handler::Info => json(&replica.info()),
        Handler::Status => json(&replica.status()),
        Handler::Append | Handler::Vote | Handler::Snapshot => {
            handle_raft(replica, route.handler, request).await
        }
        Handler::Heartbeat => {
            let heartbeat: Heartbeat = read(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.on_heartbeat(&heartbeat).await)
        }
        Handler::Membership => {
            let names: Vec<String> = read(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.change_membership(&names).await.map_err(|error| error.to_string()))
        }
        Handler::DutyStatus | Handler::DutyRelease | Handler::DutyNote => {
            handle_duty(replica, route.handler, request).await
        }
        _ => handle_configuration(replica, route.handler, request).await,
    }
}

/// Handles one of raft's requests, and records the sender's position by it.
async fn handle_raft(
    replica: &Replica,
    handler: Handler,
    request: &mut Request,
) -> Result<Vec<u8>, HttpError> {
    match handler {
        Handler::Append => {
            let message: AppendEntriesRequest<RaftTypes> = read_from_peer(replica, request).await?;
            replica.peers.record_position(message.vote.leader_id.node_id, position_after(&message));
            json(&started_raft(replica)?.append_entries(message).await)
        }
        Handler::Vote => {
            let message: VoteRequest<u64> = read_from_peer(replica, request).await?;
            let position = ReplicaPosition::new(&message.vote, message.last_log_id.as_ref());
            replica.peers.record_position(message.vote.leader_id.node_id, position);
            json(&started_raft(replica)?.vote(message).await)
        }
        _ => {
            let message = read_from_peer(replica, request).await?;
            json(&started_raft(replica)?.install_snapshot(message).await)
        }
    }
}

fn started_raft(replica: &Replica) -> Result<&Raft, HttpError> {
    replica.raft().ok_or_else(|| {
        HttpError::NotStarted(replica.fault().map_or_else(String::new, |fault| fault.to_string()))
    })
}

/// Rejects a request while this replica takes no part in the cluster, so that the caller tries another one.
fn check_available(replica: &Replica) -> Result<(), HttpError> {
    replica.fault().map_or(Ok(()), |fault| Err(HttpError::Unavailable(fault.to_string())))
}

async fn handle_configuration(
    replica: &Replica,
    handler: Handler,
    request: &mut Request,
) -> Result<Vec<u8>, HttpError> {
    check_available(replica)?;
    match handler {
        Handler::ConfigurationFetch => {
            json(&replica.fetch(&read(replica, request, MAX_HEARTBEAT_BYTES).await?))
        }
        Handler::ConfigurationPut => json(&replica.put(read(replica, request, MAX_PUT_BYTES).await?).await),
        Handler::ConfigurationStatus => {
            read::<()>(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.configuration_status().await)
        }
        Handler::ConfigurationGet => {
            json(&replica.latest(&read(replica, request, MAX_HEARTBEAT_BYTES).await?).await)
        }
        _ => {
            let scope: Option<Scope> = read(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.history(scope.as_ref()).await)
        }
    }
}

async fn handle_duty(
    replica: &Replica,
    handler: Handler,
    request: &mut Request,
) -> Result<Vec<u8>, HttpError> {
    check_available(replica)?;
    match handler {
        Handler::DutyStatus => {
            read::<()>(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.duty_status().await)
        }
        Handler::DutyRelease => {
            let duty: String = read(replica, request, MAX_HEARTBEAT_BYTES).await?;
            json(&replica.release_duty(&duty).await)
        }
        _ => json(&replica.note_duty(read(replica, request, MAX_HEARTBEAT_BYTES).await?).await),
    }
}

fn json(reply: &impl Serialize) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(reply).map_err(HttpError::Encode)
}

/// The message of a member or an operator, to whichever replica of this cluster.
async fn read<M: DeserializeOwned>(
    replica: &Replica,
    request: &mut Request,
    max_bytes: usize,
) -> Result<M, HttpError> {
    let envelope = read_envelope(replica, request, max_bytes).await?;
    serde_json::from_value(envelope.message).map_err(HttpError::Decode)
}

/// The message of another replica. Guards against one that is meant for the former replica at this address, whose disk
/// was lost: this replica would vote a second time in a term in which that one has voted.
async fn read_from_peer<M: DeserializeOwned>(
    replica: &Replica,
    request: &mut Request,
) -> Result<M, HttpError> {
    let envelope = read_envelope(replica, request, MAX_MESSAGE_BYTES).await?;
    if envelope.recipient != replica.identity.id {
        return Err(HttpError::OtherReplica { own: replica.identity.id });
    }
    serde_json::from_value(envelope.message).map_err(HttpError::Decode)
}

/// The envelope of a request, with its message as plain JSON: the fields of another protocol version are unknown.
async fn read_envelope(
    replica: &Replica,
    request: &mut Request,
    max_bytes: usize,
) -> Result<Envelope<serde_json::Value>, HttpError> {
    let mut payload: Payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > max_bytes {
            return Err(HttpError::TooLong { max_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    let envelope: Envelope<serde_json::Value> = serde_json::from_slice(&body).map_err(HttpError::Decode)?;
    if envelope.version != PROTOCOL_VERSION {
        return Err(HttpError::UnknownVersion { version: envelope.version });
    }
    if envelope.cluster != replica.identity.cluster {
        return Err(HttpError::OtherCluster { own: replica.identity.cluster.clone() });
    }
    Ok(envelope)
}
