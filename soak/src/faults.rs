//! The deployment and the faults that are played against it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::back_end::BackEnd;
use crate::fixture::process::Gateway;
use crate::fixture::store::{Mode, StandInStore};
use crate::fixture::{config, free_address, until};

/// Gateways and back ends at the start.
const GATEWAYS: usize = 4;
const BACK_ENDS: usize = 5;

/// Every answer of this number is lost.
const LOST_ANSWER: usize = 40;

/// Calm times around a drain, so that its bound holds.
pub const CALM_BEFORE: Duration = Duration::from_millis(1500);
const CALM_AFTER: Duration = Duration::from_millis(3500);

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Terminate,
    Kill,
    Pause,
    Hangup,
    StoreBusy,
    StoreSilent,
    Forget,
    Drain,
    Change,
}

const FAULTS: [Fault; 9] = [
    Fault::Terminate,
    Fault::Kill,
    Fault::Pause,
    Fault::Hangup,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::Forget,
    Fault::Drain,
    Fault::Change,
];

/// A span in which something was out of order.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: Instant,
    pub to: Instant,
}

impl Span {
    /// Whether the span and another one share a moment.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// The deployment, and what was done to it.
pub struct Stage {
    rng: SmallRng,
    store: StandInStore,
    gateways: Vec<Gateway>,
    pub back_ends: Vec<BackEnd>,
    version: u64,
    /// Kills and pauses, by the gateway's address.
    pub disturbed: Vec<(SocketAddr, Span)>,
    /// Times in which the store did not serve.
    pub away: Vec<Span>,
    /// Back ends that drain, and since when.
    pub drained: Vec<(usize, Instant)>,
    told: BTreeMap<Fault, u32>,
}

impl Stage {
    /// Starts a deployment and waits until it serves.
    pub fn start(seed: u64) -> Self {
        let store = StandInStore::start();
        store.put("keyed.op", "config", &config(1, 2000));
        let mut stage = Self {
            rng: SmallRng::seed_from_u64(seed),
            store,
            gateways: Vec::new(),
            back_ends: Vec::new(),
            version: 1,
            disturbed: Vec::new(),
            away: Vec::new(),
            drained: Vec::new(),
            told: BTreeMap::new(),
        };
        for _ in 0..BACK_ENDS {
            stage.add_back_end();
        }
        let shares: Vec<SocketAddr> = (0..GATEWAYS).map(|_| free_address()).collect();
        for (number, share) in shares.iter().enumerate() {
            let name = format!("soak-{seed}-{number}");
            let gateway = Gateway::start_at(&name, *share, &stage.store, &shares[..2]);
            stage.gateways.push(gateway);
        }
        stage.settle();
        stage
    }

    /// The addresses for callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.listen).collect()
    }

    /// The faults that were played.
    pub fn told(&self) -> String {
        let told = self.told.iter().map(|(fault, count)| format!("{fault:?} {count}"));
        told.collect::<Vec<_>>().join(", ")
    }

    /// Plays one fault.
    pub fn step(&mut self) {
        let fault = FAULTS[self.rng.random_range(0..FAULTS.len())];
        *self.told.entry(fault).or_default() += 1;
        let span = Duration::from_millis(self.rng.random_range(100..900));
        let number = self.rng.random_range(0..self.gateways.len());
        match fault {
            Fault::Terminate => self.terminate(number),
            Fault::Kill => self.disturb(number, "KILL", span),
            Fault::Pause => self.disturb(number, "STOP", span),
            Fault::Hangup => self.gateways[number].signal("HUP"),
            Fault::StoreBusy => self.withdraw(Mode::Busy, span * 2),
            Fault::StoreSilent => self.withdraw(Mode::Silent, span * 2),
            Fault::Forget => self.store.forget_all(),
            Fault::Drain => self.drain(),
            Fault::Change => {
                self.version += 1;
                self.store.put("keyed.op", "config", &config(self.version, 2000));
            }
        }
        thread::sleep(Duration::from_millis(self.rng.random_range(50..600)));
    }

    /// Waits until all gateways are ready.
    pub fn settle(&mut self) {
        for gateway in &mut self.gateways {
            if gateway.ended().is_some() {
                gateway.restart();
            }
        }
        until("all gateways are ready", || self.gateways.iter().all(Gateway::is_ready));
    }

    fn add_back_end(&mut self) {
        let work = Duration::from_millis(self.rng.random_range(5..60));
        let id = format!("i-{}", self.back_ends.len());
        let back_end = BackEnd::start_lossy(&id, work, LOST_ANSWER);
        self.store.put("keyed.servers", &back_end.id, &back_end.entry("ready", 1));
        self.back_ends.push(back_end);
    }

    /// Ends a gateway as planned, and starts it again.
    fn terminate(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.signal("TERM");
        until("the gateway ends", || gateway.ended().is_some());
        gateway.restart();
    }

    /// Kills or pauses a gateway for some time.
    fn disturb(&mut self, number: usize, signal: &str, span: Duration) {
        let from = Instant::now();
        let gateway = &mut self.gateways[number];
        gateway.signal(signal);
        thread::sleep(span);
        match signal {
            "STOP" => gateway.signal("CONT"),
            _ => gateway.restart(),
        }
        self.disturbed.push((gateway.listen, Span { from, to: Instant::now() }));
    }

    fn withdraw(&mut self, mode: Mode, span: Duration) {
        let from = Instant::now();
        self.store.set_mode(mode);
        thread::sleep(span);
        self.store.set_mode(Mode::Up);
        self.away.push(Span { from, to: Instant::now() });
    }

    /// Lets a back end drain and registers another one.
    fn drain(&mut self) {
        self.add_back_end();
        let drained: Vec<usize> = self.drained.iter().map(|(number, _)| *number).collect();
        let left = (0..self.back_ends.len() - 1).find(|number| !drained.contains(number));
        let Some(number) = left else { return };
        let back_end = &self.back_ends[number];
        thread::sleep(CALM_BEFORE);
        self.store.put("keyed.servers", &back_end.id, &back_end.entry("draining", 2));
        self.drained.push((number, Instant::now()));
        thread::sleep(CALM_AFTER);
    }
}
