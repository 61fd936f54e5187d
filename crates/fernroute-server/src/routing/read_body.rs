//! Reserves the memory for a request, and reads its body as far as there is memory for it.
//!
//! A body of up to 64 KiB is kept if there is memory for that, so that the request can be sent again. Otherwise it is streamed
//! through a window, like a longer one. Where that has to be waited for, nothing is read meanwhile, and the wait ends within the
//! request's own deadline.

use super::clock::duration;
use crate::memory::rpc::RpcMemory;
use crate::memory::window::{Window, Windows};
use crate::memory::{COPIES_OF_KEPT_BODY, SMALL_MESSAGE_BYTES};
use crate::protocol::request::{CallerTime, InvalidRequest, Upload, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::transport::inbound::CallerConnection;
use crate::transport::input_gate::MAX_INPUT_STEP_BYTES;
use actix_http::{Payload, StatusCode};
use bytes::{Bytes, BytesMut};
use fernroute::Time;
use futures_util::{FutureExt as _, Stream as _, StreamExt as _};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The body exceeds the limit for all bodies.
pub const TOO_LARGE: InvalidRequest = InvalidRequest(StatusCode::PAYLOAD_TOO_LARGE, "body too large");

const NOT_WHOLE: BodyError = BodyError::Invalid(InvalidRequest(StatusCode::BAD_REQUEST, "body not whole"));

/// A request waits for memory for one part in this many of its time: what is refused later than that has cost its caller the
/// time for another try.
const WAIT_DIVISOR: Time = 2;

/// The body of a request.
#[derive(Debug, Default)]
pub struct Body {
    /// The whole body, unless there is an upload.
    pub bytes: Bytes,
    /// A body that is streamed.
    pub upload: Option<Rc<Upload>>,
    /// The memory of the RPC.
    pub memory: Option<Rc<RpcMemory>>,
    /// How long the request has waited for memory.
    pub waited: Duration,
}

/// Why a body can't be received.
#[derive(Debug)]
pub enum BodyError {
    /// It is no valid body.
    Invalid(InvalidRequest),
    /// There was no memory for it in time.
    NoMemory,
}

/// Reads the body of a request whose caller waits for `time_left`. `length` is its declared length, if any.
pub async fn read_body(
    payload: Payload,
    length: Option<u64>,
    caller: &Rc<CallerConnection>,
    windows: &Rc<Windows>,
    time_left: Time,
) -> Result<Body, BodyError> {
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(BodyError::Invalid(TOO_LARGE));
    }
    let time = CallerTime { received_at: Instant::now(), left: duration(time_left) };
    let mut reader = BodyReader { payload, length, caller, received: BytesMut::new(), time };
    let is_whole = reader.read_received()?;
    if is_whole || length.is_some_and(|length| length <= SMALL_MESSAGE_BYTES as u64) {
        let has_body = !is_whole || !reader.received.is_empty();
        let memory = RpcMemory::reserve_short(windows.budget(), has_body);
        let Granted { memory, waited } = wait_for_memory(caller, time_left, memory).await?;
        reader.read(SMALL_MESSAGE_BYTES, SMALL_MESSAGE_BYTES).await?;
        return Ok(Body { bytes: reader.received.freeze(), upload: None, memory: Some(memory), waited });
    }
    if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) {
        let granted = wait_for_memory(caller, time_left, windows.open_for_request()).await?;
        return Ok(reader.into_upload(length, granted, 0));
    }
    let kept = length.map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize);
    let kept_memory = COPIES_OF_KEPT_BODY * kept;
    let Some(window) = windows.try_open_for_request(kept_memory) else {
        let granted = wait_for_memory(caller, time_left, windows.open_for_request()).await?;
        return Ok(reader.into_upload(length, granted, 0));
    };
    reader.received.reserve(kept.saturating_sub(reader.received.len()));
    if reader.read(MAX_BUFFERED_BODY_BYTES, MAX_INPUT_STEP_BYTES).await? {
        let memory = Some(RpcMemory::of_window(window));
        return Ok(Body { bytes: reader.received.freeze(), memory, ..Body::default() });
    }
    let granted = Granted { memory: window, waited: Duration::ZERO };
    Ok(reader.into_upload(length, granted, kept_memory))
}

/// Memory that had to be waited for.
struct Granted<M> {
    memory: M,
    waited: Duration,
}

/// Waits for memory within the time that a caller waits for its answer. Nothing is read from the caller meanwhile.
async fn wait_for_memory<M>(
    caller: &Rc<CallerConnection>,
    time_left: Time,
    reservation: impl Future<Output = M>,
) -> Result<Granted<M>, BodyError> {
    let _pause = caller.pause_request();
    let started = Instant::now();
    let wait = timeout(duration(time_left / WAIT_DIVISOR), reservation);
    let memory = wait.await.map_err(|_| BodyError::NoMemory)?;
    Ok(Granted { memory, waited: started.elapsed() })
}

struct BodyReader<'a> {
    payload: Payload,
    /// The declared length, if any.
    length: Option<u64>,
    caller: &'a Rc<CallerConnection>,
    received: BytesMut,
    time: CallerTime,
}

impl BodyReader<'_> {
    /// Takes what has been received with the head. Returns whether the body is whole.
    fn read_received(&mut self) -> Result<bool, BodyError> {
        while let Some(next) = self.payload.next().now_or_never() {
            let Some(chunk) = next else { return Ok(true) };
            self.received.extend_from_slice(&chunk.map_err(|_| NOT_WHOLE)?);
        }
        Ok(false)
    }

    /// Reads until the end of the body, or until more than `limit` bytes have been received. Returns whether the body is whole.
    /// At most `step` bytes are in the library's buffers.
    async fn read(&mut self, limit: usize, step: usize) -> Result<bool, BodyError> {
        while self.received.len() <= limit {
            let Some(chunk) = self.next_chunk(step).await else { return Ok(true) };
            self.caller.record_progress();
            self.received.extend_from_slice(&chunk.map_err(|_| NOT_WHOLE)?);
        }
        Ok(false)
    }

    async fn next_chunk(&mut self, step: usize) -> Option<Result<Bytes, actix_http::error::PayloadError>> {
        let received = self.received.len() as u64;
        let rest = self.length.map_or(usize::MAX, |length| length.saturating_sub(received) as usize);
        poll_fn(|cx| {
            let next = Pin::new(&mut self.payload).poll_next(cx);
            if next.is_pending() {
                // What follows the body is another head.
                self.caller.input_gate().allow(step.min(rest));
            }
            next
        })
        .await
    }

    fn into_upload(self, length: Option<u64>, granted: Granted<Rc<Window>>, kept_memory: usize) -> Body {
        let Granted { memory: window, waited } = granted;
        let upload = Upload::new(self.payload, length, self.caller, Rc::clone(&window), self.time)
            .with_start(self.received.freeze(), kept_memory);
        Body {
            bytes: Bytes::new(),
            upload: Some(Rc::new(upload)),
            memory: Some(RpcMemory::of_window(window)),
            waited,
        }
    }
}
