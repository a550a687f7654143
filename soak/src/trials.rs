//! What a step starts besides a fault, and what goes on while later steps inject faults.

use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::deployment::{Deployment, ZONES};
use crate::fixture::arrival::sleep_until;
use crate::fixture::back_end::BackEnd;
use crate::fixture::DEFAULT_SERVICE;
use crate::interval::{stretched_end, Interval};

/// Time for which a zone is evacuated at least, longer than `EVACUATION_BOUND`.
const EVACUATION_HOLD: Duration = Duration::from_secs(7);
/// Later than this after the store has accepted an evacuation, nothing arrives in the zone. The same
/// time after its end, requests have returned.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Interval of the checks whether requests have returned.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A trial that a step starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// A zone is evacuated.
    Evacuation,
    /// A back end ends without notice and comes back cold.
    ColdReturn,
}

const ALL_TRIALS: [Trial; 2] = [Trial::Evacuation, Trial::ColdReturn];

/// An evacuation of a zone.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    pub zone: &'static str,
    pub accepted: Instant,
    /// When its end was sent to the store.
    pub ended: Option<Instant>,
}

impl Deployment {
    /// Changes the keys and starts a random trial; each kind comes equally often.
    pub fn start_trial(&mut self) {
        self.change_keys("Keys");
        if self.trials.is_empty() {
            self.trials = ALL_TRIALS.into();
        }
        let index = self.rng.random_range(0..self.trials.len());
        match self.trials.swap_remove(index) {
            Trial::Evacuation => self.evacuate(),
            Trial::ColdReturn => self.return_cold(),
        }
    }

    /// Gives the store a new version with other keys.
    pub fn change_keys(&mut self, name: &str) {
        self.count(name.into());
        let mut keys = self.keys.lock().expect("holders of the keys do not panic");
        keys.change(&mut self.rng, |config| self.store.put("keyed.op", "config", config));
    }

    /// Evacuates a zone, unless one is evacuated.
    fn evacuate(&mut self) {
        if self.evacuations.last().is_some_and(|evacuation| evacuation.ended.is_none()) {
            return;
        }
        self.count(format!("{:?}", Trial::Evacuation));
        // Requests have to return to a zone before it is evacuated again.
        let last = self.evacuations.last().map(|evacuation| evacuation.zone);
        let other = ZONES.into_iter().find(|zone| last.is_some_and(|last| last != *zone));
        let zone = other.unwrap_or(ZONES[self.rng.random_range(0..ZONES.len())]);
        self.store.put("keyed.op", &format!("evacuate/{zone}"), "{}");
        self.evacuations.push(Evacuation { zone, accepted: Instant::now(), ended: None });
    }

    /// Ends the evacuation if it has lasted long enough.
    pub fn end_due_evacuation(&mut self) {
        let active = self.evacuations.last_mut().filter(|evacuation| evacuation.ended.is_none());
        let Some(evacuation) = active else { return };
        if evacuation.accepted.elapsed() < EVACUATION_HOLD {
            return;
        }
        evacuation.ended = Some(Instant::now());
        self.store.put("keyed.op", &format!("evacuate/{}", evacuation.zone), "");
    }

    /// Takes a back end away for some time and lets it come back cold.
    fn return_cold(&mut self) {
        let ready: Vec<usize> =
            (0..self.back_ends.len()).filter(|number| self.is_ready(*number)).collect();
        let number = ready[self.rng.random_range(0..ready.len())];
        self.count(format!("{:?}", Trial::ColdReturn));
        let down = Instant::now();
        for (_, warmup) in self.cold_returns.iter_mut().filter(|(other, _)| *other == number) {
            warmup.to = warmup.to.min(down);
        }
        self.back_ends[number].go_down();
        thread::sleep(Duration::from_millis(self.rng.random_range(200..800)));
        let warmup = Duration::from_millis(self.rng.random_range(3000..7000));
        self.warm_up(number, warmup);
    }

    /// Lets a back end accept requests and be cold for some time.
    pub fn warm_up(&mut self, number: usize, warmup: Duration) {
        let from = Instant::now();
        let to = from + warmup;
        self.back_ends[number].return_cold(to);
        self.register(number, "ready");
        self.cold_returns.push((number, Interval { from, to }));
    }

    /// Waits for the end of the evacuation and then for requests in all zones, at most for the bound.
    pub fn finish_trials(&mut self) {
        let Some(last) = self.evacuations.last() else { return };
        if last.ended.is_none() {
            sleep_until(last.accepted + EVACUATION_HOLD);
            self.end_due_evacuation();
        }
        while self.evacuations.iter().any(|evacuation| {
            !self.has_returned(evacuation) && Instant::now() < self.return_end(evacuation)
        }) {
            thread::sleep(RETURN_CHECK_INTERVAL);
        }
    }

    /// Whether requests have reached the zone after its evacuation.
    pub fn has_returned(&self, evacuation: &Evacuation) -> bool {
        let Some(ended) = evacuation.ended else { return false };
        let end = self.return_end(evacuation);
        let is_used = |back_end: &&BackEnd| {
            back_end.zone == evacuation.zone && back_end.service == DEFAULT_SERVICE
        };
        let in_zone = self.back_ends.iter().filter(is_used);
        in_zone.flat_map(|back_end| back_end.runs()).any(|run| run.at > ended && run.at <= end)
    }

    /// When requests have to have returned.
    fn return_end(&self, evacuation: &Evacuation) -> Instant {
        let ended = evacuation.ended.unwrap_or_else(Instant::now);
        stretched_end(ended, EVACUATION_BOUND, &self.store_outages)
    }
}
