//! The deployment and the faults that are injected into it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::Call;
use crate::fixture::back_end::BackEnd;
use crate::fixture::process::Gateway;
use crate::fixture::store::{ResponseMode, StandInStore};
use crate::fixture::{config, free_address, wait_until};
use crate::stops;

const GATEWAY_COUNT: usize = 4;
/// Number of back ends at the start; each drain adds one.
const BACK_END_COUNT: usize = 5;

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
    Change,
}

const ALL_FAULTS: [Fault; 10] = [
    Fault::Terminate,
    Fault::Stop,
    Fault::Kill,
    Fault::Pause,
    Fault::Hangup,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::Forget,
    Fault::Drain,
    Fault::Change,
];

/// An interval during which a gateway or the store was out of service.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    pub from: Instant,
    pub to: Instant,
}

impl Interval {
    /// Whether the interval overlaps the one from `from` to `to`.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// The processes under test, and the faults that were injected.
pub struct Deployment {
    rng: SmallRng,
    store: StandInStore,
    gateways: Vec<Gateway>,
    pub back_ends: Vec<BackEnd>,
    version: u64,
    /// Kills and pauses of gateways, with the gateway's address.
    pub gateway_outages: Vec<(SocketAddr, Interval)>,
    /// Intervals in which the store did not serve.
    pub store_outages: Vec<Interval>,
    /// Indexes of the draining back ends, with the start of each drain.
    pub drains: Vec<(usize, Instant)>,
    /// Calls to gateways during their planned stops.
    pub calls: Vec<Call>,
    counts: BTreeMap<Fault, u32>,
}

impl Deployment {
    /// Starts a deployment and waits until it serves.
    pub fn start(seed: u64) -> Self {
        let store = StandInStore::start();
        store.put("keyed.op", "config", &config(1, 2000));
        let mut deployment = Self {
            rng: SmallRng::seed_from_u64(seed),
            store,
            gateways: Vec::new(),
            back_ends: Vec::new(),
            version: 1,
            gateway_outages: Vec::new(),
            store_outages: Vec::new(),
            drains: Vec::new(),
            calls: Vec::new(),
            counts: BTreeMap::new(),
        };
        for _ in 0..BACK_END_COUNT {
            deployment.add_back_end();
        }
        let share_addresses: Vec<SocketAddr> = (0..GATEWAY_COUNT).map(|_| free_address()).collect();
        for (number, share) in share_addresses.iter().enumerate() {
            let name = format!("soak-{seed}-{number}");
            let gateway =
                Gateway::start_at(&name, *share, &deployment.store, &share_addresses[..2]);
            deployment.gateways.push(gateway);
        }
        deployment.restore_gateways();
        deployment
    }

    /// The addresses at which the gateways accept callers.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.listen).collect()
    }

    /// The injected faults, with the count of each.
    pub fn fault_summary(&self) -> String {
        let counts = self.counts.iter().map(|(fault, count)| format!("{fault:?} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Injects one random fault.
    pub fn inject_fault(&mut self) {
        let fault = ALL_FAULTS[self.rng.random_range(0..ALL_FAULTS.len())];
        *self.counts.entry(fault).or_default() += 1;
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
            Fault::Change => {
                self.version += 1;
                self.store.put("keyed.op", "config", &config(self.version, 2000));
            }
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

    fn add_back_end(&mut self) {
        let service_time = Duration::from_millis(self.rng.random_range(5..60));
        let id = format!("i-{}", self.back_ends.len());
        let back_end = BackEnd::start_lossy(&id, service_time, RESPONSE_LOSS_INTERVAL);
        self.store.put("keyed.servers", &back_end.id, &back_end.registration("ready", 1));
        self.back_ends.push(back_end);
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
        thread::sleep(duration);
        self.store.set_response_mode(ResponseMode::Normal);
        self.store_outages.push(Interval { from, to: Instant::now() });
    }

    /// Registers another back end and drains one that does not drain yet.
    fn drain(&mut self) {
        self.add_back_end();
        let draining: Vec<usize> = self.drains.iter().map(|(number, _)| *number).collect();
        let candidate = (0..self.back_ends.len() - 1).find(|number| !draining.contains(number));
        let Some(number) = candidate else { return };
        let back_end = &self.back_ends[number];
        thread::sleep(CALM_BEFORE_DRAIN);
        self.store.put("keyed.servers", &back_end.id, &back_end.registration("draining", 2));
        self.drains.push((number, Instant::now()));
        thread::sleep(CALM_AFTER_DRAIN);
    }
}
