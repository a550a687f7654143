//! The deployment and the faults that are injected into it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::call::Call;
use crate::fixture::back_end::BackEnd;
use crate::fixture::process::Gateway;
use crate::fixture::store::{ResponseMode, StandInStore};
use crate::fixture::{free_address, wait_until, DEFAULT_SERVICE};
use crate::interval::Interval;
use crate::key_book::{KeyBook, COLD_SERVICE};
use crate::stops;
use crate::trials::{Evacuation, Trial};

const GATEWAY_COUNT: usize = 4;
/// Number of back ends at the start; each drain adds one.
const BACK_END_COUNT: usize = 6;
/// Number of back ends of the service whose back ends stay cold, and their warm-up.
const COLD_BACK_END_COUNT: usize = 4;
const LONG_WARMUP: Duration = Duration::from_secs(60 * 60);
/// Zones of the gateways and back ends, in turn.
pub const ZONES: [&str; 2] = ["z1", "z2"];
/// Probability that a new version of the configuration arrives while the store is out of service.
const OUTAGE_CHANGE_RATIO: f64 = 0.5;

/// A back end loses one response in this many.
const RESPONSE_LOSS_INTERVAL: usize = 40;

/// Time without faults before and after the start of a drain. The bound on calls to a draining back
/// end holds only without other faults.
pub const CALM_BEFORE_DRAIN: Duration = Duration::from_millis(1500);
const CALM_AFTER_DRAIN: Duration = Duration::from_millis(3500);

/// A fault that a step injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Terminate,
    Stop,
    Kill,
    Pause,
    Hangup,
    StoreBusy,
    StoreSilent,
    Forget,
    Drain,
}

const ALL_FAULTS: [Fault; 9] = [
    Fault::Terminate,
    Fault::Stop,
    Fault::Kill,
    Fault::Pause,
    Fault::Hangup,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::Forget,
    Fault::Drain,
];

/// The processes under test, and the faults that were injected.
pub struct Deployment {
    pub rng: SmallRng,
    pub store: StandInStore,
    gateways: Vec<Gateway>,
    pub back_ends: Vec<BackEnd>,
    /// Number of the newest registration.
    sequence: u64,
    pub keys: Arc<Mutex<KeyBook>>,
    /// Trials that are still to be started before all have been started equally often.
    pub trials: Vec<Trial>,
    /// The evacuations, oldest first.
    pub evacuations: Vec<Evacuation>,
    /// Indexes of the back ends that came back cold, with their warm-ups.
    pub cold_returns: Vec<(usize, Interval)>,
    /// Kills and pauses of gateways, with the gateway's address.
    pub gateway_outages: Vec<(SocketAddr, Interval)>,
    /// Intervals in which the store did not serve.
    pub store_outages: Vec<Interval>,
    /// Indexes of the draining back ends, with the start of each drain.
    pub drains: Vec<(usize, Instant)>,
    /// Calls to gateways during their planned stops.
    pub calls: Vec<Call>,
    /// Faults and trials, with the number of steps that had them.
    pub counts: BTreeMap<String, u32>,
}

impl Deployment {
    /// Starts a deployment and waits until it serves.
    pub fn start(seed: u64) -> Self {
        let store = StandInStore::start();
        let keys = KeyBook::new();
        store.put("keyed.op", "config", &keys.config());
        let mut deployment = Self {
            rng: SmallRng::seed_from_u64(seed),
            store,
            gateways: Vec::new(),
            back_ends: Vec::new(),
            sequence: 0,
            keys: Arc::new(Mutex::new(keys)),
            trials: Vec::new(),
            evacuations: Vec::new(),
            cold_returns: Vec::new(),
            gateway_outages: Vec::new(),
            store_outages: Vec::new(),
            drains: Vec::new(),
            calls: Vec::new(),
            counts: BTreeMap::new(),
        };
        for _ in 0..COLD_BACK_END_COUNT {
            let number = deployment.add_back_end(COLD_SERVICE);
            deployment.warm_up(number, LONG_WARMUP);
        }
        for _ in 0..BACK_END_COUNT {
            deployment.add_back_end(DEFAULT_SERVICE);
        }
        let share_addresses: Vec<SocketAddr> = (0..GATEWAY_COUNT).map(|_| free_address()).collect();
        for (number, share) in share_addresses.iter().enumerate() {
            let name = format!("soak-{seed}-{number}");
            let zone = ZONES[number % ZONES.len()];
            let gateway =
                Gateway::start_at(&name, zone, *share, &deployment.store, &share_addresses[..2]);
            deployment.gateways.push(gateway);
        }
        deployment.restore_gateways();
        deployment
    }

    /// The addresses at which the gateways accept callers.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.listen).collect()
    }

    /// The injected faults and the trials, with the count of each.
    pub fn fault_summary(&self) -> String {
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Starts a trial and injects one random fault while it runs.
    pub fn play_step(&mut self) {
        self.start_trial();
        self.inject_fault();
        self.end_due_evacuation();
    }

    fn inject_fault(&mut self) {
        let fault = ALL_FAULTS[self.rng.random_range(0..ALL_FAULTS.len())];
        self.count(format!("{fault:?}"));
        let duration = Duration::from_millis(self.rng.random_range(100..900));
        let number = self.rng.random_range(0..self.gateways.len());
        match fault {
            Fault::Terminate => self.terminate(number),
            Fault::Stop => self.stop_in_stages(),
            Fault::Kill => self.interrupt_gateway(number, "KILL", duration),
            Fault::Pause => self.interrupt_gateway(number, "STOP", duration),
            Fault::Hangup => self.gateways[number].signal("HUP"),
            Fault::StoreBusy => self.interrupt_store(ResponseMode::Unavailable, duration * 2),
            Fault::StoreSilent => self.interrupt_store(ResponseMode::Hang, duration * 2),
            Fault::Forget => self.store.drop_history(),
            Fault::Drain => self.drain(),
        }
        thread::sleep(Duration::from_millis(self.rng.random_range(50..600)));
    }

    /// Restarts gateways that have exited and waits until all are ready.
    pub fn restore_gateways(&mut self) {
        for gateway in &mut self.gateways {
            if gateway.exit_success().is_some() {
                gateway.restart();
            }
        }
        wait_until("all gateways are ready", || self.gateways.iter().all(Gateway::is_ready));
    }

    fn add_back_end(&mut self, service: &str) -> usize {
        let service_time = Duration::from_millis(self.rng.random_range(5..60));
        let number = self.back_ends.len();
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
        let mut back_end = BackEnd::start_lossy(&id, zone, service_time, RESPONSE_LOSS_INTERVAL);
        back_end.service = service.into();
        self.back_ends.push(back_end);
        self.register(number, "ready");
        number
    }

    /// Writes a back end's entry to the store.
    pub fn register(&mut self, number: usize, state: &str) {
        self.sequence += 1;
        let back_end = &self.back_ends[number];
        let entry = back_end.registration(state, self.sequence);
        self.store.put("keyed.servers", &back_end.id, &entry);
    }

    /// Whether a back end of the default service has not been drained.
    pub fn is_ready(&self, number: usize) -> bool {
        self.back_ends[number].service == DEFAULT_SERVICE
            && !self.drains.iter().any(|(drained, _)| *drained == number)
    }

    /// Counts a fault or trial.
    pub fn count(&mut self, name: String) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Shuts a gateway down with SIGTERM and starts it again.
    fn terminate(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.signal("TERM");
        wait_until("the gateway ends", || gateway.exit_success().is_some());
        gateway.restart();
    }

    /// Stops two gateways one after the other, or at overlapping times, while requests reach them in
    /// each stage of the stop.
    pub fn stop_in_stages(&mut self) {
        let first = self.rng.random_range(0..self.gateways.len());
        let second = (first + 1) % self.gateways.len();
        let gap = Duration::from_millis(self.rng.random_range(0..4000));
        let name = format!("stop-{}", self.calls.len());
        let calls = thread::scope(|scope| {
            let (one, two) = (&self.gateways[first], &self.gateways[second]);
            let [mut rng, mut other] = [(); 2].map(|()| SmallRng::from_rng(&mut self.rng));
            let stopping = scope.spawn({
                let name = format!("{name}-a");
                move || stops::stop(one, &name, &mut rng)
            });
            thread::sleep(gap);
            let mut calls = stops::stop(two, &format!("{name}-b"), &mut other);
            calls.extend(stopping.join().expect("stops do not panic"));
            calls
        });
        self.calls.extend(calls);
        for number in [first, second] {
            let gateway = &mut self.gateways[number];
            wait_until("the gateway ends", || gateway.exit_success().is_some());
            gateway.restart();
        }
    }

    /// Kills or pauses a gateway for some time.
    fn interrupt_gateway(&mut self, number: usize, signal: &str, duration: Duration) {
        let from = Instant::now();
        let gateway = &mut self.gateways[number];
        gateway.signal(signal);
        thread::sleep(duration);
        match signal {
            "STOP" => gateway.signal("CONT"),
            _ => gateway.restart(),
        }
        self.gateway_outages.push((gateway.listen, Interval { from, to: Instant::now() }));
    }

    /// Lets the store refuse calls or not respond for some time.
    fn interrupt_store(&mut self, mode: ResponseMode, duration: Duration) {
        let from = Instant::now();
        self.store.set_response_mode(mode);
        thread::sleep(duration / 2);
        if self.rng.random_bool(OUTAGE_CHANGE_RATIO) {
            self.change_keys("KeysInOutage");
        }
        thread::sleep(duration / 2);
        self.store.set_response_mode(ResponseMode::Normal);
        self.store_outages.push(Interval { from, to: Instant::now() });
    }

    /// Registers another back end and drains one that does not drain yet.
    fn drain(&mut self) {
        self.add_back_end(DEFAULT_SERVICE);
        let candidate = (0..self.back_ends.len() - 1).find(|number| self.is_ready(*number));
        let Some(number) = candidate else { return };
        thread::sleep(CALM_BEFORE_DRAIN);
        self.register(number, "draining");
        self.drains.push((number, Instant::now()));
        thread::sleep(CALM_AFTER_DRAIN);
    }
}
