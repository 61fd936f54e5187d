//! Receives messages from callers, and rejects those that are not valid RPCs.

use super::clock;
use super::dispatcher::Dispatcher;
use super::read_body::{self, Body, BodyError, TOO_LARGE};
use super::relay;
use crate::protocol::request::{self, InvalidRequest};
use crate::protocol::{answer, names};
use crate::transport::inbound::CallerConnection;
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::{Method, Request, Response, StatusCode};
use futures_util::FutureExt as _;
use std::future::pending;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Answers one message of a connection. A panic fails only this message.
pub async fn handle(
    dispatcher: Rc<Dispatcher>,
    message: Request,
    caller: Rc<CallerConnection>,
) -> Response<BoxBody> {
    if caller.closes_after_answer() {
        // Data after a rejected message is not parsed as a message; the connection is about to close.
        return pending().await;
    }
    let answered = AssertUnwindSafe(answer(&dispatcher, message, &caller)).catch_unwind().await;
    let response = answered.unwrap_or_else(|_| answer::internal_error());
    relay::close_if_last(&dispatcher, response)
}

async fn answer(
    dispatcher: &Rc<Dispatcher>,
    mut message: Request,
    caller: &Rc<CallerConnection>,
) -> Response<BoxBody> {
    caller.begin_body();
    if message.path() == names::READY_PATH {
        let _guard = caller.begin_request();
        return match *message.method() {
            Method::GET => answer::readiness(dispatcher.is_ready()),
            _ => reject(&InvalidRequest(StatusCode::METHOD_NOT_ALLOWED, "GET"), caller),
        };
    }
    let decoded = request::Request::decode(message.head(), &dispatcher.methods.borrow());
    let body = match &decoded {
        Ok(request) => receive_body(dispatcher, &mut message, caller, request).await,
        Err(_) => Ok(Body::default()),
    };
    let guard = caller.begin_request();
    let (mut request, body) = match (decoded, body) {
        (Ok(request), Ok(body)) => (request, body),
        (Ok(request), Err(BodyError::NoMemory)) => {
            tracing::debug!("RPC {}: no memory for its body", request.id);
            // The rest of the body must not be read as another RPC.
            caller.close_after_answer();
            return dispatcher.refuse(&request).encode();
        }
        (Err(error), _) | (_, Err(BodyError::Invalid(error))) => return reject(&error, caller),
    };
    if caller.has_disconnected() {
        // Counted as abandoned. Closing the connection drops this future.
        drop(dispatcher.counters.accept(&request.method));
        caller.handle_disconnect();
        return pending().await;
    }
    let upload = body.upload.clone();
    request.time_left = request.time_left.saturating_sub(clock::tenths(body.waited));
    (request.body, request.upload, request.memory) = (body.bytes, body.upload, body.memory);
    let mut answer = match dispatcher.admit(request, Some(caller)).await {
        Ok(answer) => answer,
        Err(error) => return reject(&error, caller),
    };
    if let Some(upload) = upload.filter(|upload| upload.completed_at.get().is_none()) {
        if upload.too_large.get() {
            return reject(&TOO_LARGE, caller);
        }
        // The rest of the body must not be read as another RPC.
        caller.close_after_answer();
    }
    // The connection is idle again once the whole answer is sent.
    answer.on_end(move |_| drop(guard));
    answer.encode()
}

/// Reads the body of a request, or its beginning.
async fn receive_body(
    dispatcher: &Rc<Dispatcher>,
    message: &mut Request,
    caller: &Rc<CallerConnection>,
    request: &request::Request,
) -> Result<Body, BodyError> {
    let length = message.head().headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let payload = message.take_payload();
    // The decoded request has what is still needed of them.
    message.head_mut().headers = HeaderMap::new();
    let windows = &dispatcher.windows;
    let body = read_body::read_body(payload, length, caller, windows, request.time_left).await?;
    if request.takes_body() || body.upload.is_none() && body.bytes.is_empty() {
        return Ok(body);
    }
    Err(BodyError::Invalid(request::UNEXPECTED_BODY))
}

/// Answers an invalid request and reads nothing further: the caller and the balancer may disagree on where the next
/// message begins.
fn reject(error: &InvalidRequest, caller: &CallerConnection) -> Response<BoxBody> {
    tracing::debug!("invalid request: {}", error.1);
    caller.close_after_answer();
    answer::invalid_request(error)
}
