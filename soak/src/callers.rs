//! Callers that send calls over kept and new connections until they are told to stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::process::Caller;
use crate::fixture::{field, status};

/// Number of callers.
const CALLERS: u64 = 6;
/// Part of the calls that go over a connection kept from the last one.
const KEPT_PART: f64 = 0.7;

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub front: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the answer; none if the connection ended without one.
    pub status: Option<u16>,
    /// The entry's own result code, if it gave one.
    pub code: Option<String>,
    /// Whether the answer named another call.
    pub foreign: bool,
}

/// The callers' threads.
pub struct Callers {
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(seed: u64, fronts: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Self {
        let start = |number| {
            let (fronts, stop) = (fronts.clone(), stop.clone());
            thread::spawn(move || call_until(seed, number, &fronts, &stop))
        };
        Self { threads: (0..CALLERS).map(start).collect() }
    }

    /// All calls, once the callers have stopped.
    pub fn join(self) -> Vec<Call> {
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

fn call_until(seed: u64, number: u64, fronts: &[SocketAddr], stop: &AtomicBool) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed * 1000 + number);
    let mut calls = Vec::new();
    let mut kept: Option<(SocketAddr, Caller)> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.random_range(2..30)));
        let connection = kept.take().filter(|_| rng.random_bool(KEPT_PART));
        let front = fronts[rng.random_range(0..fronts.len())];
        let Some((front, mut caller)) =
            connection.or_else(|| Some((front, Caller::connect(front)?)))
        else {
            continue;
        };
        let id = format!("s{seed}-c{number}-{}", calls.len());
        let sent = Instant::now();
        caller.request(&id);
        let answer = caller.answer();
        let head = answer.as_ref().map(|(head, _)| head.as_str());
        calls.push(Call {
            front,
            sent,
            ended: Instant::now(),
            status: head.map(status),
            code: head.and_then(|head| field(head, "cornellink-code")).map(Into::into),
            foreign: head
                .is_some_and(|head| field(head, "x-attempt-id").is_some_and(|named| named != id)),
            id,
        });
        let stays = head.is_some_and(|head| field(head, "connection") != Some("close"));
        kept = stays.then_some((front, caller));
    }
    calls
}
