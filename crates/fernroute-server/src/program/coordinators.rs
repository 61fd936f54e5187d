//! HTTP client for a fleet's coordinators. Counts the bytes of requests and replies for the operators' metrics.

use crate::routing::dispatcher::Dispatcher;
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::Client;
use fernroute_config::FleetConfig;
use fernroute_fleet::message::{Envelope, PROTOCOL_VERSION};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Why a coordinator's reply could not be used.
#[derive(Debug, Error)]
pub enum CoordinatorError {
    /// The message can't be encoded as JSON.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// There was no connection, or it broke before the head of the reply.
    #[error("{0}")]
    Send(#[source] SendRequestError),
    /// The body of the reply is incomplete, or longer than allowed.
    #[error("{0}")]
    Body(#[source] PayloadError),
    /// The reply was not complete within the time-out.
    #[error("no reply in time")]
    TimedOut,
    /// The coordinator rejected the message.
    #[error("{status}: {body}")]
    Status {
        /// The HTTP status of the reply.
        status: StatusCode,
        /// The body of the reply.
        body: String,
    },
    /// The reply is not the expected JSON.
    #[error("{0}")]
    Decode(#[source] serde_json::Error),
}

/// Limits of one request to a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The time for connecting, sending and receiving the whole reply.
    pub timeout: Duration,
    /// The maximum size of the reply's body.
    pub max_reply_bytes: usize,
}

/// Sends messages to the coordinators of one cluster.
pub struct CoordinatorClient {
    /// The name of the cluster, sent with each message.
    pub cluster: String,
    /// All coordinators, in the order of the configuration file.
    pub addresses: Vec<SocketAddr>,
    client: Client,
    dispatcher: Rc<Dispatcher>,
}

impl CoordinatorClient {
    /// Creates a client for the coordinators of `fleet`; traffic is counted in the metrics of `dispatcher`.
    pub fn new(fleet: &FleetConfig, dispatcher: Rc<Dispatcher>) -> Self {
        let client = Client::builder().disable_redirects().finish();
        CoordinatorClient {
            cluster: fleet.cluster.clone(),
            addresses: fleet.coordinators.clone(),
            client,
            dispatcher,
        }
    }

    /// Sends one message to one coordinator and decodes its reply.
    ///
    /// # Errors
    /// When no complete, successful and valid reply arrives within the limits.
    pub async fn request<Reply: DeserializeOwned>(
        &self,
        coordinator: SocketAddr,
        path: &str,
        message: impl Serialize,
        limits: RequestLimits,
    ) -> Result<Reply, CoordinatorError> {
        let envelope =
            Envelope { cluster: self.cluster.clone(), version: PROTOCOL_VERSION, recipient: 0, message };
        let body = serde_json::to_vec(&envelope).map_err(CoordinatorError::Encode)?;
        self.dispatcher.update_fleet_status(|status| status.sent_bytes += body.len() as u64);
        let request = self.client.post(format!("http://{coordinator}{path}")).timeout(limits.timeout);
        let request = request.content_type("application/json").send_body(body);
        let exchange = async {
            let mut reply = request.await.map_err(CoordinatorError::Send)?;
            let body = reply.body().limit(limits.max_reply_bytes).await.map_err(CoordinatorError::Body)?;
            Ok((reply.status(), body))
        };
        // The client's own time-out covers only the head of the reply, while its body may never arrive.
        let exchange = actix_rt::time::timeout(limits.timeout, exchange).await;
        let (status, body) = exchange.map_err(|_| CoordinatorError::TimedOut)??;
        self.dispatcher.update_fleet_status(|status| status.received_bytes += body.len() as u64);
        if !status.is_success() {
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(CoordinatorError::Status { status, body });
        }
        serde_json::from_slice(&body).map_err(CoordinatorError::Decode)
    }
}
