//! Bytes that have been read from a caller before the HTTP library may have them.
//!
//! The end of a caller's connection is seen only once what precedes it has been read, or fits into the socket. So while an RPC
//! is open, some bytes behind those that the library may read are read ahead, as far as there is memory to spare.

use crate::memory::budget::{MemoryBudget, Reservation};
use bytes::{Buf as _, BytesMut};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::ReadBuf;

/// Large enough for most bodies beyond those that are kept whole.
const MAX_BLOCKS: usize = 8;

/// The bytes of one connection. Blocks are allocated as they are needed, and freed when they are empty.
#[derive(Debug, Default)]
pub struct ReadAhead {
    /// What the library has been given too much, before the blocks. Its memory is that of the head it came with.
    returned: BytesMut,
    blocks: VecDeque<BytesMut>,
    reservation: Option<Reservation>,
}

impl ReadAhead {
    /// The size of a block.
    pub const BLOCK_BYTES: usize = 32 * 1024;

    /// How many bytes may be read ahead.
    pub const MAX_BYTES: usize = MAX_BLOCKS * Self::BLOCK_BYTES;

    pub fn is_empty(&self) -> bool {
        self.returned.is_empty() && self.blocks.is_empty()
    }

    /// Puts bytes that were taken last back to the front.
    pub fn put_back(&mut self, bytes: &[u8]) {
        let mut returned = BytesMut::with_capacity(bytes.len() + self.returned.len());
        returned.extend_from_slice(bytes);
        returned.extend_from_slice(&self.returned);
        self.returned = returned;
    }

    /// A block with room for more bytes; none if there is no memory to spare.
    pub fn block(&mut self, budget: &Rc<MemoryBudget>) -> Option<&mut BytesMut> {
        if self.blocks.back().is_none_or(|last| last.len() == Self::BLOCK_BYTES) {
            self.add_block(budget)?;
        }
        self.blocks.back_mut()
    }

    fn add_block(&mut self, budget: &Rc<MemoryBudget>) -> Option<()> {
        let blocks = self.blocks.len() + 1;
        let has_room = blocks <= MAX_BLOCKS && self.reserve(budget, blocks * Self::BLOCK_BYTES);
        has_room.then(|| self.blocks.push_back(BytesMut::with_capacity(Self::BLOCK_BYTES)))
    }

    fn reserve(&mut self, budget: &Rc<MemoryBudget>, bytes: usize) -> bool {
        if let Some(reservation) = &self.reservation {
            return reservation.try_resize(bytes);
        }
        self.reservation = budget.try_reserve(bytes);
        self.reservation.is_some()
    }

    /// Moves up to `limit` bytes to `buf`.
    pub fn take(&mut self, limit: usize, buf: &mut ReadBuf<'_>) {
        if !self.returned.is_empty() {
            let length = limit.min(buf.remaining()).min(self.returned.len());
            buf.put_slice(&self.returned[..length]);
            self.returned.advance(length);
            if self.returned.is_empty() {
                self.returned = BytesMut::new();
            }
            return;
        }
        let Some(first) = self.blocks.front_mut() else { return };
        let length = limit.min(buf.remaining()).min(first.len());
        buf.put_slice(&first[..length]);
        first.advance(length);
        if first.is_empty() {
            self.blocks.pop_front();
            self.release();
        }
    }

    /// Removes blocks without bytes, after a read that found none.
    pub fn trim(&mut self) {
        if self.blocks.back().is_some_and(BytesMut::is_empty) {
            self.blocks.pop_back();
            self.release();
        }
    }

    fn release(&mut self) {
        if self.blocks.is_empty() {
            self.reservation = None;
        } else if let Some(reservation) = &self.reservation {
            reservation.try_resize(self.blocks.len() * Self::BLOCK_BYTES);
        }
    }
}
