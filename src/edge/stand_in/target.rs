//! A target with slots, a queue, load reports, draining and fault injection.

use std::collections::{HashMap, HashSet, VecDeque};

use local_sync::oneshot;

use crate::prelude::*;
use crate::request::header;

const PROBE_PATH: &str = "/cornellink/probe";
/// Request header that sets the service time of a call, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "stand-in-service-us";

/// Request header that distinguishes the copies of a call with the same idempotency key.
pub const COPY_HEADER: &str = "stand-in-copy";

/// Faults of a target that a test changes at run time.
#[derive(Clone, Copy, Debug)]
pub struct TargetFaults {
    /// Responds with status 500 at once without running the call.
    pub failing: bool,
    /// Factor by which every service time is multiplied.
    pub slowdown: u32,
    /// Refuses new calls with the header that marks them as not run, and reports that it drains.
    pub draining: bool,
    /// Alternates between working and failing, with periods of this length.
    pub flapping: Option<Duration>,
    /// Delay of every call before it takes a slot, like the latency between failure domains.
    pub network_delay: Duration,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            failing: false,
            slowdown: 1,
            draining: false,
            flapping: None,
            network_delay: Duration::ZERO,
        }
    }
}

/// A target that occupies a slot for each call's service time.
pub struct StandInTarget {
    slots: usize,
    service_time: Duration,
    probe_duration: Duration,
    running: Cell<usize>,
    waiting: RefCell<VecDeque<WaitingCall>>,
    faults: Cell<TargetFaults>,
    runs: RefCell<HashMap<String, u32>>,
    copies: RefCell<HashSet<String>>,
    calls: Cell<u64>,
    probes: RefCell<Vec<Instant>>,
    started: Instant,
    last_arrivals: RefCell<HashMap<String, Instant>>,
    failed: Cell<u64>,
}

impl StandInTarget {
    /// Creates a target; `service_time` applies to calls without the header for it.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            slots,
            service_time,
            probe_duration: Duration::from_millis(6),
            running: Cell::new(0),
            waiting: RefCell::default(),
            faults: Cell::default(),
            runs: RefCell::default(),
            copies: RefCell::default(),
            calls: Cell::new(0),
            probes: RefCell::default(),
            started: Instant::now(),
            last_arrivals: RefCell::default(),
            failed: Cell::new(0),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
    }

    /// Number of runs by idempotency key.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.borrow().clone()
    }

    /// The values of [`COPY_HEADER`] of all calls that ran.
    pub fn copies(&self) -> HashSet<String> {
        self.copies.borrow().clone()
    }

    /// Number of calls that ran.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Number of calls that failed with status 500.
    pub fn failed_calls(&self) -> u64 {
        self.failed.get()
    }

    /// Time of the newest call from each entry, including refused calls.
    pub fn last_arrivals(&self) -> HashMap<String, Instant> {
        self.last_arrivals.borrow().clone()
    }

    /// Times of all probes so far.
    pub fn probes(&self) -> Vec<Instant> {
        self.probes.borrow().clone()
    }

    /// Handles one call or probe.
    pub async fn handle(self: Rc<Self>, call: Call) -> Answer {
        if call.uri.path() == PROBE_PATH {
            return self.probe().await;
        }
        let faults = self.faults.get();
        self.record_arrival(&call);
        if !faults.network_delay.is_zero() {
            monoio::time::sleep(faults.network_delay).await;
        }
        if faults.failing || self.is_flapped_down(faults) {
            self.failed.set(self.failed.get() + 1);
            return self.add_load_report(Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "failing"));
        }
        if faults.draining {
            let mut response = Answer::new(StatusCode::SERVICE_UNAVAILABLE, "draining");
            response.set_header(header::REFUSED, "draining");
            return self.add_load_report(response);
        }
        let requested = call.header(SERVICE_TIME_HEADER).and_then(|value| value.parse().ok());
        let service_time =
            requested.map_or(self.service_time, Duration::from_micros) * faults.slowdown;
        self.run(&call, service_time).await;
        self.add_load_report(echo(&call))
    }

    /// Records the arrival time by entry, whose name is the prefix of the call identifier.
    fn record_arrival(&self, call: &Call) {
        let id = call.header(header::CALL_ID).and_then(|id| id.rsplit_once('-'));
        if let Some((entry, _)) = id {
            self.last_arrivals.borrow_mut().insert(entry.into(), Instant::now());
        }
    }

    fn is_flapped_down(&self, faults: TargetFaults) -> bool {
        let Some(period) = faults.flapping else { return false };
        let periods = self.started.elapsed().as_millis() / period.as_millis().max(1);
        periods % 2 == 1
    }

    async fn run(&self, call: &Call, service_time: Duration) {
        let _slot = self.take_slot().await;
        self.calls.set(self.calls.get() + 1);
        if let Some(copy) = call.header(COPY_HEADER) {
            self.copies.borrow_mut().insert(copy.into());
        }
        if let Some(key) = call.header(header::IDEMPOTENCY_KEY) {
            *self.runs.borrow_mut().entry(key.into()).or_default() += 1;
        }
        // The runtime's timers take at least 1 ms, even for a sleep of zero.
        if !service_time.is_zero() {
            monoio::time::sleep(service_time).await;
        }
    }

    async fn probe(&self) -> Answer {
        self.probes.borrow_mut().push(Instant::now());
        let _slot = self.take_slot().await;
        monoio::time::sleep(self.probe_duration).await;
        // The slot of the probe itself is not reported.
        let body = serde_json::json!({
            "running": self.running.get() - 1,
            "queued": self.waiting.borrow().len(),
            "slots": self.slots,
            "draining": self.faults.get().draining,
        });
        self.add_load_report(Answer::new(StatusCode::OK, body.to_string()))
    }

    async fn take_slot(&self) -> Slot<'_> {
        if self.running.get() < self.slots {
            self.running.set(self.running.get() + 1);
            return Slot { target: self, held: Rc::new(Cell::new(true)) };
        }
        let (sender, receiver) = oneshot::channel();
        let slot = Slot { target: self, held: Rc::default() };
        self.waiting.borrow_mut().push_back(WaitingCall { held: slot.held.clone(), sender });
        // The call that ends hands its slot over to this one, so `running` does not change.
        let _ = receiver.await;
        slot
    }

    /// Adds the headers with the load and the drain signal.
    fn add_load_report(&self, mut response: Answer) -> Answer {
        let (running, queued) = (self.running.get(), self.waiting.borrow().len());
        let load = format!("running={running},queued={queued},slots={}", self.slots);
        response.set_header(header::LOAD, &load);
        if self.faults.get().draining {
            response.set_header(header::DRAINING, "1");
        }
        response
    }
}

/// A call that waits for a slot.
struct WaitingCall {
    /// Shared with the call's `Slot`.
    held: Rc<Cell<bool>>,
    sender: oneshot::Sender<()>,
}

struct Slot<'a> {
    target: &'a StandInTarget,
    /// Set when the slot is handed over, so that a call cancelled before it resumes releases it.
    held: Rc<Cell<bool>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !self.held.get() {
            return;
        }
        let mut waiting = self.target.waiting.borrow_mut();
        while let Some(WaitingCall { held, sender }) = waiting.pop_front() {
            if sender.send(()).is_ok() {
                held.set(true);
                return;
            }
        }
        self.target.running.set(self.target.running.get() - 1);
    }
}

/// A response that contains the method, path and body of the call, so that a caller can verify it.
fn echo(call: &Call) -> Answer {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut body = BytesMut::from(format!("{} {path} ", call.method).as_bytes());
    body.extend_from_slice(&call.body);
    Answer::new(StatusCode::OK, body.freeze())
}
