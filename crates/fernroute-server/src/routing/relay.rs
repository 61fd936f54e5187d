//! Delivers the final answer to the caller.

use super::dispatcher::Dispatcher;
use super::phase::Closing;
use crate::protocol::answer::FinalAnswer;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Response};

impl Dispatcher {
    /// Delivers the final answer of an RPC unless it already has one. Returns whether it was delivered.
    pub(super) fn deliver(&self, rpc: &str, answer: FinalAnswer) -> bool {
        let sender = self.open.borrow_mut().get_mut(rpc).and_then(|entry| {
            tracing::debug!("RPC {rpc}: {} after {} attempts", answer.name(), entry.attempts_started);
            entry.answer.take()
        });
        let delivered = sender.is_some_and(|sender| sender.send(answer).is_ok());
        self.remove_if_finished(rpc);
        delivered
    }
}

/// Closes the connection after this answer while the balancer is being taken out of service.
pub fn close_if_last(dispatcher: &Dispatcher, mut response: Response<BoxBody>) -> Response<BoxBody> {
    if dispatcher.closing() >= Closing::AfterAnswer {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}
