//! One transmission, from its first byte to its outcome.

use super::switchboard::Switchboard;
use crate::protocol::answer::Answer;
use crate::protocol::request::Request;
use crate::transport::client::{Call, Line};
use crate::transport::outbound::{Course, Reached};
use fernroute::{Outcome, Time};
use futures_util::future::{select, Either};
use futures_util::FutureExt as _;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;

impl Switchboard {
    pub(super) async fn transmission(
        self: Rc<Self>,
        rpc: Rc<str>,
        tx: usize,
        request: Rc<Request>,
        line: Option<Rc<Line>>,
        time_out: Time,
        stopped: oneshot::Receiver<Outcome>,
    ) {
        let sent = self.clock.now();
        let made = self.make(&request, line, time_out, stopped);
        let result = AssertUnwindSafe(made).catch_unwind().await.unwrap_or(Err(Outcome::Unknown));
        self.book(&rpc, tx, result, self.clock.now() - sent);
    }

    /// A whole answer, or how it ended without one.
    async fn make(
        &self,
        request: &Request,
        line: Option<Rc<Line>>,
        time_out: Time,
        stopped: oneshot::Receiver<Outcome>,
    ) -> Result<Answer, Outcome> {
        // Left the list after it was drawn: nothing was sent.
        let Some(line) = line else { return Err(Outcome::Moot) };
        let (verb, uri, headers) = request.encode(line.address, time_out);
        let call = Call { verb, uri, headers, body: request.body.clone(), fresh: request.once };
        let course = Course::counted(&self.tally.written);
        let result = {
            let call = pin!(line.call(call, &course));
            // Dropping the call at the end of this block closes its connection.
            match select(call, stopped).await {
                Either::Left((result, _)) => Ok(result),
                Either::Right((why, _)) => Err(why.unwrap_or(Outcome::Cancelled)),
            }
        };
        match result {
            Ok(Ok((head, body))) => Ok(Answer::decode(head, body, &self.gauges)),
            Ok(Err(broken)) => {
                log::debug!("RPC {} at {}: {broken}", request.id, line.address);
                Err(match broken.reached {
                    // For want of connections here: that says nothing of the upstream.
                    Reached::Nothing if course.held_back() => Outcome::Moot,
                    Reached::Nothing | Reached::Connected => Outcome::ConnectFailed,
                    Reached::Written | Reached::AnswerBegun => Outcome::Reset,
                })
            }
            // Given up before its last byte was out: the upstream can't have begun it.
            Err(_) if course.reached() < Reached::Written => Err(Outcome::ConnectFailed),
            Err(why) => Err(why),
        }
    }
}
