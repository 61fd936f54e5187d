//! The check that a disk is not stale, such as one restored from an older copy, by what the other voters know of this
//! replica.

use super::{now, Replica, INFO_TIMEOUT, POLL_INTERVAL};
use crate::peers::{ReplicaInfo, INFO_PATH};
use crate::store::{ReplicaPosition, StoreError};
use fernroute::Time;
use std::time::Duration;
use thiserror::Error;

/// How long the check waits for all other voters; after that a majority is enough.
const ALL_VOTERS_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a disk is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DiskRejection {
    /// Another replica knows of a later vote or entry.
    #[error(
        "the disk is stale, {peer} knows of a later vote or entry of this coordinator: stop it, empty its folder, \
         start it and add it with `change`"
    )]
    Stale {
        /// The name of that replica.
        peer: String,
    },
    /// Too few voters replied.
    #[error("no majority of the coordinators is reachable to confirm that the disk is not stale")]
    NoMajority,
}

/// Another voter by the membership on this disk.
struct Voter {
    id: u64,
    name: String,
}

impl Replica {
    /// Queries the other voters until all of them, or after [`ALL_VOTERS_TIMEOUT`] a majority, know of nothing later than
    /// this disk. None where the disk may be used.
    pub(super) async fn check_disk(&self) -> Result<Option<DiskRejection>, StoreError> {
        let Some(position) = self.stored_position else { return Ok(None) };
        let others = self.other_voters()?;
        let started_at = now();
        loop {
            let confirmations = match self.count_confirmations(position, &others).await {
                Ok(confirmations) => confirmations,
                Err(rejection) => return Ok(Some(rejection)),
            };
            let timed_out = now().saturating_sub(started_at) >= ALL_VOTERS_TIMEOUT.as_micros() as Time / 100;
            let majority = 2 * (confirmations + 1) > others.len() + 1;
            if confirmations == others.len() || timed_out && majority {
                return Ok(None);
            }
            if timed_out {
                return Ok(Some(DiskRejection::NoMajority));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn other_voters(&self) -> Result<Vec<Voter>, StoreError> {
        let voters = self.log_store.voters()?.into_iter();
        let others = voters.filter(|(id, _)| *id != self.identity.id);
        Ok(others.map(|(id, name)| Voter { id, name }).collect())
    }

    /// How many of the other voters replied and know of nothing later than this position.
    async fn count_confirmations(
        &self,
        position: ReplicaPosition,
        others: &[Voter],
    ) -> Result<usize, DiskRejection> {
        let mut confirmations = 0;
        for voter in others {
            let Some(address) = self.peers.address_of(&voter.name) else { continue };
            let reply = self.peers.get::<ReplicaInfo>(&address.to_string(), INFO_PATH, INFO_TIMEOUT).await;
            let Some(info) = reply.ok().filter(|info| info.id == voter.id) else { continue };
            confirmations += 1;
            if info.known_positions.get(&self.identity.id).is_some_and(|known| *known > position) {
                return Err(DiskRejection::Stale { peer: voter.name.clone() });
            }
        }
        Ok(confirmations)
    }
}
