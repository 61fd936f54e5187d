//! A budget of bytes with reservations that are returned when they are dropped.
//!
//! The memory for callers' *connections* is set aside for as many of them as may be open, so reservations for them always
//! succeed. Those for *short* and *long* RPCs wait, first come first served among their kind, for memory that others return.
//! Each of the two kinds has a part of the budget to itself, so neither waits for the other kind alone. Whoever waits for memory
//! of one kind holds none of that kind: no two wait for each other. Whoever has memory for a short RPC while waiting for that of
//! a long one gives up as soon as other short RPCs need it. *Optional* reservations never wait: where they fail, a
//! message is passed on in smaller parts. They leave room for the others, and fail while somebody waits.

use super::{ATTEMPT_BYTES, CALLER_CONNECTION_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::oneshot;

/// One part in this many of the balancer's memory limit is for the program itself and its endpoint list, the rest for messages.
const PROGRAM_DIVISOR: usize = 4;

/// One part in this many of what connections leave is not available to optional reservations.
const REQUIRED_DIVISOR: usize = 2;

/// One part in this many of what connections leave is for short RPCs alone, and another for long ones alone.
const OWN_PART_DIVISOR: usize = 8;

/// Callers' connections take one part in this many of the budget at most.
const CONNECTIONS_DIVISOR: usize = 2;

/// The part of a balancer's memory limit that is for messages, in bytes.
pub fn message_memory(balancer_memory: usize) -> usize {
    balancer_memory - balancer_memory / PROGRAM_DIVISOR
}

/// How many callers' connections may be open in a process whose messages may take this many bytes.
pub fn max_caller_connections(message_memory: usize) -> usize {
    message_memory / CONNECTIONS_DIVISOR / CALLER_CONNECTION_BYTES
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's connection.
    Connection,
    /// An RPC, as far as its messages are short.
    Short,
    /// Longer messages.
    Long,
}

/// The reservations for one purpose.
#[derive(Debug, Default)]
struct Account {
    held: Cell<usize>,
    waiters: RefCell<VecDeque<Waiter>>,
}

impl Account {
    fn waiting(&self) -> usize {
        self.waiters.borrow().iter().filter(|waiter| !waiter.granted.is_closed()).count()
    }

    fn has_waiters(&self) -> bool {
        self.waiters.borrow().iter().any(|waiter| !waiter.granted.is_closed())
    }

    /// How many bytes the first waiter wants. Removes those who have left.
    fn next_bytes(&self) -> Option<usize> {
        let mut waiters = self.waiters.borrow_mut();
        while waiters.front().is_some_and(|front| front.granted.is_closed()) {
            waiters.pop_front();
        }
        waiters.front().map(|front| front.bytes)
    }
}

#[derive(Debug)]
struct Waiter {
    bytes: usize,
    /// It holds memory for a short RPC meanwhile, and gives up when others need that.
    yields: bool,
    granted: oneshot::Sender<Reservation>,
}

/// Others need the memory more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory for a long message")]
pub struct OutOfMemory;

/// The memory for messages: what is held now, and who waits for it.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: Cell<usize>,
    /// The part of it for callers' connections, open or not.
    set_aside: Cell<usize>,
    peak: Cell<usize>,
    connections: Account,
    short: Account,
    long: Account,
}

impl MemoryBudget {
    /// `balancer_memory` is the memory limit of the balancer in bytes, `max_callers` how many connections callers may open.
    pub fn new(balancer_memory: usize, max_callers: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit: Cell::new(message_memory(balancer_memory)),
            set_aside: Cell::new(max_callers * CALLER_CONNECTION_BYTES),
            peak: Cell::new(0),
            connections: Account::default(),
            short: Account::default(),
            long: Account::default(),
        })
    }

    /// Changes the limits while another process of this balancer uses a part of the memory: messages may take `limit` bytes.
    pub fn set_limits(self: &Rc<Self>, limit: usize, max_callers: usize) {
        self.limit.set(limit);
        self.set_aside.set(max_callers * CALLER_CONNECTION_BYTES);
        self.grant();
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// How many bytes are reserved.
    pub fn held(&self) -> usize {
        self.connections.held.get() + self.short.held.get() + self.long.held.get()
    }

    /// The largest number of bytes that were reserved at a time.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// How many wait for a reservation.
    pub fn waiting(&self) -> usize {
        self.short.waiting() + self.long.waiting()
    }

    /// Reserves memory for a caller's connection.
    pub fn reserve_connection(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.take(Purpose::Connection, bytes)
    }

    /// An optional reservation for longer messages.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        self.has_room_for_optional(bytes).then(|| self.take(Purpose::Long, bytes))
    }

    /// Reserves memory as soon as there is room. Dropping the future gives up the place in the queue.
    pub async fn reserve(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Reservation {
        match self.reserve_or_yield(purpose, bytes, false).await {
            Ok(reservation) => reservation,
            // The budget itself is gone.
            Err(OutOfMemory) => std::future::pending().await,
        }
    }

    /// The same for a long message of somebody who has memory for a short RPC meanwhile.
    ///
    /// # Errors
    /// When others need the memory for short RPCs.
    pub async fn reserve_yielding(self: &Rc<Self>, bytes: usize) -> Result<Reservation, OutOfMemory> {
        self.reserve_or_yield(Purpose::Long, bytes, true).await
    }

    async fn reserve_or_yield(
        self: &Rc<Self>,
        purpose: Purpose,
        bytes: usize,
        yields: bool,
    ) -> Result<Reservation, OutOfMemory> {
        let account = self.account(purpose);
        if !account.has_waiters() && self.has_room(purpose, bytes) {
            return Ok(self.take(purpose, bytes));
        }
        if yields && self.short.has_waiters() {
            return Err(OutOfMemory);
        }
        // Declared first: it runs once the place in the queue is given up.
        let _grant_others = GrantOnDrop(self);
        let (granted, reservation) = oneshot::channel();
        account.waiters.borrow_mut().push_back(Waiter { bytes, granted, yields });
        if purpose == Purpose::Short {
            self.end_yielding_waiters(bytes);
        }
        reservation.await.map_err(|_| OutOfMemory)
    }

    /// Ends the waits of as many as hold `bytes` meanwhile, of those who yield: first of those who have waited least.
    fn end_yielding_waiters(&self, bytes: usize) {
        let mut waiters = self.long.waiters.borrow_mut();
        for _ in 0..bytes.div_ceil(ATTEMPT_BYTES) {
            let last = waiters.iter().rposition(|waiter| waiter.yields && !waiter.granted.is_closed());
            let Some(last) = last else { return };
            waiters.remove(last);
        }
    }

    fn account(&self, purpose: Purpose) -> &Account {
        match purpose {
            Purpose::Connection => &self.connections,
            Purpose::Short => &self.short,
            Purpose::Long => &self.long,
        }
    }

    /// What may be held besides connections.
    fn rpc_limit(&self) -> usize {
        self.limit.get().saturating_sub(self.set_aside.get())
    }

    fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        let limit = self.rpc_limit();
        let own_part = limit / OWN_PART_DIVISOR;
        let wanted = self.account(purpose).held.get() + bytes;
        let by_other_kind = match purpose {
            Purpose::Connection => return true,
            Purpose::Short => self.long.held.get(),
            Purpose::Long => self.short.held.get(),
        };
        wanted <= own_part || wanted + by_other_kind.max(own_part) <= limit
    }

    fn has_room_for_optional(&self, bytes: usize) -> bool {
        let limit = self.rpc_limit();
        let has_waiters = self.short.has_waiters() || self.long.has_waiters();
        let wanted = self.short.held.get() + self.long.held.get() + bytes;
        wanted <= limit - limit / REQUIRED_DIVISOR && !has_waiters
    }

    fn take(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Reservation {
        self.add(purpose, bytes);
        Reservation { budget: Rc::clone(self), purpose, bytes: Cell::new(bytes) }
    }

    fn add(&self, purpose: Purpose, bytes: usize) {
        let held = &self.account(purpose).held;
        held.set(held.get() + bytes);
        self.peak.set(self.peak.get().max(self.held()));
    }

    fn give_back(self: &Rc<Self>, purpose: Purpose, bytes: usize) {
        let held = &self.account(purpose).held;
        held.set(held.get() - bytes);
        self.grant();
    }

    /// Grants the reservations at the front of the queues for which there is room.
    fn grant(self: &Rc<Self>) {
        for purpose in [Purpose::Short, Purpose::Long] {
            while let Some(waiter) = self.next_waiter_with_room(purpose) {
                // A waiter that has just left drops the reservation, which returns it.
                let _ = waiter.granted.send(self.take(purpose, waiter.bytes));
            }
        }
    }

    fn next_waiter_with_room(&self, purpose: Purpose) -> Option<Waiter> {
        let account = self.account(purpose);
        let bytes = account.next_bytes()?;
        if !self.has_room(purpose, bytes) {
            return None;
        }
        account.waiters.borrow_mut().pop_front()
    }
}

/// Whoever leaves the queue may have kept those behind waiting.
struct GrantOnDrop<'a>(&'a Rc<MemoryBudget>);

impl Drop for GrantOnDrop<'_> {
    fn drop(&mut self) {
        self.0.grant();
    }
}

/// Reserved bytes, returned when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    purpose: Purpose,
    bytes: Cell<usize>,
}

impl Reservation {
    /// How many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Changes the size. Growing is optional: returns false, and changes nothing, if there is no room.
    pub fn try_resize(&self, bytes: usize) -> bool {
        let before = self.bytes.get();
        if bytes <= before {
            self.bytes.set(bytes);
            self.budget.give_back(self.purpose, before - bytes);
            return true;
        }
        let has_room = self.budget.has_room_for_optional(bytes - before);
        if has_room {
            self.bytes.set(bytes);
            self.budget.add(self.purpose, bytes - before);
        }
        has_room
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(self.purpose, self.bytes.get());
    }
}
