//! Calls to a fleet's stewards, and how much goes to and fro.

use crate::routing::switchboard::Switchboard;
use awc::Client;
use fernroute_config::Fleet;
use fernroute_fleet::message::{Envelope, PROTOCOL_VERSION};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub struct CoordinatorClient {
    pub cluster: String,
    pub addresses: Vec<SocketAddr>,
    client: Client,
    board: Rc<Switchboard>,
}

impl CoordinatorClient {
    pub fn new(fleet: &Fleet, board: Rc<Switchboard>) -> Self {
        let client = Client::builder().disable_redirects().finish();
        CoordinatorClient { cluster: fleet.cluster.clone(), addresses: fleet.stewards.clone(), client, board }
    }

    /// The answer of the steward there, if it comes within this time and is no longer than `most`.
    pub async fn ask<A: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        message: impl Serialize,
        within: Duration,
        most: usize,
    ) -> Result<A, String> {
        let envelope =
            Envelope { cluster: self.cluster.clone(), version: PROTOCOL_VERSION, recipient: 0, message };
        let body = serde_json::to_vec(&envelope).map_err(|e| e.to_string())?;
        self.board.note(|control| control.sent_bytes += body.len() as u64);
        let call = self.client.post(format!("http://{at}{path}")).timeout(within);
        let call = call.content_type("application/json").send_body(body);
        let answered = async {
            let mut answer = call.await.map_err(|e| e.to_string())?;
            let body = answer.body().limit(most).await.map_err(|e| e.to_string())?;
            Ok::<_, String>((answer.status(), body))
        };
        // The client's time is until the head has come: what follows may come never.
        let answered = actix_rt::time::timeout(within, answered).await;
        let (status, body) = answered.map_err(|_| "no answer in time".to_owned())??;
        self.board.note(|control| control.received_bytes += body.len() as u64);
        if !status.is_success() {
            return Err(format!("{status}: {}", String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}
