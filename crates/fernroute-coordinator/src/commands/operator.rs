//! A command's way to whichever of the stewards leads.

use super::WITHIN;
use crate::configuration::RequestError;
use crate::peers::{Peers, ReplicaInfo, INFO_PATH};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long stewards that elect a leader are asked again, and how often.
const ASKED_FOR: Duration = Duration::from_secs(8);
pub const AGAIN: Duration = Duration::from_millis(100);

/// A word is kept by a majority before it is answered: longer than a steward waits for that.
const ENTERED_WITHIN: Duration = Duration::from_secs(4);

/// Speaks to whichever of the stewards leads.
pub struct Operator {
    at: Vec<SocketAddr>,
    peers: Peers,
}

/// What came of a question that was asked until it was answered, or for long enough.
pub enum Said<A> {
    Answer(A),
    Not(RequestError),
    /// Nobody answered; what was asked may have been done.
    Nobody(String),
}

impl Operator {
    /// The first steward that answers says which cluster it is.
    pub async fn open(at: &[SocketAddr]) -> Result<Self, String> {
        let peers = Peers::new("", &[]);
        let mut failed = Vec::new();
        for address in at {
            match peers.ask::<ReplicaInfo>(&address.to_string(), INFO_PATH, WITHIN).await {
                Ok(who) => return Ok(Operator { at: at.to_vec(), peers: Peers::new(&who.cluster, &[]) }),
                Err(why) => failed.push(why),
            }
        }
        Err(if at.is_empty() { "--at names no steward".to_owned() } else { failed.join("; ") })
    }

    /// Asks one after another, and whom they name, until the leader has answered. `unsure` tells whether it may have been
    /// done by one that did not say so.
    pub async fn say<A: DeserializeOwned>(
        &self,
        path: &str,
        what: &impl Serialize,
        unsure: &mut bool,
    ) -> Said<A> {
        let from = Instant::now();
        loop {
            let mut failed = String::new();
            for first in &self.at {
                let mut at = first.to_string();
                // Whom it names, and whom that one names: by then there is another leader, or none.
                for _ in 0..3 {
                    let said: Result<Result<A, RequestError>, String> =
                        self.peers.say(&at, path, 0, what, ENTERED_WITHIN).await;
                    match said {
                        Ok(Ok(answer)) => return Said::Answer(answer),
                        Ok(Err(RequestError::Elsewhere(Some(leader)))) => {
                            failed = format!("{at}: {leader} leads, or did");
                            at = leader;
                            continue;
                        }
                        Ok(Err(RequestError::Elsewhere(None))) => failed = format!("{at}: nobody leads"),
                        Ok(Err(RequestError::Unknown(why))) => {
                            *unsure = true;
                            failed = format!("{at}: {why}");
                        }
                        Ok(Err(not)) => return Said::Not(not),
                        Err(why) => {
                            *unsure = true;
                            failed = why;
                        }
                    }
                    break;
                }
            }
            if from.elapsed() > ASKED_FOR {
                return Said::Nobody(failed);
            }
            actix_rt::time::sleep(AGAIN).await;
        }
    }

    pub async fn ask<A: DeserializeOwned>(&self, path: &str, what: &impl Serialize) -> Result<A, String> {
        match self.say(path, what, &mut false).await {
            Said::Answer(answer) => Ok(answer),
            Said::Not(RequestError::Refused(why)) | Said::Nobody(why) => Err(why),
            Said::Not(not) => Err(format!("{not:?}")),
        }
    }
}

/// A command's answer: as JSON, or for people.
pub fn print(json: bool, what: &impl Serialize, table: String) -> Result<ExitCode, String> {
    if json {
        println!("{}", serde_json::to_string_pretty(what).map_err(|e| e.to_string())?);
    } else {
        print!("{table}");
    }
    Ok(ExitCode::SUCCESS)
}
