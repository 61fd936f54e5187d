//! The final answer, on its way to the caller.

use super::phase::Closing;
use super::switchboard::Switchboard;
use crate::protocol::answer::Final;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Response};

impl Switchboard {
    /// Gives an RPC its final answer, unless it has one; tells whether it did.
    pub(super) fn give(&self, rpc: &str, last: Final) -> bool {
        let answer = self.open.borrow_mut().get_mut(rpc).and_then(|entry| {
            tracing::debug!("RPC {rpc}: {} after {} transmissions", last.word(), entry.made);
            entry.answer.take()
        });
        let given = answer.is_some_and(|answer| answer.send(last).is_ok());
        self.forget(rpc);
        given
    }
}

/// On the way out of service each answer is the last on its connection.
pub fn close_if_last(board: &Switchboard, mut response: Response<BoxBody>) -> Response<BoxBody> {
    if board.closing() >= Closing::Answered {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}
