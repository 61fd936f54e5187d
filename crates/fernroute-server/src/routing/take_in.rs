//! Takes in a message whole, and tells what is no RPC.

use super::relay;
use super::switchboard::Switchboard;
use crate::protocol::request::{self, Unfit, Upload, MOST_BODY, MOST_HELD};
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

const TOO_LARGE: Unfit = Unfit(StatusCode::PAYLOAD_TOO_LARGE, "body too large");

/// Answers one message of a connection. A panic on the way costs this message alone.
pub async fn handle(
    board: Rc<Switchboard>,
    message: Request,
    visit: Rc<CallerConnection>,
) -> Response<BoxBody> {
    if visit.closes_after_answer() {
        // What came behind a message that was turned away is no message; the connection closes.
        return pending().await;
    }
    let answered = AssertUnwindSafe(answer(&board, message, &visit)).catch_unwind().await;
    let response = answered.unwrap_or_else(|_| answer::broken());
    relay::close_if_last(&board, response)
}

async fn answer(
    board: &Rc<Switchboard>,
    mut message: Request,
    visit: &Rc<CallerConnection>,
) -> Response<BoxBody> {
    if message.path() == names::READY_PATH {
        let _guard = visit.begin_request();
        return match *message.method() {
            Method::GET => answer::readiness(board.is_ready()),
            _ => turn_away(&Unfit(StatusCode::METHOD_NOT_ALLOWED, "GET"), visit),
        };
    }
    let decoded = request::Request::decode(message.head(), &board.methods.borrow());
    let body = match &decoded {
        Ok(_) => take_body(&mut message, visit).await,
        Err(_) => Ok((Bytes::new(), None)),
    };
    let body = match (&decoded, body) {
        (Ok(request), Ok((body, _))) if !request.takes_body() && !body.is_empty() => Err(request::BODIED),
        (_, body) => body,
    };
    let guard = visit.begin_request();
    match (decoded, body) {
        (Ok(mut request), Ok((body, upload))) => {
            if visit.has_disconnected() {
                // Nobody waits for it: the connection ends, and with it this.
                visit.handle_disconnect();
                return pending().await;
            }
            (request.body, request.upload) = (body, upload.clone());
            let mut last = match board.admit(request, Some(visit)).await {
                Ok(last) => last,
                Err(unfit) => return turn_away(&unfit, visit),
            };
            if let Some(upload) = upload.filter(|upload| upload.whole_at.get().is_none()) {
                if upload.too_large.get() {
                    return turn_away(&TOO_LARGE, visit);
                }
                // What still comes of it is no RPC.
                visit.close_after_answer();
            }
            // The connection is between RPCs once all of the answer is on its way.
            last.at_end(move |_| drop(guard));
            last.encode()
        }
        (Err(unfit), _) | (_, Err(unfit)) => turn_away(&unfit, visit),
    }
}

/// Answers what is no RPC, and reads no further: who sent it may mean something else by the rest.
fn turn_away(unfit: &Unfit, visit: &CallerConnection) -> Response<BoxBody> {
    tracing::debug!("not an RPC: {}", unfit.1);
    visit.close_after_answer();
    answer::unfit(unfit)
}

/// The body, or as much of it as is held and the rest as it comes.
async fn take_body(
    message: &mut Request,
    visit: &CallerConnection,
) -> Result<(Bytes, Option<Rc<Upload>>), Unfit> {
    let length = message.head().headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n: u64| n > MOST_BODY) {
        return Err(TOO_LARGE);
    }
    let mut payload: Payload = message.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        visit.record_progress();
        body.extend_from_slice(&chunk.map_err(|_| Unfit(StatusCode::BAD_REQUEST, "body not whole"))?);
        if body.len() > MOST_HELD {
            return Ok((body.freeze(), Some(Upload::new(payload, length))));
        }
    }
    Ok((body.freeze(), None))
}
