//! Runs one attempt, from its first byte to its outcome.

use super::dispatcher::Dispatcher;
use super::upload::UploadBody;
use super::windows::CHUNKS_PER_BODY;
use crate::protocol::answer::{Answer, StreamedBody, Truncated};
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

/// How long an upstream may pause within an answer. Any data, however little, restarts the timeout.
const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// The parameters of an attempt.
pub struct AttemptPlan {
    pub client: Option<Rc<UpstreamClient>>,
    pub attempt: Rc<AttemptState>,
    pub timeout: Time,
    pub stopped: oneshot::Receiver<Outcome>,
}

impl Dispatcher {
    pub(super) async fn run_attempt(
        self: Rc<Self>,
        rpc: Rc<str>,
        number: usize,
        request: Rc<Request>,
        plan: AttemptPlan,
    ) {
        let sent = self.clock.now();
        let attempt = Rc::clone(&plan.attempt);
        let sending = self.send(&request, plan);
        let result = AssertUnwindSafe(sending).catch_unwind().await.unwrap_or(Err(Outcome::Unknown));
        if attempt.is_caller_gone() {
            // Before the outcome is reported, so that the balancer starts no further attempt.
            self.abandon(&rpc);
        }
        // The upstream can work on a streamed request only from its last byte on.
        let completed_at = request.upload.as_ref().and_then(|upload| upload.completed_at.get());
        let took = self.clock.now() - completed_at.map_or(sent, |completed_at| completed_at.max(sent));
        let result = match result {
            Ok((answer, None)) => Ok(answer),
            Ok((answer, Some(rest))) => {
                let streaming = self.stream_response(&rpc, number, answer, rest);
                AssertUnwindSafe(streaming).catch_unwind().await.unwrap_or(Err(Outcome::Unknown))
            }
            Err(outcome) => Err(outcome),
        };
        self.complete_attempt(&rpc, number, result, took);
    }

    /// Returns a complete answer, or the beginning of one with the stream of its remainder, or the outcome.
    async fn send(
        self: &Rc<Self>,
        request: &Request,
        AttemptPlan { client, attempt, timeout, stopped }: AttemptPlan,
    ) -> Result<(Answer, Option<AnswerStream>), Outcome> {
        // The upstream was removed from the list after it was selected: nothing was sent.
        let Some(client) = client else { return Err(Outcome::NotSent) };
        let (verb, uri, headers) = request.encode(client.address, timeout);
        let body = match &request.upload {
            // Data that an earlier attempt consumed is not kept, so the request cannot be sent again.
            Some(upload) if upload.consumed.get() || upload.failed.get() => return Err(Outcome::NotSent),
            Some(upload) => Body::Stream(BoxBody::new(UploadBody::new(self, request, upload, &attempt))),
            None => Body::Buffered(request.body.clone()),
        };
        let call = UpstreamRequest { method: verb, uri, headers, body, new_connection: request.run_once };
        let result = {
            let call = pin!(client.send(call, &attempt));
            // Dropping the call at the end of this block closes its connection.
            match select(call, stopped).await {
                Either::Left((result, _)) => Ok(result),
                Either::Right((outcome, _)) => Err(outcome.unwrap_or(Outcome::Cancelled)),
            }
        };
        match result {
            Ok(Ok(answered)) => {
                let answer = Answer::decode(answered.head, answered.body_start, &self.load_fields.borrow());
                // Only the body of a completed RPC is forwarded.
                Ok((answer, answered.remaining)).map(|(answer, rest)| match answer.outcome {
                    Outcome::Completed => (answer, rest),
                    _ => (answer, None),
                })
            }
            Ok(Err(error)) => {
                tracing::debug!("RPC {} at {}: {error}", request.id, client.address);
                let upload_failed = request.upload.as_ref().is_some_and(|upload| upload.failed.get());
                Err(match error.progress {
                    AttemptProgress::NotStarted if attempt.is_caller_gone() => Outcome::Cancelled,
                    // No free connection, no time left or the RPC has ended: says nothing about the upstream.
                    AttemptProgress::NotStarted | AttemptProgress::Connected if attempt.held_back() => {
                        Outcome::NotSent
                    }
                    AttemptProgress::NotStarted | AttemptProgress::Connected if upload_failed => {
                        Outcome::NotSent
                    }
                    // The upstream answered before the request was written.
                    AttemptProgress::NotStarted | AttemptProgress::Connected
                        if attempt.answered_early.get() =>
                    {
                        Outcome::Rejected
                    }
                    AttemptProgress::NotStarted | AttemptProgress::Connected => Outcome::ConnectFailed,
                    AttemptProgress::RequestWritten | AttemptProgress::AnswerStarted => Outcome::Reset,
                })
            }
            // Timed out before the last byte was written: the upstream cannot have started the RPC.
            Err(Outcome::TimedOut) if attempt.progress() < AttemptProgress::RequestWritten => {
                Err(Outcome::ConnectFailed)
            }
            // A caller's disconnection says nothing about the upstream.
            Err(outcome) => Err(outcome),
        }
    }

    /// Streams an answer to the caller, at the pace at which the caller reads it.
    async fn stream_response(
        self: &Rc<Self>,
        rpc: &str,
        number: usize,
        mut answer: Answer,
        mut rest: AnswerStream,
    ) -> Result<Answer, Outcome> {
        let (sender, receiver) = mpsc::channel(CHUNKS_PER_BODY / 2);
        let window = self.windows.open();
        let loads = std::mem::take(&mut answer.loads);
        answer.stream = Some(StreamedBody::new(receiver, rest.content_length));
        if !self.start_streaming(rpc, number, answer) {
            return Err(Outcome::Cancelled);
        }
        loop {
            let next = timeout(UPSTREAM_SILENCE_TIMEOUT, rest.next(window.chunk_size()));
            let next = match select(pin!(next), pin!(sender.closed())).await {
                Either::Left((next, _)) => next
                    .unwrap_or_else(|_| Err(format!("no data for {} s", UPSTREAM_SILENCE_TIMEOUT.as_secs()))),
                Either::Right(_) => return Err(Outcome::Cancelled),
            };
            match next {
                Ok(Some(chunk)) => {
                    if sender.send(Ok(chunk)).await.is_err() {
                        return Err(Outcome::Cancelled);
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::debug!("RPC {rpc}: answer broke off: {error}");
                    // Fails only if the caller has disconnected.
                    let _ = sender.send(Err(Truncated)).await;
                    return Err(Outcome::Reset);
                }
            }
        }
        Ok(Answer::streamed(loads))
    }
}
