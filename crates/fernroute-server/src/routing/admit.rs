//! Passes an RPC to the balancer and waits for its final answer.

use super::counters::End;
use super::dispatcher::{Dispatcher, OpenRpc};
use super::phase::Closing;
use super::run_once_ids::RunOnceIdError;
use crate::protocol::answer::FinalAnswer;
use crate::protocol::request::{InvalidRequest, Request};
use crate::transport::inbound::CallerConnection;
use actix_http::StatusCode;
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use tokio::sync::oneshot;

const ID_IN_USE: InvalidRequest = InvalidRequest(StatusCode::BAD_REQUEST, "id in use");

/// Abandons the RPC when dropped: the caller has disconnected before the final answer.
struct AbandonOnDrop {
    dispatcher: Rc<Dispatcher>,
    rpc: Rc<str>,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        self.dispatcher.abandon(&self.rpc);
    }
}

impl Dispatcher {
    /// Rejects an RPC that the balancer has not been told of: it has not run and is safe to repeat.
    pub fn refuse(&self, request: &Request) -> FinalAnswer {
        self.counters.accept(&request.method).end(End::Exhausted);
        FinalAnswer::Exhausted(0)
    }

    /// `caller` is the connection that the RPC was received on, if any.
    pub async fn admit(
        self: &Rc<Self>,
        request: Request,
        caller: Option<&Rc<CallerConnection>>,
    ) -> Result<FinalAnswer, InvalidRequest> {
        let rpc = Rc::clone(&request.id);
        // Two open RPCs with one id could not be told apart.
        if self.open.borrow().contains_key(&rpc) {
            return Err(ID_IN_USE);
        }
        if self.closing() == Closing::OpenRpcs {
            // Open RPCs have just been ended, so a new one would be cut off.
            return Ok(self.refuse(&request));
        }
        if request.run_once {
            match self.run_once_ids.add(&rpc, self.clock.now(), request.time_left) {
                Ok(()) => {}
                Err(RunOnceIdError::MayRun) => return Err(ID_IN_USE),
                Err(RunOnceIdError::Full) => return Ok(self.refuse(&request)),
            }
        }
        let mut accepted = self.counters.accept(&request.method);
        let (sender, receiver) = oneshot::channel();
        let request = Rc::new(request);
        let open = OpenRpc {
            request: Rc::clone(&request),
            caller: caller.map(Rc::downgrade),
            answer: Some(sender),
            streaming: false,
            attempts_started: 0,
            may_have_run: false,
            completed: false,
            attempts: BTreeMap::new(),
        };
        self.open.borrow_mut().insert(Rc::clone(&rpc), open);
        if let Some(demand) = self.tenant_demand.borrow_mut().as_mut() {
            let now = self.clock.now();
            demand.get_mut(&request.tenant).into_iter().for_each(|meter| meter.count(now));
        }
        let _abandon_on_drop = AbandonOnDrop { dispatcher: Rc::clone(self), rpc: Rc::clone(&rpc) };
        self.decide(Some(&rpc), |b, now| {
            b.rpc_arrived(now, &rpc, &request.method, &request.tenant, &request.key, request.time_left);
            if !request.is_complete() {
                b.rpc_receiving(&rpc);
            }
        });
        let Ok(mut answer) = receiver.await else {
            // The caller has disconnected; closing the connection drops this future.
            return pending().await;
        };
        let end = End::of(&answer);
        if let Some(on_end) =
            answer.on_end(move |complete| accepted.end(if complete { end } else { End::Errored }))
        {
            on_end(true);
        }
        Ok(answer)
    }
}
