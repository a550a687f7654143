//! Permits: a call holds one while it uses a slot of a target.

use local_sync::oneshot;

use super::admission::Decision;
use super::durations::ShapeKey;
use super::outcome::Outcome;
use super::scheduler::Scheduler;
use super::service::{RouteRequest, ServiceId};
use super::target::{InflightCall, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;

/// Interval at which queues are polled, since an aging load estimate can free a slot without any
/// event. A call that can be sent at once or when one of the entry's calls ends does not wait for
/// it.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(4);

/// A call that has been assigned to a target.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedCall {
    pub service: ServiceId,
    pub target: TargetKey,
    pub shape: ShapeKey,
    /// Length that the document declares.
    pub declared: Length,
    pub call: InflightCall,
}

/// Permission to send one call to a target; dropping it frees the slot, also when the call is
/// cancelled.
pub struct Permit {
    scheduler: Rc<RefCell<Scheduler>>,
    admitted: AdmittedCall,
    outcome: Outcome,
}

impl Permit {
    pub fn target(&self) -> TargetKey {
        self.admitted.target
    }

    /// Expected duration of the call.
    pub fn expected(&self) -> Duration {
        self.admitted.call.expected
    }

    /// Sets the outcome of the call; a permit dropped without one counts as cancelled.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let outcome = std::mem::take(&mut self.outcome);
        self.scheduler.borrow_mut().finish_call(self.admitted, outcome, Instant::now());
        send_waiting(&self.scheduler, self.admitted.service);
    }
}

/// Waits for a permit, up to the call's deadline.
pub async fn acquire(
    scheduler: &Rc<RefCell<Scheduler>>,
    request: RouteRequest,
) -> Result<Permit, Code> {
    let now = Instant::now();
    let left = request.deadline.left(now);
    let decision = scheduler.borrow_mut().admit(request, now);
    match decision {
        Decision::Send(admitted) => Ok(Permit::new(scheduler, admitted)),
        Decision::Refuse(code) => Err(code),
        Decision::Wait(receiver) => match monoio::time::timeout(left, receiver).await {
            Ok(Ok(result)) => result,
            // A new document removed the service and with it the queue.
            Ok(Err(_)) => Err(Code::NotRunNoTarget),
            Err(_) => Err(Code::NotRunDeadline),
        },
    }
}

/// Polls the queues until the task is dropped.
pub async fn serve_queues(scheduler: Rc<RefCell<Scheduler>>) {
    loop {
        let waiting = scheduler.borrow().waiting_services();
        if waiting.is_empty() {
            let (sender, receiver) = oneshot::channel();
            scheduler.borrow_mut().queue_wakeup = Some(sender);
            let _ = receiver.await;
        }
        monoio::time::sleep(QUEUE_POLL_INTERVAL).await;
        for service in waiting {
            send_waiting(&scheduler, service);
        }
    }
}

/// Hands permits to waiting calls while targets have room.
fn send_waiting(scheduler: &Rc<RefCell<Scheduler>>, service: ServiceId) {
    loop {
        let next = scheduler.borrow_mut().dequeue(service, Instant::now());
        let Some((sender, admitted)) = next else { return };
        // The borrow above has ended by now: a permit that is not received is dropped here, and its
        // drop borrows the scheduler again.
        let _ = sender.send(Ok(Permit::new(scheduler, admitted)));
    }
}

impl Permit {
    fn new(scheduler: &Rc<RefCell<Scheduler>>, admitted: AdmittedCall) -> Self {
        Self { scheduler: scheduler.clone(), admitted, outcome: Outcome::Cancelled }
    }
}
