//! The bound on the memory that messages hold: the heads and bodies of requests, and answers that wait for their callers.
//! Whatever reads or keeps parts of a message reserves the memory for it here first. No I/O.

pub mod answer;
pub mod budget;
pub mod rpc;
pub mod window;

/// A head, the beginning of a body and an answer of this size need no memory beyond that of their connections.
pub const SMALL_MESSAGE_BYTES: usize = 4 * 1024;

/// Memory for a caller's connection: its task, the library's buffers, and the head of a request.
pub const CALLER_CONNECTION_BYTES: usize = 32 * 1024;

/// Memory for an attempt: its task, the buffers of its connection to the upstream, and the beginning of an answer.
pub const ATTEMPT_BYTES: usize = 52 * 1024;

/// Memory for the beginning of a body: as received, and in the buffers of both connections.
pub const BODY_START_BYTES: usize = 24 * 1024;

/// A body that is kept whole is in memory this many times: as kept, in the library's buffer for the attempt, and as far as the
/// upstream's connection has not accepted it.
pub const COPIES_OF_KEPT_BODY: usize = 3;

/// The part of an answer that is held is in a buffer that may have grown by doubling.
pub const COPIES_OF_HELD_ANSWER: usize = 2;
