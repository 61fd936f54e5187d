//! One connection to an upstream: how far a transmission on it has come, where its answer ends, and whether the
//! connection stands idle.

use super::framing::Framing;
use super::{peek, without_delay};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::{Buf, BytesMut};
use futures_util::future::{select, Either};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep;
use tokio_util::io::poll_read_buf;

/// How far a transmission has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    #[default]
    Nothing,
    Connected,
    /// The last byte is out: from here on it may have run.
    Written,
    AnswerBegun,
}

/// The course of one transmission, kept by the connection that carries it.
#[derive(Debug, Default)]
pub struct Course {
    reached: Cell<Reached>,
    /// The upstream ended the connection while it carried this transmission.
    cut: Cell<bool>,
    /// That end was the answer's, too.
    to_the_end: Cell<bool>,
    /// When its first byte was written.
    begun_at: Cell<Option<Instant>>,
    heard_at: Cell<Option<Instant>>,
    /// It never left, for want of connections here.
    held_back: Cell<bool>,
    seat: RefCell<Option<Rc<Seat>>>,
    /// Called off, or its upstream has left the list: it does not begin any more.
    barred: Cell<bool>,
    /// Nor after this.
    begins_by: Cell<Option<Instant>>,
    /// More of the body is to come: the last byte is not out.
    pub unfinished: Cell<bool>,
    /// The upstream answered before it had the whole body.
    pub early: Cell<bool>,
    /// Counts transmissions whose last byte is out.
    written: Rc<Cell<u64>>,
}

tokio::task_local! {
    /// The transmission that the running task makes: tells a pooled connection whom it serves.
    pub static COURSE: Rc<Course>;
}

impl Course {
    pub fn counted(written: &Rc<Cell<u64>>) -> Rc<Self> {
        Rc::new(Course { written: Rc::clone(written), ..Course::default() })
    }

    pub fn reached(&self) -> Reached {
        self.reached.get()
    }

    /// Whether the answer that the library takes for whole is: it takes one in chunks that is cut short for one.
    pub fn whole(&self) -> io::Result<()> {
        if self.cut.get() && !self.to_the_end.get() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// When something came last.
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at.get()
    }

    pub fn held_back(&self) -> bool {
        self.held_back.get()
    }

    /// From here on its first byte does not leave. Guards against a connection that comes up late: its caller may have
    /// gone by then, or its upstream have been told to drain.
    pub fn bar(&self) {
        self.barred.set(true);
    }

    /// The same in so long. Guards against a repeat on a connection that comes up when repeats are not dropped any more.
    pub fn bar_after(&self, left: Duration) {
        self.begins_by.set(Some(Instant::now() + left));
    }

    fn may_begin(&self) -> bool {
        !self.barred.get() && self.begins_by.get().is_none_or(|by| Instant::now() < by)
    }

    /// The connection, if it is kept, stands idle from now on; one that may still bring something of this
    /// answer is closed. Guards against a second copy or noise that the next RPC would take for its answer.
    pub fn over(&self) {
        let Some(seat) = self.seat.take() else { return };
        // Out of the library's hands, whose pool would give it to the next RPC at once.
        let Some(stream) = seat.stream.take() else { return };
        // All of the RPC is out and all of the answer is in.
        let is_done = seat.reusable.get() && seat.left.borrow().is_empty();
        if let Some(home) = seat.home.upgrade().filter(|_| is_done) {
            home.park(stream, self.begun_at.get().map_or(Duration::ZERO, |at| at.elapsed()));
        }
    }

    /// Writes on what the connection has not taken yet: ready once no more than `window` of it is left. An answer that
    /// comes meanwhile, or an end, is an error.
    pub fn poll_room(&self, cx: &mut Context<'_>, window: usize) -> Poll<io::Result<()>> {
        let Some(seat) = self.seat.borrow().clone() else { return Poll::Ready(Ok(())) };
        let mut peeked = [MaybeUninit::uninit(); 1];
        let mut peeked = ReadBuf::uninit(&mut peeked);
        if seat.with(|stream| stream.get_mut().poll_peek(cx, &mut peeked)).is_ready() {
            self.early.set(true);
            return Poll::Ready(Err(io::Error::other("an answer before the whole body")));
        }
        match seat.write_left(cx) {
            Poll::Pending if seat.left.borrow().len() > window => Poll::Pending,
            Poll::Ready(Err(why)) => Poll::Ready(Err(why)),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn come_to(&self, reached: Reached) {
        if self.reached.get() < Reached::Written && reached >= Reached::Written {
            self.written.set(self.written.get() + 1);
        }
        self.reached.set(self.reached.get().max(reached));
    }
}

/// Connections to one upstream that stand idle, the longest idle first. Emptied as they are used, by their ends, and with
/// the line to the upstream.
#[derive(Debug)]
pub struct Parked {
    seats: Rc<Seats>,
    idle: RefCell<VecDeque<Rc<Seat>>>,
    /// They rest for so long first, and are used for so long.
    rest: Duration,
    keep: Duration,
    /// How long an RPC takes of late from its first byte to its answer's last, in seconds.
    usual: Cell<f64>,
}

/// Where RPCs take so many rests, one is waited out for the connection that is there: it costs them little beside, and upstreams
/// hold only so many connections. Where they are quicker a new one is made beside it.
const LONG: f64 = 2.0;

impl Parked {
    pub fn new(seats: &Rc<Seats>, rest: Duration, keep: Duration) -> Rc<Self> {
        Rc::new(Parked {
            seats: Rc::clone(seats),
            idle: RefCell::default(),
            rest,
            keep,
            usual: Cell::new(0.0),
        })
    }

    /// After an answer that took so long.
    fn park(self: &Rc<Self>, stream: TcpStream, took: Duration) {
        /// Some ten answers.
        const RECENT: f64 = 0.1;
        self.usual.set(self.usual.get() + RECENT * (took.as_secs_f64() - self.usual.get()));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|seat| seat.stream.borrow().is_some());
        let seat = self.seats.enter(stream, Rc::downgrade(self));
        seat.idle_since.set(Some(Instant::now()));
        idle.push_back(seat);
    }

    /// The longest idle one that may be used, and how long it still rests; those that were kept too long are closed.
    fn take(&self) -> Option<(Rc<Seat>, Duration)> {
        let mut idle = self.idle.borrow_mut();
        while let Some(seat) = idle.pop_front() {
            // One that was closed to make room may be among them.
            let age = seat.idle_since.get().map_or(self.keep, |since| since.elapsed());
            if age < self.keep && seat.stream.borrow().is_some() {
                return Some((seat, self.rest.saturating_sub(age)));
            }
        }
        None
    }

    /// An idle connection, or a new one. One that rests is waited for; where that is long against what an RPC takes, beside a
    /// new one that is made.
    pub async fn connect(self: &Rc<Self>, address: SocketAddr) -> io::Result<Outbound> {
        while let Some((seat, left)) = self.take() {
            let is_waited_out = self.usual.get() >= LONG * self.rest.as_secs_f64();
            if left.is_zero() || is_waited_out {
                if !left.is_zero() {
                    sleep(left).await;
                }
                if seat.is_quiet() {
                    return Ok(Outbound::of(seat));
                }
                continue;
            }
            let (rested, new) = (pin!(sleep(left)), pin!(self.seats.connect(address, Rc::downgrade(self))));
            return match select(rested, new).await {
                Either::Left((_, _)) if seat.is_quiet() => Ok(Outbound::of(seat)),
                Either::Left((_, new)) => new.await,
                Either::Right((Ok(new), _)) => {
                    self.idle.borrow_mut().push_front(seat);
                    Ok(new)
                }
                Either::Right((Err(why), rested)) => {
                    rested.await;
                    if seat.is_quiet() {
                        return Ok(Outbound::of(seat));
                    }
                    Err(why)
                }
            };
        }
        self.seats.connect(address, Rc::downgrade(self)).await
    }
}

/// A connection's place in the table; it is closed by taking the stream out.
#[derive(Debug)]
struct Seat {
    stream: RefCell<Option<TcpStream>>,
    /// What the socket has not taken yet. The library may stop flushing a long body before its end, so all
    /// of it is taken here at once; flushing then writes it out.
    left: RefCell<BytesMut>,
    idle_since: Cell<Option<Instant>>,
    /// The answer on it has come whole, nothing behind it, and it says nothing of an end.
    reusable: Cell<bool>,
    /// Where it stands between two RPCs, if it is kept.
    home: Weak<Parked>,
    most_body: u64,
}

impl Seat {
    /// Nothing has come on it, and it has not ended.
    fn is_quiet(&self) -> bool {
        self.stream.borrow().as_ref().is_some_and(|stream| peek(stream) == Err(Errno::AGAIN))
    }

    fn with<T>(&self, act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    fn write_left(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut left = self.left.borrow_mut();
        while !left.is_empty() {
            match std::task::ready!(self.with(|stream| stream.poll_write(cx, &left)))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                n => left.advance(n),
            }
        }
        // An idle connection keeps no memory for it.
        *left = BytesMut::new();
        Poll::Ready(Ok(()))
    }
}

/// All connections to upstreams. Emptied as they are closed.
#[derive(Debug)]
pub struct Seats {
    all: RefCell<Vec<Weak<Seat>>>,
    /// How many are being made.
    coming: Cell<usize>,
    most: Cell<usize>,
    /// The longest body of an answer.
    most_body: u64,
}

impl Seats {
    pub fn new(most: usize, most_body: usize) -> Self {
        Seats {
            all: RefCell::default(),
            coming: Cell::new(0),
            most: Cell::new(most),
            most_body: most_body as u64,
        }
    }

    /// Connects, if there is room; at the limit the longest idle connection goes. It is kept at `home`, or nowhere.
    pub async fn connect(&self, address: SocketAddr, home: Weak<Parked>) -> io::Result<Outbound> {
        /// No descriptors left in this process or on this machine, no local port left.
        const OURS: [i32; 3] = [23, 24, 99];
        let hold_back = || COURSE.try_with(|course| course.held_back.set(true));
        if !self.make_room() {
            let _ = hold_back();
            return Err(io::Error::other("all connections are busy"));
        }
        self.coming.set(self.coming.get() + 1);
        let coming = Coming(&self.coming);
        let stream = TcpStream::connect(address).await;
        drop(coming);
        let stream = stream.inspect_err(|why| {
            if why.raw_os_error().is_some_and(|code| OURS.contains(&code)) {
                let _ = hold_back();
            }
        })?;
        without_delay(&stream);
        Ok(Outbound::new(self.enter(stream, home)))
    }

    fn enter(&self, stream: TcpStream, home: Weak<Parked>) -> Rc<Seat> {
        let seat = Rc::new(Seat {
            stream: RefCell::new(Some(stream)),
            left: RefCell::default(),
            idle_since: Cell::new(None),
            reusable: Cell::new(false),
            home,
            most_body: self.most_body,
        });
        self.all.borrow_mut().push(Rc::downgrade(&seat));
        seat
    }

    /// How many there are, those that are being made with them.
    pub fn count(&self) -> usize {
        self.all
            .borrow()
            .iter()
            .filter(|seat| seat.upgrade().is_some_and(|s| s.stream.borrow().is_some()))
            .count()
            + self.coming.get()
    }

    /// From now on there are this many at the most; idle ones beyond that go at once.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        while self.count() > most && self.end_idlest() {}
    }

    fn make_room(&self) -> bool {
        self.clear();
        if self.all.borrow().len() + self.coming.get() < self.most.get() {
            return true;
        }
        self.end_idlest()
    }

    fn end_idlest(&self) -> bool {
        let all = self.all.borrow();
        let idle = all.iter().filter_map(Weak::upgrade).filter(|s| s.idle_since.get().is_some());
        let oldest = idle.filter(|s| s.stream.borrow().is_some()).min_by_key(|s| s.idle_since.get());
        oldest.is_some_and(|s| s.stream.take().is_some())
    }

    /// Closes what has stood idle for this long. The pool looks at a connection only when it wants one to
    /// the same address: without this, what upstreams closed would hold descriptors for good.
    pub fn sweep(&self, idle: Duration) {
        for seat in self.all.borrow().iter().filter_map(Weak::upgrade) {
            if seat.idle_since.get().is_some_and(|since| since.elapsed() >= idle) {
                seat.stream.take();
            }
        }
        self.clear();
    }

    fn clear(&self) {
        self.all.borrow_mut().retain(|seat| seat.upgrade().is_some_and(|s| s.stream.borrow().is_some()));
    }
}

/// Counts a connection that is being made, until it is made or given up.
struct Coming<'a>(&'a Cell<usize>);

impl Drop for Coming<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The stream that the client library reads and writes.
#[derive(Debug)]
pub struct Outbound {
    seat: Rc<Seat>,
    framing: Framing,
    /// What has come and is not handed on yet; the first `ready` bytes are the answer's.
    heard: BytesMut,
    ready: usize,
}

/// As much as the library reads at once.
const HEAR: usize = 8 * 1024;

impl Outbound {
    /// On a connection that stood idle.
    fn of(seat: Rc<Seat>) -> Self {
        seat.idle_since.set(None);
        Outbound::new(seat)
    }

    fn new(seat: Rc<Seat>) -> Self {
        Outbound { seat, framing: Framing::default(), heard: BytesMut::new(), ready: 0 }
    }

    /// Takes in what has come; 0 bytes at the end of the connection.
    fn hear(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.heard.reserve(HEAR);
        let (seat, heard) = (Rc::clone(&self.seat), &mut self.heard);
        let mut stream = seat.stream.borrow_mut();
        match stream.as_mut() {
            Some(stream) => poll_read_buf(Pin::new(stream), cx, heard),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Waits for more of the answer, and finds its end.
    fn listen(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ready == 0 {
            if std::task::ready!(self.hear(cx))? == 0 {
                // The library takes an answer in chunks that is cut short for a whole one.
                let to_the_end = self.framing.ends_with_connection();
                self.note(|course| {
                    course.cut.set(true);
                    course.to_the_end.set(to_the_end);
                });
                let end =
                    if self.framing.is_open_ended() { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof) };
                return Poll::Ready(end.map_err(io::Error::from));
            }
            self.note(|course| {
                course.heard_at.set(Some(Instant::now()));
                course.come_to(Reached::AnswerBegun);
            });
            self.ready = self.framing.count(&mut self.heard, self.seat.most_body)?;
        }
        // Whatever is behind a whole answer belongs to no other; nor does what is behind one whose end the
        // library finds.
        let more = self.framing.is_whole()
            && (self.heard.len() > self.ready || matches!(self.hear(cx), Poll::Ready(Ok(_) | Err(_))));
        self.seat.reusable.set(self.framing.is_whole() && !more && !self.framing.closes());
        Poll::Ready(Ok(()))
    }

    /// The transmission of the running task, once it has this connection.
    fn note(&self, act: impl FnOnce(&Course)) {
        let _ = COURSE.try_with(|course| {
            if course.seat.borrow().as_ref().is_some_and(|seat| Rc::ptr_eq(seat, &self.seat)) {
                act(course);
            }
        });
    }
}

/// Whoever else still knows of the connection, it is closed: a transmission that is given up must end there.
impl Drop for Outbound {
    fn drop(&mut self) {
        self.seat.stream.take();
    }
}

impl AsyncRead for Outbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ready == 0 {
            if self.framing.is_whole() {
                // The library's pool asks whether it is still good; once parked it is not there any more.
                return self.seat.with(|stream| stream.poll_read(cx, buf));
            }
            std::task::ready!(self.listen(cx))?;
        }
        let n = self.ready.min(buf.remaining());
        buf.put_slice(&self.heard.split_to(n));
        self.ready -= n;
        if self.ready == 0 && self.framing.is_whole() {
            // An idle connection keeps no memory for it.
            self.heard = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Outbound {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let barred = COURSE.try_with(|course| {
            if course.reached() < Reached::Connected && !course.may_begin() {
                course.held_back.set(true);
                return true;
            }
            if course.reached() < Reached::Connected {
                course.begun_at.set(Some(Instant::now()));
            }
            course.seat.replace(Some(Rc::clone(&self.seat)));
            course.come_to(Reached::Connected);
            false
        });
        if barred.unwrap_or(false) {
            return Poll::Ready(Err(io::Error::other("called off before its first byte")));
        }
        if let Poll::Ready(result) = self.seat.write_left(cx) {
            result?;
            let written = self.seat.with(|stream| stream.poll_write(cx, buf));
            let n = if let Poll::Ready(n) = written { n? } else { 0 };
            self.seat.left.borrow_mut().extend_from_slice(&buf[n..]);
        } else {
            self.seat.left.borrow_mut().extend_from_slice(buf);
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.seat.write_left(cx))?;
        self.note(|course| {
            if !course.unfinished.get() {
                course.come_to(Reached::Written);
            }
        });
        self.seat.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.seat.with(|stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for Outbound {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.seat.with(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.seat.with(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}
