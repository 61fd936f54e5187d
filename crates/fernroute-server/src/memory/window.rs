//! The memory of one RPC whose messages do not fit into what its connections hold anyway: the parts of a streamed body or
//! answer that are in memory at a time, and what is kept whole.

use super::budget::{MemoryBudget, OutOfMemory, Purpose, Reservation};
use super::{ATTEMPT_BYTES, BODY_START_BYTES};
use std::cell::Cell;
use std::rc::Rc;

/// One part in this many of the budget is for the chunks of all streams together, so that others find room beside them.
const CHUNKS_DIVISOR: usize = 3;

/// A streamed body has this many chunks in memory at once: two queued, one being read, one being written.
pub const CHUNKS_PER_BODY: usize = 4;

/// Larger chunks are no faster; smaller ones cost more wake-ups than they save memory.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
const MIN_CHUNK_BYTES: usize = 2 * 1024;

/// Buffers grow by doubling, so a chunk takes up to twice its size.
const BUFFER_GROWTH: usize = 2;

/// What an RPC with a long request holds besides its chunks.
const LONG_REQUEST_BYTES: usize = ATTEMPT_BYTES + BODY_START_BYTES;

const MIN_WINDOW_BYTES: usize = window_bytes(MIN_CHUNK_BYTES);

/// The memory for a stream with chunks of this size.
const fn window_bytes(chunk_size: usize) -> usize {
    BUFFER_GROWTH * CHUNKS_PER_BODY * chunk_size
}

/// The windows of all RPCs, within one budget.
#[derive(Debug)]
pub struct Windows {
    budget: Rc<MemoryBudget>,
    open: Cell<usize>,
}

impl Windows {
    /// The windows of RPCs whose memory is within `budget`.
    pub fn new(budget: Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Windows { budget, open: Cell::new(0) })
    }

    /// The budget that the windows share with everything else that messages hold.
    pub fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// Opens the window of an RPC whose request is streamed, as soon as there is room. It has the memory for an attempt, so that
    /// the RPC need not wait again.
    pub async fn open_for_request(self: &Rc<Self>) -> Rc<Window> {
        let bytes = MIN_WINDOW_BYTES + LONG_REQUEST_BYTES;
        let reservation = self.budget.reserve(Purpose::Long, bytes).await;
        self.window(reservation, LONG_REQUEST_BYTES)
    }

    /// The same with room for `kept` bytes besides the chunks, if there is room now.
    pub fn try_open_for_request(self: &Rc<Self>, kept: usize) -> Option<Rc<Window>> {
        let fixed = LONG_REQUEST_BYTES + kept;
        let reservation = self.budget.try_reserve(MIN_WINDOW_BYTES + fixed)?;
        Some(self.window(reservation, fixed))
    }

    /// Opens the window of a streamed answer as soon as there is room. It has the memory for the attempt, which returns what it
    /// has for a short RPC.
    ///
    /// # Errors
    /// When others need the memory for short RPCs.
    pub async fn open_for_answer(self: &Rc<Self>) -> Result<Rc<Window>, OutOfMemory> {
        let reservation = self.budget.reserve_yielding(MIN_WINDOW_BYTES + ATTEMPT_BYTES).await?;
        Ok(self.window(reservation, ATTEMPT_BYTES))
    }

    /// The same if there is room now.
    pub fn try_open_for_answer(self: &Rc<Self>) -> Option<Rc<Window>> {
        let reservation = self.budget.try_reserve(MIN_WINDOW_BYTES + ATTEMPT_BYTES)?;
        Some(self.window(reservation, ATTEMPT_BYTES))
    }

    fn window(self: &Rc<Self>, reservation: Reservation, kept: usize) -> Rc<Window> {
        self.open.set(self.open.get() + 1);
        Rc::new(Window { windows: Rc::clone(self), reservation, kept: Cell::new(kept) })
    }

    /// The chunk size at which all streams together stay within their part of the budget.
    fn chunk_size(&self) -> usize {
        let all_chunks = self.budget.limit() / CHUNKS_DIVISOR;
        (all_chunks / (CHUNKS_PER_BODY * self.open.get().max(1))).clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }
}

/// The memory of one RPC, returned when it is dropped.
#[derive(Debug)]
pub struct Window {
    windows: Rc<Windows>,
    reservation: Reservation,
    /// Reserved for what is kept, not for chunks.
    kept: Cell<usize>,
}

impl Window {
    /// The current maximum chunk size in bytes: the more windows, the smaller. The chunks are reserved.
    pub fn chunk_size(&self) -> usize {
        let kept = self.kept.get();
        let wanted = kept + window_bytes(self.windows.chunk_size());
        // Without room for larger chunks the present ones stay.
        self.reservation.try_resize(wanted);
        let chunks = self.reservation.bytes().saturating_sub(kept);
        (chunks / window_bytes(1)).clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }

    /// Reserves `bytes` more for what is kept, if there is room.
    pub fn try_keep(&self, bytes: usize) -> bool {
        let has_room = self.reservation.try_resize(self.reservation.bytes() + bytes);
        if has_room {
            self.kept.set(self.kept.get() + bytes);
        }
        has_room
    }

    /// Returns `bytes` of what was reserved for kept bytes.
    pub fn release_kept(&self, bytes: usize) {
        let bytes = bytes.min(self.kept.get());
        self.kept.set(self.kept.get() - bytes);
        self.reservation.try_resize(self.reservation.bytes() - bytes);
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        self.windows.open.set(self.windows.open.get() - 1);
    }
}
