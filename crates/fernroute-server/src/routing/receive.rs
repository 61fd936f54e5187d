//! Receives messages from callers, and rejects those that are not valid RPCs.

use super::dispatcher::Dispatcher;
use super::relay;
use crate::protocol::request::{self, InvalidRequest, Upload, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::protocol::{answer, names};
use crate::transport::inbound::CallerConnection;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Method, Payload, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};
use std::future::pending;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

const TOO_LARGE: InvalidRequest = InvalidRequest(StatusCode::PAYLOAD_TOO_LARGE, "body too large");

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
    if message.path() == names::READY_PATH {
        let _guard = caller.begin_request();
        return match *message.method() {
            Method::GET => answer::readiness(dispatcher.is_ready()),
            _ => reject(&InvalidRequest(StatusCode::METHOD_NOT_ALLOWED, "GET"), caller),
        };
    }
    let decoded = request::Request::decode(message.head(), &dispatcher.methods.borrow());
    let body = match &decoded {
        Ok(_) => read_body(&mut message, caller).await,
        Err(_) => Ok((Bytes::new(), None)),
    };
    let body = match (&decoded, body) {
        (Ok(request), Ok((body, _))) if !request.takes_body() && !body.is_empty() => {
            Err(request::UNEXPECTED_BODY)
        }
        (_, body) => body,
    };
    let guard = caller.begin_request();
    match (decoded, body) {
        (Ok(mut request), Ok((body, upload))) => {
            if caller.has_disconnected() {
                // The caller has disconnected; closing the connection drops this future.
                caller.handle_disconnect();
                return pending().await;
            }
            (request.body, request.upload) = (body, upload.clone());
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
        (Err(error), _) | (_, Err(error)) => reject(&error, caller),
    }
}

/// Answers an invalid request and reads nothing further: the caller and the balancer may disagree on where the next
/// message begins.
fn reject(error: &InvalidRequest, caller: &CallerConnection) -> Response<BoxBody> {
    tracing::debug!("invalid request: {}", error.1);
    caller.close_after_answer();
    answer::invalid_request(error)
}

/// Reads the body: whole if it fits into the buffer, otherwise its beginning with the stream of the rest.
async fn read_body(
    message: &mut Request,
    caller: &CallerConnection,
) -> Result<(Bytes, Option<Rc<Upload>>), InvalidRequest> {
    let length = message.head().headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n: u64| n > MAX_BODY_BYTES) {
        return Err(TOO_LARGE);
    }
    let mut payload: Payload = message.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        caller.record_progress();
        body.extend_from_slice(
            &chunk.map_err(|_| InvalidRequest(StatusCode::BAD_REQUEST, "body not whole"))?,
        );
        if body.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok((body.freeze(), Some(Upload::new(payload, length))));
        }
    }
    Ok((body.freeze(), None))
}
