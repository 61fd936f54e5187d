//! Takes in a message whole, and tells what is no RPC.

use super::relay;
use super::switchboard::Switchboard;
use crate::protocol::request::{self, Unfit, MOST_BODY};
use crate::protocol::{answer, names};
use crate::transport::inbound::Visit;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Method, Payload, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};
use std::future::pending;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Answers one message of a connection. A panic on the way costs this message alone.
pub async fn handle(board: Rc<Switchboard>, message: Request, visit: Rc<Visit>) -> Response<BoxBody> {
    if visit.is_last() {
        // What came behind a message that was turned away is no message; the connection closes.
        return pending().await;
    }
    let answered = AssertUnwindSafe(answer(&board, message, &visit)).catch_unwind().await;
    let response = answered.unwrap_or_else(|_| answer::broken());
    relay::close_if_last(&board, response)
}

async fn answer(board: &Rc<Switchboard>, mut message: Request, visit: &Rc<Visit>) -> Response<BoxBody> {
    if message.path() == names::READY_PATH {
        let _stay = visit.taken();
        return match *message.method() {
            Method::GET => answer::readiness(board.is_ready()),
            _ => turn_away(&Unfit(StatusCode::METHOD_NOT_ALLOWED, "GET"), visit),
        };
    }
    let decoded = request::Request::decode(message.head(), &board.methods);
    let body = match &decoded {
        Ok(_) => whole_body(&mut message).await,
        Err(_) => Ok(Bytes::new()),
    };
    let _stay = visit.taken();
    match (decoded, body) {
        (Ok(mut request), Ok(body)) => {
            request.body = body;
            match board.admit(request).await {
                Ok(last) => last.encode(),
                Err(unfit) => turn_away(&unfit, visit),
            }
        }
        (Err(unfit), _) | (_, Err(unfit)) => turn_away(&unfit, visit),
    }
}

/// Answers what is no RPC, and reads no further: who sent it may mean something else by the rest.
fn turn_away(unfit: &Unfit, visit: &Visit) -> Response<BoxBody> {
    log::debug!("not an RPC: {}", unfit.1);
    visit.last_answer();
    answer::unfit(unfit)
}

async fn whole_body(message: &mut Request) -> Result<Bytes, Unfit> {
    let too_large = Unfit(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let length = message.head().headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n: usize| n > MOST_BODY) {
        return Err(too_large);
    }
    let mut payload: Payload = message.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Unfit(StatusCode::BAD_REQUEST, "body not whole"))?;
        if body.len() + chunk.len() > MOST_BODY {
            return Err(too_large);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
