//! Limits the memory for streamed bodies: the sum over all of them stays within a part of the process's memory, however
//! many there are. No I/O.

use std::cell::Cell;
use std::rc::Rc;

/// One part in this many of the process's memory is for streamed bodies. The rest is for the program itself, messages
/// that are buffered whole, and the libraries' buffers, which take tens of kilobytes for each connection.
const MEMORY_DIVISOR: usize = 4;

/// A streamed body has this many chunks in memory at once: two queued, one being read, one being written.
pub const CHUNKS_PER_BODY: usize = 4;

/// Larger chunks are no faster; smaller ones cost more wake-ups than they save memory.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
const MIN_CHUNK_BYTES: usize = 2 * 1024;

#[derive(Debug)]
pub struct Windows {
    budget: Cell<usize>,
    open_bodies: Cell<usize>,
}

impl Windows {
    /// `memory` is the memory limit of the process in bytes.
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Windows { budget: Cell::new(memory / MEMORY_DIVISOR), open_bodies: Cell::new(0) })
    }

    /// Changes the limit while another process of this balancer uses a part of the memory.
    pub fn set_memory(&self, memory: usize) {
        self.budget.set(memory / MEMORY_DIVISOR);
    }

    /// Opens the window of one more body. Dropping it closes it.
    pub fn open(self: &Rc<Self>) -> Window {
        self.open_bodies.set(self.open_bodies.get() + 1);
        Window(Rc::clone(self))
    }

    fn chunk_size(&self) -> usize {
        (self.budget.get() / (CHUNKS_PER_BODY * self.open_bodies.get().max(1)))
            .clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }
}

/// The share of one streamed body, held while it is forwarded.
#[derive(Debug)]
pub struct Window(Rc<Windows>);

impl Window {
    /// The current maximum chunk size in bytes: the more bodies, the smaller.
    pub fn chunk_size(&self) -> usize {
        self.0.chunk_size()
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        self.0.open_bodies.set(self.0.open_bodies.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against streamed bodies that together exceed their memory, and against chunks that stay small after the
    /// number of bodies has fallen.
    #[test]
    fn windows_of_all_bodies_fit_into_their_part_of_the_memory() {
        const MIB: usize = 1 << 20;
        for memory in [32 * MIB, 48 * MIB, 192 * MIB] {
            let windows = Windows::new(memory);
            let mut open = Vec::new();
            // Both directions on as many connections as the smallest memory limit is used with.
            for count in 1..=1000 {
                open.push(windows.open());
                let chunk = open[0].chunk_size();
                assert!((MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&chunk));
                assert!(
                    count * CHUNKS_PER_BODY * chunk <= memory / MEMORY_DIVISOR,
                    "{memory} {count} {chunk}"
                );
            }
            windows.set_memory(memory / 2);
            assert!(
                open[0].chunk_size() * open.len() * CHUNKS_PER_BODY
                    <= (memory / 2 / MEMORY_DIVISOR).max(open.len() * CHUNKS_PER_BODY * MIN_CHUNK_BYTES)
            );
            windows.set_memory(memory);
            open.truncate(1);
            assert_eq!(open[0].chunk_size(), MAX_CHUNK_BYTES);
            drop(open);
            assert_eq!(windows.open_bodies.get(), 0);
        }
    }
}
