//! Puts an RPC before the decisions, and waits for its final answer.

use super::phase::Closing;
use super::switchboard::{Open, Switchboard};
use super::tally::End;
use crate::protocol::answer::Final;
use crate::protocol::request::{Request, Unfit};
use crate::transport::inbound::CallerConnection;
use actix_http::StatusCode;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Tells that the caller has gone, should it go before the final answer.
struct Caller {
    board: Rc<Switchboard>,
    rpc: Rc<str>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.board.abandoned(&self.rpc);
    }
}

impl Switchboard {
    /// `caller` is the connection that it came on, if it came on one.
    pub async fn admit(
        self: &Rc<Self>,
        request: Request,
        caller: Option<&Rc<CallerConnection>>,
    ) -> Result<Final, Unfit> {
        let rpc = Rc::clone(&request.id);
        // One id, one final answer.
        if self.open.borrow().contains_key(&rpc) {
            return Err(Unfit(StatusCode::BAD_REQUEST, "id in use"));
        }
        let mut taken = self.tally.take(&request.method);
        if self.closing() == Closing::Open {
            // What is open has just been ended: nothing new begins that would be cut off, and this one never ran.
            taken.end(End::Exhausted);
            return Ok(Final::Exhausted(0));
        }
        let (answer, waiting) = oneshot::channel();
        let request = Rc::new(request);
        let open = Open {
            request: Rc::clone(&request),
            caller: caller.map(Rc::downgrade),
            answer: Some(answer),
            streaming: false,
            made: 0,
            out: BTreeMap::new(),
        };
        self.open.borrow_mut().insert(Rc::clone(&rpc), open);
        if let Some(asked) = self.asked.borrow_mut().as_mut() {
            let now = self.clock.now();
            asked.get_mut(&request.tenant).into_iter().for_each(|meter| meter.count(now));
        }
        let _caller = Caller { board: Rc::clone(self), rpc: Rc::clone(&rpc) };
        self.decide(Some(&rpc), |b, now| {
            b.rpc_arrived(now, &rpc, &request.method, &request.tenant, &request.key, request.time_left);
        });
        let Ok(mut last) = waiting.await else {
            // Found to have left: its connection is ended, and with it this.
            return pending().await;
        };
        let end = End::of(&last);
        if let Some(at_end) = last.at_end(move |whole| taken.end(if whole { end } else { End::Errored })) {
            at_end(true);
        }
        Ok(last)
    }
}
