//! Callers that send calls over reused and new connections until they are stopped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::process::Caller;
use crate::fixture::{field, status};

const CALLER_COUNT: u64 = 6;
/// Part of the calls that reuse the connection of the caller's last call.
const REUSE_RATIO: f64 = 0.7;

/// A call and its result at the caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// Address of the gateway.
    pub gateway: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the response; `None` if the connection ended without one.
    pub status: Option<u16>,
    /// The gateway's result code, if the response has one.
    pub code: Option<String>,
    /// Whether the response carried the identifier of another call.
    pub misdirected: bool,
}

/// The callers' threads.
pub struct Callers {
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(seed: u64, gateways: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Self {
        let start = |number| {
            let (gateways, stop) = (gateways.clone(), stop.clone());
            thread::spawn(move || send_calls(seed, number, &gateways, &stop))
        };
        Self { threads: (0..CALLER_COUNT).map(start).collect() }
    }

    /// Waits for the callers to stop and returns all calls.
    pub fn join(self) -> Vec<Call> {
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

fn send_calls(seed: u64, number: u64, gateways: &[SocketAddr], stop: &AtomicBool) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed * 1000 + number);
    let mut calls = Vec::new();
    let mut idle: Option<(SocketAddr, Caller)> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.random_range(2..30)));
        let connection = idle.take().filter(|_| rng.random_bool(REUSE_RATIO));
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let Some((gateway, mut caller)) =
            connection.or_else(|| Some((gateway, Caller::connect(gateway)?)))
        else {
            continue;
        };
        let id = format!("s{seed}-c{number}-{}", calls.len());
        let sent = Instant::now();
        caller.send_request(&id);
        let response = caller.read_response();
        let head = response.as_ref().map(|(head, _)| head.as_str());
        calls.push(Call {
            gateway,
            sent,
            ended: Instant::now(),
            status: head.map(status),
            code: head.and_then(|head| field(head, "cornellink-code")).map(Into::into),
            misdirected: head
                .is_some_and(|head| field(head, "x-attempt-id").is_some_and(|named| named != id)),
            id,
        });
        let is_reusable = head.is_some_and(|head| field(head, "connection") != Some("close"));
        idle = is_reusable.then_some((gateway, caller));
    }
    calls
}
