//! A place at a target.

use local_sync::oneshot;

use super::admission::Decision;
use super::durations::ShapeKey;
use super::outcome::Outcome;
use super::scheduler::Scheduler;
use super::service::{RouteRequest, ServiceId};
use super::target::{InflightCall, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;

/// Time between two looks at queues whose calls wait for an estimate to age. A call that can be
/// sent at once or when one of the entry's calls ends does not wait for it.
const LOOK_INTERVAL: Duration = Duration::from_millis(4);

/// What a call under way is known by.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    pub service: ServiceId,
    pub target: TargetKey,
    pub shape: ShapeKey,
    /// Length by the document.
    pub declared: Length,
    pub call: InflightCall,
}

/// A place at a target until it is dropped, also when the call is cancelled.
pub struct Grant {
    scheduler: Rc<RefCell<Scheduler>>,
    ticket: Ticket,
    outcome: Outcome,
}

impl Grant {
    /// The target.
    pub fn target(&self) -> TargetKey {
        self.ticket.target
    }

    /// The duration that the call is expected to take.
    pub fn expected(&self) -> Duration {
        self.ticket.call.expected
    }

    /// Says how the call ended; without this it counts as cancelled.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let outcome = std::mem::take(&mut self.outcome);
        self.scheduler.borrow_mut().finish(self.ticket, outcome, Instant::now());
        pump(&self.scheduler, self.ticket.service);
    }
}

/// Waits for a place at a target.
pub async fn acquire(
    scheduler: &Rc<RefCell<Scheduler>>,
    request: RouteRequest,
) -> Result<Grant, Code> {
    let now = Instant::now();
    let left = request.deadline.left(now);
    let decision = scheduler.borrow_mut().admit(request, now);
    match decision {
        Decision::Go(ticket) => Ok(Grant::new(scheduler, ticket)),
        Decision::Refuse(code) => Err(code),
        Decision::Wait(receiver) => match monoio::time::timeout(left, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Code::NotRunNoTarget),
            Err(_) => Err(Code::NotRunDeadline),
        },
    }
}

/// Looks at the queues until the task is dropped.
pub async fn serve_queues(scheduler: Rc<RefCell<Scheduler>>) {
    loop {
        let busy = scheduler.borrow().busy_services();
        if busy.is_empty() {
            let (sender, receiver) = oneshot::channel();
            scheduler.borrow_mut().idle = Some(sender);
            let _ = receiver.await;
        }
        monoio::time::sleep(LOOK_INTERVAL).await;
        for service in busy {
            pump(&scheduler, service);
        }
    }
}

/// Sends waiting calls for which there is room.
fn pump(scheduler: &Rc<RefCell<Scheduler>>, service: ServiceId) {
    loop {
        let next = scheduler.borrow_mut().next(service, Instant::now());
        let Some((sender, ticket)) = next else { return };
        // The borrow has ended: a grant that is not received is dropped and borrows again.
        let _ = sender.send(Ok(Grant::new(scheduler, ticket)));
    }
}

impl Grant {
    fn new(scheduler: &Rc<RefCell<Scheduler>>, ticket: Ticket) -> Self {
        Self { scheduler: scheduler.clone(), ticket, outcome: Outcome::Cancelled }
    }
}
