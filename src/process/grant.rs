//! A place at a target.

use local_sync::oneshot;

use super::admission::Verdict;
use super::durations::ShapeKey;
use super::fleet::Fleet;
use super::outcome::Outcome;
use super::service::{Ask, ServiceId};
use super::target::{Flight, TargetKey};
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
    pub flight: Flight,
}

/// A place at a target until it is dropped, also when the call is cancelled.
pub struct Grant {
    fleet: Rc<RefCell<Fleet>>,
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
        self.ticket.flight.expected
    }

    /// Says how the call ended; without this it counts as cancelled.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let outcome = std::mem::take(&mut self.outcome);
        self.fleet.borrow_mut().finish(self.ticket, outcome, Instant::now());
        pump(&self.fleet, self.ticket.service);
    }
}

/// Waits for a place at a target.
pub async fn acquire(fleet: &Rc<RefCell<Fleet>>, ask: Ask) -> Result<Grant, Code> {
    let now = Instant::now();
    let left = ask.deadline.left(now);
    let verdict = fleet.borrow_mut().admit(ask, now);
    match verdict {
        Verdict::Go(ticket) => Ok(Grant::new(fleet, ticket)),
        Verdict::Refuse(code) => Err(code),
        Verdict::Wait(receiver) => match monoio::time::timeout(left, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Code::NotRunNoTarget),
            Err(_) => Err(Code::NotRunDeadline),
        },
    }
}

/// Looks at the queues until the task is dropped.
pub async fn serve_queues(fleet: Rc<RefCell<Fleet>>) {
    loop {
        let busy = fleet.borrow().busy_services();
        if busy.is_empty() {
            let (sender, receiver) = oneshot::channel();
            fleet.borrow_mut().idle = Some(sender);
            let _ = receiver.await;
        }
        monoio::time::sleep(LOOK_INTERVAL).await;
        for service in busy {
            pump(&fleet, service);
        }
    }
}

/// Sends waiting calls for which there is room.
fn pump(fleet: &Rc<RefCell<Fleet>>, service: ServiceId) {
    loop {
        let next = fleet.borrow_mut().next(service, Instant::now());
        let Some((sender, ticket)) = next else { return };
        // The borrow has ended: a grant that is not received is dropped and borrows again.
        let _ = sender.send(Ok(Grant::new(fleet, ticket)));
    }
}

impl Grant {
    fn new(fleet: &Rc<RefCell<Fleet>>, ticket: Ticket) -> Self {
        Self { fleet: fleet.clone(), ticket, outcome: Outcome::Cancelled }
    }
}
