//! One transmission, from its first byte to its outcome.

use super::switchboard::Switchboard;
use super::upload::Sent;
use super::windows::PIECES;
use crate::protocol::answer::{Answer, Cut, Flow};
use crate::protocol::request::Request;
use crate::transport::client::{AnswerStream, Body, UpstreamClient, UpstreamRequest};
use crate::transport::outbound::{AttemptProgress, AttemptState};
use actix_http::body::BoxBody;
use fernroute::{Outcome, Time};
use futures_util::future::{select, Either};
use futures_util::FutureExt as _;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// An upstream that has begun an answer and gives nothing more for so long is silent for good. Any that still gives,
/// however little, is waited for.
const SILENT: Duration = Duration::from_secs(10);

/// What a transmission sets out with.
pub struct AttemptPlan {
    pub client: Option<Rc<UpstreamClient>>,
    pub attempt: Rc<AttemptState>,
    pub time_out: Time,
    pub stopped: oneshot::Receiver<Outcome>,
}

impl Switchboard {
    pub(super) async fn transmission(
        self: Rc<Self>,
        rpc: Rc<str>,
        tx: usize,
        request: Rc<Request>,
        plan: AttemptPlan,
    ) {
        let sent = self.clock.now();
        let attempt = Rc::clone(&plan.attempt);
        let made = self.make(&request, plan);
        let result = AssertUnwindSafe(made).catch_unwind().await.unwrap_or(Err(Outcome::Unknown));
        if attempt.is_caller_gone() {
            // Before it is booked: nothing further is to be sent.
            self.abandoned(&rpc);
        }
        // An RPC that was sent on while it came is worked on from its last byte on.
        let whole = request.upload.as_ref().and_then(|upload| upload.whole_at.get());
        let took = self.clock.now() - whole.map_or(sent, |whole| whole.max(sent));
        let result = match result {
            Ok((answer, None)) => Ok(answer),
            Ok((answer, Some(rest))) => {
                let handed_on = self.hand_on(&rpc, tx, answer, rest);
                AssertUnwindSafe(handed_on).catch_unwind().await.unwrap_or(Err(Outcome::Unknown))
            }
            Err(outcome) => Err(outcome),
        };
        self.book(&rpc, tx, result, took);
    }

    /// A whole answer or its beginning, or how it ended without one.
    async fn make(
        self: &Rc<Self>,
        request: &Request,
        AttemptPlan { client, attempt, time_out, stopped }: AttemptPlan,
    ) -> Result<(Answer, Option<AnswerStream>), Outcome> {
        // Left the list after it was drawn: nothing was sent.
        let Some(client) = client else { return Err(Outcome::NotSent) };
        let (verb, uri, headers) = request.encode(client.address, time_out);
        let body = match &request.upload {
            // What an earlier transmission took of it is nowhere any more: this one can't be made.
            Some(upload) if upload.gone.get() || upload.broken.get() => return Err(Outcome::NotSent),
            Some(upload) => Body::Stream(BoxBody::new(Sent::new(self, request, upload, &attempt))),
            None => Body::Buffered(request.body.clone()),
        };
        let call = UpstreamRequest { method: verb, uri, headers, body, new_connection: request.once };
        let result = {
            let call = pin!(client.send(call, &attempt));
            // Dropping the call at the end of this block closes its connection.
            match select(call, stopped).await {
                Either::Left((result, _)) => Ok(result),
                Either::Right((why, _)) => Err(why.unwrap_or(Outcome::Cancelled)),
            }
        };
        match result {
            Ok(Ok(answered)) => {
                let answer = Answer::decode(answered.head, answered.body_start, &self.gauges.borrow());
                // Of no other answer is the body passed on.
                Ok((answer, answered.remaining)).map(|(answer, rest)| match answer.outcome {
                    Outcome::Completed => (answer, rest),
                    _ => (answer, None),
                })
            }
            Ok(Err(broken)) => {
                tracing::debug!("RPC {} at {}: {broken}", request.id, client.address);
                let caller_broke = request.upload.as_ref().is_some_and(|upload| upload.broken.get());
                Err(match broken.progress {
                    AttemptProgress::NotStarted if attempt.is_caller_gone() => Outcome::Cancelled,
                    // For want of connections here, of time or of the RPC: that says nothing of the upstream.
                    AttemptProgress::NotStarted | AttemptProgress::Connected if attempt.held_back() => {
                        Outcome::NotSent
                    }
                    AttemptProgress::NotStarted | AttemptProgress::Connected if caller_broke => {
                        Outcome::NotSent
                    }
                    // Turned away before it was there.
                    AttemptProgress::NotStarted | AttemptProgress::Connected
                        if attempt.answered_early.get() =>
                    {
                        Outcome::Rejected
                    }
                    AttemptProgress::NotStarted | AttemptProgress::Connected => Outcome::ConnectFailed,
                    AttemptProgress::RequestWritten | AttemptProgress::AnswerStarted => Outcome::Reset,
                })
            }
            // Given up before its last byte was out: the upstream can't have begun it.
            Err(Outcome::TimedOut) if attempt.progress() < AttemptProgress::RequestWritten => {
                Err(Outcome::ConnectFailed)
            }
            // A caller's going says nothing of the upstream.
            Err(why) => Err(why),
        }
    }

    /// Hands an answer on as it comes and as its caller takes it.
    async fn hand_on(
        self: &Rc<Self>,
        rpc: &str,
        tx: usize,
        mut answer: Answer,
        mut rest: AnswerStream,
    ) -> Result<Answer, Outcome> {
        let (passed, coming) = mpsc::channel(PIECES / 2);
        let window = self.windows.open();
        let loads = std::mem::take(&mut answer.loads);
        answer.flow = Some(Flow::new(coming, rest.content_length));
        if !self.begin(rpc, tx, answer) {
            return Err(Outcome::Cancelled);
        }
        loop {
            let next = timeout(SILENT, rest.next(window.piece()));
            let next = match select(pin!(next), pin!(passed.closed())).await {
                Either::Left((next, _)) => next.unwrap_or_else(|_| Err("silent".to_owned())),
                Either::Right(_) => return Err(Outcome::Cancelled),
            };
            match next {
                Ok(Some(more)) => {
                    if passed.send(Ok(more)).await.is_err() {
                        return Err(Outcome::Cancelled);
                    }
                }
                Ok(None) => break,
                Err(why) => {
                    tracing::debug!("RPC {rpc}, its answer begun: {why}");
                    // Should the caller have gone: it needs no word.
                    let _ = passed.send(Err(Cut)).await;
                    return Err(Outcome::Reset);
                }
            }
        }
        Ok(Answer::handed_on(loads))
    }
}
