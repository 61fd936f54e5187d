//! The memory of one attempt, and of its answer while it is received and until its caller has read it.

use super::budget::OutOfMemory;
use super::rpc::{AttemptMemory, RpcMemory};
use super::window::{Window, Windows};
use super::COPIES_OF_HELD_ANSWER;
use std::cell::OnceCell;
use std::rc::Rc;

/// Memory for the part of an answer that is held before it is passed on. Returned when dropped.
#[derive(Debug)]
pub struct HeldAnswer {
    /// The window that the memory belongs to.
    window: Rc<Window>,
    bytes: usize,
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.window.release_kept(self.bytes);
    }
}

/// The memory of one attempt, which also reserves memory for its answer.
#[derive(Debug)]
pub struct AnswerMemory {
    /// For the attempt's task and connection.
    attempt: AttemptMemory,
    windows: Rc<Windows>,
    /// The window of the answer, once it has one. If the RPC has one, it is that: its request is written when the answer
    /// arrives.
    window: OnceCell<Rc<Window>>,
}

impl AnswerMemory {
    /// Reserves memory for an attempt of the RPC as soon as there is room.
    pub async fn reserve(windows: &Rc<Windows>, rpc: Option<&Rc<RpcMemory>>) -> Self {
        let attempt = AttemptMemory::reserve(windows.budget(), rpc).await;
        let rpc_window = rpc.and_then(|rpc| rpc.window()).cloned();
        let window = rpc_window.map_or_else(OnceCell::new, OnceCell::from);
        AnswerMemory { attempt, windows: Rc::clone(windows), window }
    }

    /// Reserves memory to hold `bytes` of the answer, if there is room.
    pub fn try_hold(&self, bytes: usize) -> Option<HeldAnswer> {
        let window = match self.window.get() {
            Some(window) => window,
            None => self.adopt(self.windows.try_open_for_answer()?),
        };
        let bytes = COPIES_OF_HELD_ANSWER * bytes;
        window.try_keep(bytes).then(|| HeldAnswer { window: Rc::clone(window), bytes })
    }

    /// The window of the answer, once there is room for one. An answer that has one does not wait.
    ///
    /// # Errors
    /// When others need the memory that the attempt holds meanwhile.
    pub async fn window(&self) -> Result<Rc<Window>, OutOfMemory> {
        if let Some(window) = self.window.get() {
            return Ok(Rc::clone(window));
        }
        Ok(Rc::clone(self.adopt(self.windows.open_for_answer().await?)))
    }

    /// Uses a window that has the memory for the attempt.
    fn adopt(&self, window: Rc<Window>) -> &Rc<Window> {
        self.attempt.release_short();
        self.window.get_or_init(|| window)
    }
}
