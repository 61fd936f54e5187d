//! Runs one attempt, from its first byte to its outcome.

use super::dispatcher::Dispatcher;
use super::upload::UploadBody;
use crate::memory::answer::AnswerMemory;
use crate::memory::budget::OutOfMemory;
use crate::memory::window::{Window, CHUNKS_PER_BODY};
use crate::protocol::answer::{Answer, StreamedBody, Truncated};
use crate::protocol::request::Request;
use crate::transport::client::{AnswerStream, Body, UpstreamClient, UpstreamRequest};
use crate::transport::outbound::{AttemptProgress, AttemptState};
use crate::transport::presence::Presence;
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

/// The rest of a streamed answer, with the memory for the parts that are being forwarded.
struct StreamedAnswer {
    rest: AnswerStream,
    window: Rc<Window>,
}

/// Waits for the memory to stream an answer, until the attempt is stopped.
async fn with_window(
    rest: AnswerStream,
    attempt: &AttemptState,
    stopped: oneshot::Receiver<Outcome>,
) -> Result<StreamedAnswer, Outcome> {
    let window = pin!(attempt.answer_window());
    match select(window, stopped).await {
        Either::Left((Ok(window), _)) => Ok(StreamedAnswer { rest, window }),
        // The RPC has run, and its answer is not waited for any longer.
        Either::Left((Err(OutOfMemory), _)) => Err(Outcome::TimedOut),
        Either::Right((outcome, _)) => Err(outcome.unwrap_or(Outcome::Cancelled)),
    }
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
        // Before the outcome is reported, so that the balancer starts no further attempt.
        match attempt.caller_presence() {
            Presence::Connected => {}
            Presence::Disconnected => self.abandon(&rpc),
            Presence::Unknown => {
                tracing::debug!("RPC {rpc}: its caller may have left unseen, it gets no further attempt");
                self.decide(Some(&rpc), |b, _| b.forbid_attempts(&rpc));
            }
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
        AttemptPlan { client, attempt, timeout, mut stopped }: AttemptPlan,
    ) -> Result<(Answer, Option<StreamedAnswer>), Outcome> {
        // The upstream was removed from the list after it was selected: nothing was sent.
        let Some(client) = client else { return Err(Outcome::NotSent) };
        let memory = pin!(AnswerMemory::reserve(&self.windows, request.memory.as_ref()));
        match select(memory, &mut stopped).await {
            Either::Left((memory, _)) => attempt.set_answer_memory(memory),
            // There was no memory for it in time: nothing was sent.
            Either::Right((Ok(Outcome::TimedOut), _)) => return Err(Outcome::NotSent),
            Either::Right((outcome, _)) => return Err(outcome.unwrap_or(Outcome::Cancelled)),
        }
        let (verb, uri, headers) = request.encode(client.address, timeout);
        let body = match &request.upload {
            // Data that an earlier attempt consumed is not kept, so the request cannot be sent again.
            Some(upload) if !upload.can_be_sent() => return Err(Outcome::NotSent),
            Some(upload) => Body::Stream(BoxBody::new(UploadBody::new(self, request, upload, &attempt))),
            None => Body::Buffered(request.body.clone()),
        };
        let call = UpstreamRequest { method: verb, uri, headers, body, new_connection: request.run_once };
        let result = {
            let call = pin!(client.send(call, &attempt));
            // Dropping the call at the end of this block closes its connection.
            match select(call, stopped).await {
                Either::Left((result, stopped)) => Ok((result, stopped)),
                Either::Right((outcome, _)) => Err(outcome.unwrap_or(Outcome::Cancelled)),
            }
        };
        match result {
            Ok((Ok(answered), stopped)) => {
                let mut answer =
                    Answer::decode(answered.head, answered.body_start, &self.load_fields.borrow());
                answer.memory = answered.memory;
                // Only the body of a completed RPC is forwarded.
                match answered.remaining.filter(|_| answer.outcome == Outcome::Completed) {
                    Some(rest) => Ok((answer, Some(with_window(rest, &attempt, stopped).await?))),
                    None => Ok((answer, None)),
                }
            }
            Ok((Err(error), _)) => {
                tracing::debug!("RPC {} at {}: {error}", request.id, client.address);
                let upload_failed = request.upload.as_ref().is_some_and(|upload| upload.failed.get());
                Err(match error.progress {
                    AttemptProgress::NotStarted if attempt.caller_presence() == Presence::Disconnected => {
                        Outcome::Cancelled
                    }
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
        StreamedAnswer { mut rest, window }: StreamedAnswer,
    ) -> Result<Answer, Outcome> {
        let (sender, receiver) = mpsc::channel(CHUNKS_PER_BODY / 2);
        let loads = std::mem::take(&mut answer.loads);
        let stream = StreamedBody::new(receiver, rest.content_length, Rc::clone(&window));
        answer.stream = Some(Box::new(stream));
        if !self.start_streaming(rpc, number, answer) {
            return Err(Outcome::Cancelled);
        }
        loop {
            let chunk_size = window.chunk_size();
            let next = timeout(UPSTREAM_SILENCE_TIMEOUT, rest.next(chunk_size));
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
