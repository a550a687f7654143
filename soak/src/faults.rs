//! The faults that a step injects.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::fixture::store::ResponseMode;
use crate::fixture::{wait_until, DEFAULT_SERVICE};
use crate::interval::Interval;
use crate::stops;

/// Probability that a new version of the configuration arrives while the store is out of service.
const OUTAGE_CHANGE_RATIO: f64 = 0.5;

/// Time without faults before and after the start of a drain. The bound on calls to a draining back
/// end holds only without other faults.
pub const CALM_BEFORE_DRAIN: Duration = Duration::from_millis(1500);
const CALM_AFTER_DRAIN: Duration = Duration::from_millis(3500);

/// Renewals of each registration that the store loses when it returns from a copy.
const LOST_RENEWALS: u32 = 3;

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
    StoreReturns,
    Drain,
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
    Fault::StoreReturns,
    Fault::Drain,
];

impl Deployment {
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
            Fault::StoreReturns => self.return_store(),
            Fault::Drain => self.drain(),
        }
        thread::sleep(Duration::from_millis(self.rng.random_range(50..600)));
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

    /// Lets the store return from a copy that lacks the newest records. All are written again, and a
    /// back end drains at an offset that the store had passed before.
    pub fn return_store(&mut self) {
        let copy = self.store.copy();
        self.change_keys("KeysLost");
        (0..LOST_RENEWALS).for_each(|_| self.renew_all());
        thread::sleep(Duration::from_millis(self.rng.random_range(1000..1500)));
        let from = Instant::now();
        self.store.return_from(&copy, || ());
        self.store_outages.push(Interval { from, to: Instant::now() });
        thread::sleep(Duration::from_millis(self.rng.random_range(100..700)));
        self.write_again();
        self.drain();
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
