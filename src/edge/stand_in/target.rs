//! A target with slots, a queue, load reports, draining and faults.

use std::collections::{HashMap, HashSet, VecDeque};

use local_sync::oneshot;

use crate::prelude::*;
use crate::request::header;

/// Path of the probe.
const PROBE_PATH: &str = "/cornellink/probe";
/// Header in which a test names the service time in microseconds.
pub const SERVICE_TIME: &str = "stand-in-service-us";

/// Header that tells the copies of a call with one key apart.
pub const COPY: &str = "stand-in-copy";

/// Behaviour of a target that a test changes at run time.
#[derive(Clone, Copy, Debug)]
pub struct TargetFaults {
    /// Answers 500 at once without running the call.
    pub failing: bool,
    /// Factor on every service time.
    pub slowdown: u32,
    /// Refuses new calls by contract and says that it drains.
    pub draining: bool,
    /// Fails in every second period of this length.
    pub flapping: Option<Duration>,
    /// Time added to every call outside its slot, as between failure domains.
    pub distance: Duration,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            failing: false,
            slowdown: 1,
            draining: false,
            flapping: None,
            distance: Duration::ZERO,
        }
    }
}

/// A target that sleeps for each call's service time while it holds one of its slots.
pub struct StandInTarget {
    slots: usize,
    service_time: Duration,
    probe_time: Duration,
    running: Cell<usize>,
    waiting: RefCell<VecDeque<Waiting>>,
    faults: Cell<TargetFaults>,
    runs: RefCell<HashMap<String, u32>>,
    copies: RefCell<HashSet<String>>,
    calls: Cell<u64>,
    probes: RefCell<Vec<Instant>>,
    started: Instant,
    arrivals: RefCell<HashMap<String, Instant>>,
    failed: Cell<u64>,
}

impl StandInTarget {
    /// Creates a target; `service_time` applies to calls that name none.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            slots,
            service_time,
            probe_time: Duration::from_millis(6),
            running: Cell::new(0),
            waiting: RefCell::default(),
            faults: Cell::default(),
            runs: RefCell::default(),
            copies: RefCell::default(),
            calls: Cell::new(0),
            probes: RefCell::default(),
            started: Instant::now(),
            arrivals: RefCell::default(),
            failed: Cell::new(0),
        }
    }

    /// Changes the behaviour.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
    }

    /// How many times each idempotency key ran.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.borrow().clone()
    }

    /// The copies of keyed calls that ran.
    pub fn copies(&self) -> HashSet<String> {
        self.copies.borrow().clone()
    }

    /// Number of calls that ran.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Number of calls that were answered with an error.
    pub fn failed(&self) -> u64 {
        self.failed.get()
    }

    /// Time of the newest call from each entry, also of refused ones.
    pub fn arrivals(&self) -> HashMap<String, Instant> {
        self.arrivals.borrow().clone()
    }

    /// Times of all probes so far.
    pub fn probes(&self) -> Vec<Instant> {
        self.probes.borrow().clone()
    }

    /// Answers one call.
    pub async fn handle(self: Rc<Self>, call: Call) -> Answer {
        if call.uri.path() == PROBE_PATH {
            return self.probe().await;
        }
        let faults = self.faults.get();
        self.note_arrival(&call);
        if !faults.distance.is_zero() {
            monoio::time::sleep(faults.distance).await;
        }
        if faults.failing || self.is_down(faults) {
            self.failed.set(self.failed.get() + 1);
            return self.report(Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "failing"));
        }
        if faults.draining {
            let mut answer = Answer::new(StatusCode::SERVICE_UNAVAILABLE, "draining");
            answer.set(header::REFUSED, "draining");
            return self.report(answer);
        }
        let named = call.header(SERVICE_TIME).and_then(|value| value.parse().ok());
        let time = named.map_or(self.service_time, Duration::from_micros) * faults.slowdown;
        self.run(&call, time).await;
        self.report(echo(&call))
    }

    /// Call identifiers start with the entry's name.
    fn note_arrival(&self, call: &Call) {
        let id = call.header(header::CALL_ID).and_then(|id| id.rsplit_once('-'));
        if let Some((entry, _)) = id {
            self.arrivals.borrow_mut().insert(entry.into(), Instant::now());
        }
    }

    fn is_down(&self, faults: TargetFaults) -> bool {
        let Some(period) = faults.flapping else { return false };
        let periods = self.started.elapsed().as_millis() / period.as_millis().max(1);
        periods % 2 == 1
    }

    async fn run(&self, call: &Call, time: Duration) {
        let _slot = self.take_slot().await;
        self.calls.set(self.calls.get() + 1);
        if let Some(copy) = call.header(COPY) {
            self.copies.borrow_mut().insert(copy.into());
        }
        if let Some(key) = call.header(header::IDEMPOTENCY_KEY) {
            *self.runs.borrow_mut().entry(key.into()).or_default() += 1;
        }
        // The runtime's timers take at least a millisecond.
        if !time.is_zero() {
            monoio::time::sleep(time).await;
        }
    }

    async fn probe(&self) -> Answer {
        self.probes.borrow_mut().push(Instant::now());
        let _slot = self.take_slot().await;
        monoio::time::sleep(self.probe_time).await;
        let body = serde_json::json!({
            "running": self.running.get() - 1,
            "queued": self.waiting.borrow().len(),
            "slots": self.slots,
            "draining": self.faults.get().draining,
        });
        self.report(Answer::new(StatusCode::OK, body.to_string()))
    }

    async fn take_slot(&self) -> Slot<'_> {
        if self.running.get() < self.slots {
            self.running.set(self.running.get() + 1);
            return Slot { target: self, held: Rc::new(Cell::new(true)) };
        }
        let (sender, receiver) = oneshot::channel();
        let slot = Slot { target: self, held: Rc::default() };
        self.waiting.borrow_mut().push_back(Waiting { held: slot.held.clone(), sender });
        // The slot passes from the call that ends to this one, so the count stays.
        let _ = receiver.await;
        slot
    }

    fn report(&self, mut answer: Answer) -> Answer {
        let (running, queued) = (self.running.get(), self.waiting.borrow().len());
        let load = format!("running={running},queued={queued},slots={}", self.slots);
        answer.set(header::LOAD, &load);
        if self.faults.get().draining {
            answer.set(header::DRAINING, "1");
        }
        answer
    }
}

/// A call that waits for a slot.
struct Waiting {
    held: Rc<Cell<bool>>,
    sender: oneshot::Sender<()>,
}

struct Slot<'a> {
    target: &'a StandInTarget,
    /// Set when the slot is passed on, also to a call that is cancelled before it notices.
    held: Rc<Cell<bool>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !self.held.get() {
            return;
        }
        let mut waiting = self.target.waiting.borrow_mut();
        while let Some(Waiting { held, sender }) = waiting.pop_front() {
            if sender.send(()).is_ok() {
                held.set(true);
                return;
            }
        }
        self.target.running.set(self.target.running.get() - 1);
    }
}

/// An answer that a caller can check against its own call.
fn echo(call: &Call) -> Answer {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut body = BytesMut::from(format!("{} {path} ", call.method).as_bytes());
    body.extend_from_slice(&call.body);
    Answer::new(StatusCode::OK, body.freeze())
}
