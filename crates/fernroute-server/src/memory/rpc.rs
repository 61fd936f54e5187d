//! The memory of one RPC from its head to its final answer.

use super::budget::{MemoryBudget, Purpose, Reservation};
use super::window::Window;
use super::{ATTEMPT_BYTES, BODY_START_BYTES};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Memory that was reserved before the RPC was admitted, so that it need not wait for its first attempt, nor for the next one
/// after that.
#[derive(Debug)]
pub struct RpcMemory {
    /// The window of a long request, which has the memory for attempts.
    window: Option<Rc<Window>>,
    /// The memory of a short RPC; none once its answer has a window.
    short: RefCell<Option<Reservation>>,
    /// An attempt uses the memory.
    is_lent: Cell<bool>,
}

impl RpcMemory {
    /// The memory of an RPC with a short request, as soon as there is room.
    pub async fn reserve_short(budget: &Rc<MemoryBudget>, has_body: bool) -> Rc<Self> {
        let bytes = ATTEMPT_BYTES + if has_body { BODY_START_BYTES } else { 0 };
        let reservation = budget.reserve(Purpose::Short, bytes).await;
        Rc::new(RpcMemory { window: None, short: RefCell::new(Some(reservation)), is_lent: Cell::new(false) })
    }

    /// The memory of an RPC with a long request.
    pub fn of_window(window: Rc<Window>) -> Rc<Self> {
        Rc::new(RpcMemory { window: Some(window), short: RefCell::default(), is_lent: Cell::new(false) })
    }

    /// Returns the memory of a short RPC, whose answer has a window now.
    pub fn release_short(&self) {
        self.short.take();
    }

    /// Lends the memory for one attempt at a time, if there is any left.
    fn lend(self: &Rc<Self>) -> Option<AttemptMemory> {
        let has_memory = self.window.is_some() || self.short.borrow().is_some();
        let is_free = has_memory && !self.is_lent.replace(true);
        is_free.then(|| AttemptMemory::Lent(Rc::clone(self)))
    }

    /// The window of a long request.
    pub fn window(&self) -> Option<&Rc<Window>> {
        self.window.as_ref()
    }
}

/// The memory of a running attempt, returned when it is dropped.
#[derive(Debug)]
pub enum AttemptMemory {
    /// It belongs to the attempt alone.
    Own(Reservation),
    /// It is lent by the RPC.
    Lent(Rc<RpcMemory>),
}

impl AttemptMemory {
    /// The memory for an attempt of this RPC. Waits only if another attempt of the RPC is running, or the RPC has returned its
    /// memory for an answer that failed.
    pub async fn reserve(budget: &Rc<MemoryBudget>, rpc: Option<&Rc<RpcMemory>>) -> Self {
        if let Some(lent) = rpc.and_then(|rpc| rpc.lend()) {
            return lent;
        }
        AttemptMemory::Own(budget.reserve(Purpose::Short, ATTEMPT_BYTES).await)
    }

    /// Returns the memory of a short RPC, whose answer has a window now.
    pub fn release_short(&self) {
        match self {
            AttemptMemory::Own(reservation) => _ = reservation.try_resize(0),
            AttemptMemory::Lent(rpc) => rpc.release_short(),
        }
    }
}

impl Drop for AttemptMemory {
    fn drop(&mut self) {
        if let AttemptMemory::Lent(rpc) = self {
            rpc.is_lent.set(false);
        }
    }
}
