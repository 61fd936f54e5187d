//! How much of long bodies may wait in this process: the sum over all that are handed on stays within a part of the
//! memory, however many they are. No I/O.

use std::cell::Cell;
use std::rc::Rc;

/// Of the memory that a balancer may hold, this part is for what waits of long bodies. The rest is for the program itself,
/// messages that are held whole, and the libraries' buffers of some score kilobytes for each connection.
const PART: usize = 4;

/// A body has so many pieces in here at once: two that wait, one that is read, one that is written.
pub const PIECES: usize = 4;

/// Larger pieces are no quicker; smaller ones cost more turns than they save memory.
const LARGEST: usize = 16 * 1024;
const LEAST: usize = 2 * 1024;

#[derive(Debug)]
pub struct Windows {
    budget: Cell<usize>,
    open: Cell<usize>,
}

impl Windows {
    /// `memory` in bytes is what the process may hold.
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Windows { budget: Cell::new(memory / PART), open: Cell::new(0) })
    }

    /// Another process of this balancer has a part of the memory, or gives it back.
    pub fn set_memory(&self, memory: usize) {
        self.budget.set(memory / PART);
    }

    /// One more body is handed on, for as long as what is returned is held.
    pub fn open(self: &Rc<Self>) -> Window {
        self.open.set(self.open.get() + 1);
        Window(Rc::clone(self))
    }

    fn piece(&self) -> usize {
        (self.budget.get() / (PIECES * self.open.get().max(1))).clamp(LEAST, LARGEST)
    }
}

/// Held while a body is handed on.
#[derive(Debug)]
pub struct Window(Rc<Windows>);

impl Window {
    /// How long a piece may be now: the more bodies, the shorter.
    pub fn piece(&self) -> usize {
        self.0.piece()
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against long bodies that together outgrow the memory, and against windows that stay small for good.
    #[test]
    fn the_windows_of_all_bodies_fit_into_a_part_of_the_memory() {
        const MEGA: usize = 1 << 20;
        for memory in [32 * MEGA, 48 * MEGA, 192 * MEGA] {
            let windows = Windows::new(memory);
            let mut open = Vec::new();
            // Both ways on as many connections as the least memory is ever given with.
            for count in 1..=1000 {
                open.push(windows.open());
                let piece = open[0].piece();
                assert!((LEAST..=LARGEST).contains(&piece));
                assert!(count * PIECES * piece <= memory / PART, "{memory} {count} {piece}");
            }
            windows.set_memory(memory / 2);
            assert!(
                open[0].piece() * open.len() * PIECES <= (memory / 2 / PART).max(open.len() * PIECES * LEAST)
            );
            windows.set_memory(memory);
            open.truncate(1);
            assert_eq!(open[0].piece(), LARGEST);
            drop(open);
            assert_eq!(windows.open.get(), 0);
        }
    }
}
