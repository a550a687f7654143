//! The gateway: an entry whose routes and targets come from a directory.

pub mod admin;
pub mod apply;
pub mod back_off;
pub mod choice;
pub mod directory_health;
pub mod failure_tracker;
pub mod follower;
pub mod header_names;
pub mod load_sample;
pub mod overdue;
pub mod overload;
pub mod pace;
pub mod probe_budget;
pub mod probing;
pub mod registered_target;
pub mod registry;
pub mod reload;
pub mod retry_budget;
pub mod run;
pub mod search;
pub mod settings;
pub mod sharing;
pub mod typical_durations;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::directory_health::DirectoryHealth;
use self::header_names::HeaderNames;
use self::probe_budget::{ProbeBudget, RateLimit};
use self::registry::TargetRegistry;
use self::retry_budget::RetryBudget;
use self::settings::GatewaySettings;
use self::sharing::Sharing;
use self::typical_durations::TypicalDurations;
use super::metrics::Metrics;
use super::shutdown::Shutdown;
use crate::connection::limits::Limits;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::tasks::Tasks;
use crate::edge::directory::Change;
use crate::prelude::*;
use crate::version::route_table::RouteTable;

/// Most and fewest connections of one entry to one target.
const MAX_CONNECTIONS: u32 = 8;
const MIN_CONNECTIONS: u32 = 1;

/// State that the tasks of one gateway share.
pub struct Gateway {
    pub settings: RefCell<GatewaySettings>,
    pub header_names: HeaderNames,
    pub metrics: Metrics,
    pub registry: RefCell<TargetRegistry>,
    pub retries: RefCell<RetryBudget>,
    pub probe_budget: RefCell<ProbeBudget>,
    /// Usual durations of each route's calls.
    pub durations: RefCell<TypicalDurations>,
    pub shutdown: Rc<Shutdown>,
    pub limits: Rc<Cell<Limits>>,
    pub rng: RefCell<SmallRng>,
    /// Contact with the directory's feed of targets.
    pub directory_health: RefCell<DirectoryHealth>,
    /// Probes under way, which outlive the calls that asked for them.
    pub probes: Tasks,
    pub sharing: Sharing,
    /// The routes in force, as the directory holds them.
    pub routes: RefCell<Option<Change>>,
    /// Offsets from which each feed is read on; none if it must start with a snapshot.
    pub next_routes: Cell<Option<u64>>,
    pub next_targets: Cell<Option<u64>>,
    /// End of this entry's own last read of the targets that succeeded.
    pub read: Cell<Option<Instant>>,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Whether the roster was filled once.
    filled: Cell<bool>,
}

impl Gateway {
    /// Creates the state of a gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, header_names: HeaderNames) -> Self {
        let answers = Rc::new(MemoryBudget::new(settings.answers_memory()));
        let (ratio, slack) = (settings.retry_ratio, settings.retry_slack);
        let retries = RetryBudget::new(ratio, slack, settings.retry_window());
        Self {
            settings: RefCell::new(settings),
            header_names,
            metrics: Metrics::default(),
            registry: RefCell::new(TargetRegistry::new(MAX_CONNECTIONS, answers)),
            retries: RefCell::new(retries),
            probe_budget: RefCell::new(ProbeBudget::new(Instant::now())),
            durations: RefCell::default(),
            shutdown: Rc::default(),
            limits: Rc::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            directory_health: RefCell::default(),
            probes: Tasks::default(),
            sharing: Sharing::default(),
            routes: RefCell::default(),
            next_routes: Cell::default(),
            next_targets: Cell::default(),
            read: Cell::default(),
            table: RefCell::default(),
            filled: Cell::new(false),
        }
    }

    /// The routes in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts routes in force, unless newer ones are; returns whether they are in force now.
    pub fn set_table(&self, table: Rc<RouteTable>) -> bool {
        if self.table().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        table.scatter(&mut *self.rng.borrow_mut());
        let bounds = table.bounds;
        self.limits.set(Limits {
            head_bytes: bounds.head_bytes,
            head_timeout: bounds.head_time,
            body_bytes: bounds.body_bytes,
            idle_timeout: bounds.idle_time,
            ..self.limits.get()
        });
        self.metrics.set_gauge("cornellink_revision", table.version as f64);
        self.durations.borrow_mut().retain(|name| table.has_route(name));
        self.table.replace(Some(table));
        true
    }

    /// Takes note that the roster holds all targets of the directory.
    pub fn set_filled(&self) {
        self.filled.set(true);
    }

    /// Whether the roster has held all targets of the directory.
    pub fn is_filled(&self) -> bool {
        self.filled.get()
    }

    /// Whether the entry takes new callers.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && self.is_filled() && !self.shutdown.is_requested()
    }

    /// How many of `wanted` probes the budget allows, for the first round of a search or a further
    /// one.
    pub fn grant_probes(&self, wanted: usize, is_first: bool, now: Instant) -> usize {
        let rate = self.settings.borrow().probes;
        let (targets, entries) = (self.registry.borrow().len(), self.entries());
        let bound = RateLimit { rate, targets, entries };
        let mut budget = self.probe_budget.borrow_mut();
        let granted = match is_first {
            true => budget.take(wanted, bound, now),
            false => budget.take_spare(wanted, bound, now),
        };
        if granted == 0 {
            self.metrics.count("cornellink_probe_rounds_refused_total");
        }
        if let Some(tally) = budget.take_report(now) {
            log::info!(
                rounds = tally.rounds, wanted = tally.wanted, granted = tally.granted,
                refused = tally.refused, tokens = tally.tokens as u64, rate = tally.rate as u64,
                targets, entries;
                "probes granted"
            );
        }
        granted
    }

    /// Takes a repeat of a call to a service; false if the budget is spent.
    pub fn spend_repeat(&self, service: &Rc<str>, now: Instant) -> bool {
        self.retries.borrow_mut().take_retry(service, self.entries(), now)
    }

    /// This entry's part of the `connections` that a target takes from all entries.
    pub fn connection_limit(&self, connections: u32) -> u32 {
        (connections / self.entries()).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }

    /// Number of entries, as far as it is known.
    pub fn entries(&self) -> u32 {
        self.sharing.known_entries().unwrap_or(self.settings.borrow().max_entries).max(1)
    }

    /// A random share of a time, so that callers do not return together.
    pub fn spread(&self, span: Duration) -> Duration {
        span.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }
}
