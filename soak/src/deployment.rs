//! The deployment of gateways, back ends and a store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::call::Call;
use crate::fixture::back_end::BackEnd;
use crate::fixture::process::Gateway;
use crate::fixture::store::StandInStore;
use crate::fixture::{free_address, wait_until, DEFAULT_SERVICE};
use crate::interval::Interval;
use crate::key_book::{KeyBook, COLD_SERVICE};
use crate::trials::{Evacuation, Trial};

const GATEWAY_COUNT: usize = 4;
/// Number of back ends at the start; each drain adds one.
const BACK_END_COUNT: usize = 6;
/// Number of back ends of the service whose back ends stay cold, and their warm-up.
const COLD_BACK_END_COUNT: usize = 4;
const LONG_WARMUP: Duration = Duration::from_secs(60 * 60);
/// Zones of the gateways and back ends, in turn.
pub const ZONES: [&str; 2] = ["z1", "z2"];
/// A back end loses one response in this many.
const RESPONSE_LOSS_INTERVAL: usize = 40;

/// The processes under test, and the faults that were injected.
pub struct Deployment {
    pub rng: SmallRng,
    pub store: StandInStore,
    pub gateways: Vec<Gateway>,
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
        store.state_era(1);
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

    /// Restarts gateways that have exited and waits until all are ready.
    pub fn restore_gateways(&mut self) {
        for gateway in &mut self.gateways {
            if gateway.exit_success().is_some() {
                gateway.restart();
            }
        }
        wait_until("all gateways are ready", || self.gateways.iter().all(Gateway::is_ready));
    }

    /// Starts a back end and registers it; returns its index.
    pub fn add_back_end(&mut self, service: &str) -> usize {
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

    /// Writes the entries of all back ends in their current states.
    pub fn renew_all(&mut self) {
        for number in 0..self.back_ends.len() {
            let is_drained = self.drains.iter().any(|(drained, _)| *drained == number);
            self.register(number, if is_drained { "draining" } else { "ready" });
        }
    }

    /// Writes what the store holds now once more: the configuration, the evacuation and the entries.
    pub fn write_again(&mut self) {
        let config = self.keys.lock().expect("holders of the keys do not panic").config();
        self.store.put("keyed.op", "config", &config);
        if let Some(active) = self.evacuations.last().filter(|last| last.ended.is_none()) {
            self.store.put("keyed.op", &format!("evacuate/{}", active.zone), "{}");
        }
        self.renew_all();
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
}
