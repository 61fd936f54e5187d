//! Whether a caller is still connected, or how long it can have been gone.
//!
//! The end of a connection comes behind everything that the caller has sent. Where the receive window is closed, because this
//! side reads nothing, the end stays in the caller's kernel: the caller may have left, and nothing here shows it. So before an
//! attempt begins, what is readable is read ahead as far as there is room. Where bytes are left that may hide the end, the
//! attempt begins only shortly after the caller was last seen.

use super::inbound::CallerConnection;
use super::peek;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::{ioctl_fionread, Errno};
use rustix::net::sockopt::socket_recv_buffer_size;
use std::time::{Duration, Instant};

/// How long the result of a check is reused.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An attempt must not begin more than 100 ms after its caller has disconnected. The rest is for a busy process between the check
/// and the first byte.
const MAX_UNSEEN: Duration = Duration::from_millis(80);

/// The window is open while no more than one part in this many of the receive buffer is unread: small segments take several times
/// the memory of their bytes.
const OPEN_WINDOW_DIVISOR: u64 = 8;

/// What is known of a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    #[default]
    Connected,
    /// It has closed the connection, or its sending side.
    Disconnected,
    /// Unread bytes may hide the end of the connection.
    Unknown,
}

impl CallerConnection {
    /// Checks whether the caller has closed the connection, or its sending side, also behind bytes that nothing reads, such as a
    /// body whose upstream is slow, or requests behind an open RPC. Asks the kernel directly.
    pub fn presence(&self) -> Presence {
        if self.has_open_request() {
            self.read_ahead_now();
        }
        let presence = match self.peek() {
            Ok(0) | Err(Errno::CONNRESET | Errno::PIPE | Errno::TIMEDOUT) => Presence::Disconnected,
            Ok(_) if self.is_read_closed() => Presence::Disconnected,
            Ok(_) if !self.has_open_window() => Presence::Unknown,
            Ok(_) | Err(_) => Presence::Connected,
        };
        match presence {
            Presence::Connected => self.last_seen_at.set(Some(Instant::now())),
            Presence::Disconnected => self.last_seen_at.set(None),
            Presence::Unknown => {}
        }
        presence
    }

    /// The same for an attempt that is about to begin. Unknown if the caller can have been gone for too long for an attempt.
    pub fn presence_for_attempt(&self) -> Presence {
        let was_seen_within = |limit| self.last_seen_at.get().is_some_and(|at| at.elapsed() < limit);
        if was_seen_within(CHECK_INTERVAL) {
            return Presence::Connected;
        }
        match self.presence() {
            Presence::Unknown if was_seen_within(MAX_UNSEEN) => Presence::Connected,
            presence => presence,
        }
    }

    /// Whether the caller is known to have disconnected.
    pub fn has_disconnected(&self) -> bool {
        self.presence() == Presence::Disconnected
    }

    /// The same for a connection with an open RPC from which the library does not read. Guards against long work for a caller
    /// that has disconnected.
    pub fn has_disconnected_unread(&self) -> bool {
        self.has_open_request() && !self.input_drained.get() && self.has_disconnected()
    }

    /// A stream that is gone counts as closed by the caller.
    pub(super) fn peek(&self) -> Result<usize, Errno> {
        self.stream.borrow().as_ref().map_or(Ok(0), peek)
    }

    /// The end of the connection has arrived, even if unread bytes precede it.
    fn is_read_closed(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = &*stream else { return true };
        let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
        let is_polled = poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok();
        is_polled && polled[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// The caller's kernel may send more, and so would have sent the end of the connection.
    fn has_open_window(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = &*stream else { return false };
        let unread = ioctl_fionread(stream).unwrap_or(u64::MAX);
        let buffer = socket_recv_buffer_size(stream).unwrap_or(0) as u64;
        unread <= buffer / OPEN_WINDOW_DIVISOR
    }
}
