//! Callers that send calls over reused and new connections until they are stopped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::call::Call;
use crate::fixture::process::Caller;
use crate::fixture::{request, DEADLINE, LASTING_KEY, SAFE_PREFIX};
use crate::key_book::{KeyBook, SMALL_KEY, WAITING_PREFIX, WAITING_TIMEOUT};

/// Part of the calls that reuse the connection of the caller's last call.
const REUSE_RATIO: f64 = 0.7;
/// Most calls that are sent ahead on one connection.
const MAX_PIPELINED_CALLS: usize = 8;

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    /// One call at a time, with the key that all versions hold.
    Lasting,
    /// One call at a time, with keys that come and go.
    Changing,
    /// As `Changing`, with calls that wait for a cold back end.
    Waiting,
    /// One call at a time, with the key of the workspace that has a quota.
    Small,
    /// Several safe calls ahead, with the key that all versions hold.
    Pipelined,
}

/// The kinds, with the number of callers of each.
const CALLER_COUNTS: [(CallerKind, u64); 5] = [
    (CallerKind::Lasting, 6),
    (CallerKind::Changing, 3),
    (CallerKind::Waiting, 24),
    (CallerKind::Small, 3),
    (CallerKind::Pipelined, 2),
];

/// The callers' threads.
pub struct Callers {
    threads: Vec<JoinHandle<Vec<Call>>>,
}

/// One caller, and what it shares with the others.
struct Sender {
    rng: SmallRng,
    kind: CallerKind,
    /// Begins the identifiers of the calls.
    name: String,
    gateways: Vec<SocketAddr>,
    keys: Arc<Mutex<KeyBook>>,
    calls: Vec<Call>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(
        seed: u64,
        gateways: &[SocketAddr],
        keys: &Arc<Mutex<KeyBook>>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let kinds =
            CALLER_COUNTS.into_iter().flat_map(|(kind, count)| (0..count).map(move |_| kind));
        let start = |(number, kind)| {
            let mut sender = Sender {
                rng: SmallRng::seed_from_u64(seed * 1000 + number),
                kind,
                name: format!("s{seed}-c{number}"),
                gateways: gateways.to_vec(),
                keys: keys.clone(),
                calls: Vec::new(),
            };
            let stop = stop.clone();
            thread::spawn(move || {
                sender.send_calls(&stop);
                sender.calls
            })
        };
        Self { threads: (0..).zip(kinds).map(start).collect() }
    }

    /// Waits for the callers to stop and returns all calls.
    pub fn join(self) -> Vec<Call> {
        let join = |thread: JoinHandle<_>| thread.join().expect("callers do not panic");
        self.threads.into_iter().flat_map(join).collect()
    }
}

impl Sender {
    fn send_calls(&mut self, stop: &AtomicBool) {
        let mut idle: Option<(SocketAddr, Caller)> = None;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(self.rng.random_range(2..30)));
            let connection = idle.take().filter(|_| self.rng.random_bool(REUSE_RATIO));
            let gateway = self.gateways[self.rng.random_range(0..self.gateways.len())];
            let Some((gateway, caller)) =
                connection.or_else(|| Some((gateway, Caller::connect(gateway)?)))
            else {
                continue;
            };
            idle = self.send_batch(gateway, caller);
        }
    }

    /// Sends one call, or several ahead, and reads the responses in the order of the calls. Returns
    /// the connection if it can carry further calls.
    fn send_batch(
        &mut self,
        gateway: SocketAddr,
        mut caller: Caller,
    ) -> Option<(SocketAddr, Caller)> {
        let deadline = match self.kind {
            CallerKind::Waiting => WAITING_TIMEOUT,
            CallerKind::Lasting
            | CallerKind::Changing
            | CallerKind::Small
            | CallerKind::Pipelined => DEADLINE,
        };
        let (path, count) = match self.kind {
            CallerKind::Pipelined => {
                let path = format!("{SAFE_PREFIX}x");
                (path, self.rng.random_range(2..=MAX_PIPELINED_CALLS))
            }
            CallerKind::Waiting => (format!("{WAITING_PREFIX}x"), 1),
            CallerKind::Lasting | CallerKind::Changing | CallerKind::Small => ("/a/x".into(), 1),
        };
        let key = match self.kind {
            CallerKind::Lasting | CallerKind::Pipelined => LASTING_KEY.into(),
            CallerKind::Changing | CallerKind::Waiting => {
                self.keys.lock().expect("holders of the keys do not panic").pick(&mut self.rng)
            }
            CallerKind::Small => SMALL_KEY.into(),
        };
        let first = self.calls.len();
        let ids: Vec<String> =
            (first..first + count).map(|number| format!("{}-{number}", self.name)).collect();
        let requests: Vec<String> =
            ids.iter().map(|id| request(&path, id, &key, deadline)).collect();
        let sent = Instant::now();
        caller.send(&requests.concat());
        let mut is_reusable = true;
        for id in ids {
            let (call, is_open) = Call::read(&mut caller, gateway, (&path, id, &key), sent);
            is_reusable &= is_open;
            self.calls.push(call);
        }
        is_reusable.then_some((gateway, caller))
    }
}
