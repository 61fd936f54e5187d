//! Limits how many bytes the HTTP library reads from a caller: the library buffers all that it reads.
//!
//! Between requests a connection may read the beginning of a head. A longer head needs more memory, which is reserved in
//! steps. There is no waiting for it, since the deadline of the request is not known yet: without memory the request is
//! refused. While a body is received, whoever takes it from the library sets how much more may be read. While an RPC is open,
//! little more than its request is read.

use crate::memory::budget::{MemoryBudget, Reservation};
use crate::memory::{CALLER_CONNECTION_BYTES, SMALL_MESSAGE_BYTES};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Instant;

/// A long head is in memory this many times: in the library's buffer, which grows by doubling, and in the attempt's.
const COPIES_OF_HEAD: usize = 3;

/// At most this much of a body is read in advance: it fits into the buffer that the library keeps for each connection.
pub const MAX_INPUT_STEP_BYTES: usize = 8 * 1024;

/// What a read from the caller may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Read up to so many bytes.
    Granted(usize),
    /// Wait: the task is woken when more may be read.
    Wait,
    /// Read nothing before the library has decoded what it has: the task is woken for that.
    Decode,
    /// There is no memory for the rest of the head.
    Refused,
}

/// The gate of one connection.
#[derive(Debug)]
pub struct InputGate {
    /// How many bytes may be read now.
    allowed: Cell<usize>,
    /// The size up to which the head that is being received may grow.
    head_limit: Cell<usize>,
    /// A request has been handled since the allowance for heads was last renewed.
    handled: Cell<bool>,
    /// The allowance was used up, and the library has had a turn to decode what it has.
    used_up: Cell<bool>,
    refused: Cell<bool>,
    /// Wakes the task that waits for permission.
    waker: RefCell<Option<Waker>>,
    /// When a read last found nothing more: all that the caller had sent before has been given to the library.
    drained_at: Cell<Instant>,
    /// For a head that is not small. Returned when its request has ended.
    head: RefCell<Option<Reservation>>,
    /// None on connections without a limit.
    budget: Option<Rc<MemoryBudget>>,
    /// For the connection.
    _reservation: Option<Reservation>,
}

impl InputGate {
    /// The gate of a new connection. Without a budget, heads are limited by the library alone.
    pub fn new(budget: Option<&Rc<MemoryBudget>>) -> Rc<Self> {
        Rc::new(InputGate {
            allowed: Cell::new(SMALL_MESSAGE_BYTES),
            head_limit: Cell::new(SMALL_MESSAGE_BYTES),
            handled: Cell::new(false),
            used_up: Cell::new(false),
            refused: Cell::new(false),
            waker: RefCell::default(),
            drained_at: Cell::new(Instant::now()),
            head: RefCell::default(),
            budget: budget.cloned(),
            _reservation: budget.map(|budget| budget.reserve_connection(CALLER_CONNECTION_BYTES)),
        })
    }

    /// Whether more may be read. `between_requests` tells whether no request is open or being received.
    pub fn poll_permission(&self, cx: &Context<'_>, between_requests: bool) -> Permission {
        if between_requests && self.handled.replace(false) {
            self.renew_head_allowance();
        }
        if self.allowed.get() > 0 {
            return Permission::Granted(self.allowed.get());
        }
        if !between_requests {
            self.waker.replace(Some(cx.waker().clone()));
            return Permission::Wait;
        }
        if !self.used_up.replace(true) {
            // What has been read may contain a whole head that is not decoded yet.
            cx.waker().wake_by_ref();
            return Permission::Decode;
        }
        self.used_up.set(false);
        self.extend_head()
    }

    /// `bytes` have been read.
    pub fn record_read(&self, bytes: usize) {
        self.allowed.set(self.allowed.get().saturating_sub(bytes));
    }

    /// Nothing more may be read until the head that has been read is handled.
    pub fn close(&self) {
        self.allowed.set(0);
    }

    /// A read has found nothing more.
    pub fn record_drained(&self) {
        self.drained_at.set(Instant::now());
    }

    /// When a read last found nothing more.
    pub fn drained_at(&self) -> Instant {
        self.drained_at.get()
    }

    /// Allows up to `bytes` more of a body. Called when all that was read of it has been taken from the library.
    pub fn allow(&self, bytes: usize) {
        self.allowed.set(bytes.min(MAX_INPUT_STEP_BYTES));
        self.wake();
    }

    /// The head of a request has been received.
    pub fn begin_request(&self) {
        self.used_up.set(false);
    }

    /// A request has ended: the next head may be read.
    pub fn end_request(&self) {
        self.handled.set(true);
        self.head.take();
        self.wake();
    }

    /// The budget for what is read; none without a limit.
    pub fn budget(&self) -> Option<&Rc<MemoryBudget>> {
        self.budget.as_ref()
    }

    /// Whether there was no memory for a head.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// What is left of the head that is being received fits into the allowance for small messages: it has been read since the
    /// allowance was last renewed.
    fn renew_head_allowance(&self) {
        self.allowed.set(SMALL_MESSAGE_BYTES);
        self.head_limit.set(SMALL_MESSAGE_BYTES);
        self.used_up.set(false);
    }

    /// Doubles the size that the head may have.
    fn extend_head(&self) -> Permission {
        let step = self.head_limit.get();
        let has_room = self.try_reserve_head(COPIES_OF_HEAD * 2 * step);
        if !has_room {
            self.refused.set(true);
            return Permission::Refused;
        }
        self.head_limit.set(2 * step);
        self.allowed.set(step);
        Permission::Granted(step)
    }

    /// Reserves memory for a head, in place of what was reserved for its beginning.
    fn try_reserve_head(&self, bytes: usize) -> bool {
        let Some(budget) = &self.budget else { return true };
        let mut head = self.head.borrow_mut();
        if let Some(head) = &*head {
            return head.try_resize(bytes);
        }
        *head = budget.try_reserve(bytes);
        head.is_some()
    }
}
