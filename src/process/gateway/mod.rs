//! The gateway: an entry whose routes and targets come from a directory.

pub mod admin;
pub mod apply;
pub mod apply_evacuations;
pub mod availability;
pub mod back_off;
pub mod choice;
pub mod cold_share;
pub mod cold_targets;
pub mod directory_health;
pub mod evacuation_effect;
pub mod evacuation_ramp;
pub mod evacuation_record;
pub mod evacuations;
pub mod failure_tracker;
pub mod follower;
pub mod header_names;
pub mod hedged_read;
mod history;
pub mod load_sample;
pub mod locality;
pub mod moving_mean;
pub mod notices;
pub mod overload;
pub mod probe_budget;
pub mod probing;
pub mod quota;
pub mod read_timing;
pub mod registered_target;
pub mod registry;
pub mod reload;
pub mod removed_targets;
pub mod response_notice;
pub mod retry_budget;
pub mod routes_read;
pub mod run;
pub mod search;
pub mod settings;
pub mod sharing;
pub mod typical_durations;
pub mod warmup;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::directory_health::DirectoryHealth;
use self::evacuations::Evacuations;
use self::header_names::HeaderNames;
use self::moving_mean::MovingMeans;
use self::probe_budget::{ProbeBudget, RateLimit};
use self::quota::Quotas;
use self::registered_target::{RegisteredTarget, RegisteredTargetKey};
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
use crate::edge::position::Position;
use crate::prelude::*;
use crate::version::route_table::RouteTable;

/// Bounds of the number of connections from one entry to one target.
const MAX_CONNECTIONS: u32 = 8;
const MIN_CONNECTIONS: u32 = 1;
/// Time between two checks whether the domain of a target that a call waits for was closed.
const CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// State that the tasks of one gateway share.
pub struct Gateway {
    pub settings: RefCell<GatewaySettings>,
    pub header_names: HeaderNames,
    pub metrics: Metrics,
    pub registry: RefCell<TargetRegistry>,
    pub evacuations: RefCell<Evacuations>,
    pub retries: RefCell<RetryBudget>,
    pub probe_budget: RefCell<ProbeBudget>,
    /// Typical durations of each route's calls.
    pub durations: RefCell<TypicalDurations>,
    /// Mean size of each route's responses, in bytes.
    pub response_sizes: RefCell<MovingMeans>,
    pub shutdown: Rc<Shutdown>,
    pub limits: Rc<Cell<Limits>>,
    pub rng: RefCell<SmallRng>,
    /// Health of the directory, judged by reads of the targets' feed.
    pub directory_health: RefCell<DirectoryHealth>,
    /// Running probes, which may outlive the calls that sent them.
    pub probe_tasks: Tasks,
    pub sharing: Sharing,
    /// Tokens of workspaces with a limit.
    pub quotas: Quotas,
    /// The change that holds the routes in force, in the format of the directory.
    pub route_change: RefCell<Option<Change>>,
    /// Offsets at which the next read of each feed starts; `None` if it must read a snapshot.
    pub next_routes: Cell<Option<Position>>,
    pub next_targets: Cell<Option<Position>>,
    /// The newest known history of the directory, once there is one.
    pub history: Cell<Option<u64>>,
    /// Number of returns of the directory from an older copy, and of those after which this entry has
    /// registered again.
    pub returns: Cell<u32>,
    pub registered_returns: Cell<u32>,
    /// End of this entry's own last successful read of the targets' feed.
    pub last_read: Cell<Option<Instant>>,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Whether the registry has held all targets of the directory at least once.
    targets_loaded: Cell<bool>,
    /// Whether a route table has named workspaces since the start.
    had_workspaces: Cell<bool>,
}

impl Gateway {
    /// Creates a gateway without routes and targets.
    pub fn new(settings: GatewaySettings, header_names: HeaderNames) -> Self {
        let response_memory = Rc::new(MemoryBudget::new(settings.response_memory_bytes()));
        let (ratio, slack) = (settings.retry_ratio, settings.retry_slack);
        let retries = RetryBudget::new(ratio, slack, settings.retry_window());
        let directory_health = DirectoryHealth::new(settings.renewal_interval());
        let evacuations = Evacuations::new(settings.evacuation_limit());
        let mut rng = SmallRng::from_os_rng();
        Self {
            settings: RefCell::new(settings),
            header_names,
            metrics: Metrics::default(),
            registry: RefCell::new(TargetRegistry::new(MAX_CONNECTIONS, response_memory)),
            evacuations: RefCell::new(evacuations),
            retries: RefCell::new(retries),
            probe_budget: RefCell::new(ProbeBudget::new(Instant::now())),
            durations: RefCell::default(),
            response_sizes: RefCell::default(),
            shutdown: Rc::default(),
            limits: Rc::default(),
            quotas: Quotas::new(rng.random()),
            rng: RefCell::new(rng),
            directory_health: RefCell::new(directory_health),
            probe_tasks: Tasks::default(),
            sharing: Sharing::default(),
            route_change: RefCell::default(),
            next_routes: Cell::default(),
            next_targets: Cell::default(),
            history: Cell::default(),
            returns: Cell::default(),
            registered_returns: Cell::default(),
            last_read: Cell::default(),
            table: RefCell::default(),
            targets_loaded: Cell::new(false),
            had_workspaces: Cell::default(),
        }
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a route table in force unless the current one is at least as new; returns whether it
    /// did.
    pub fn set_table(&self, table: Rc<RouteTable>) -> bool {
        if self.table().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        table.randomize_splits(&mut *self.rng.borrow_mut());
        let bounds = table.bounds;
        self.limits.set(Limits {
            head_bytes: bounds.head_bytes,
            head_timeout: bounds.head_timeout,
            body_bytes: bounds.body_bytes,
            idle_timeout: bounds.idle_timeout,
            ..self.limits.get()
        });
        self.metrics.set_gauge("cornellink_revision", table.version as f64);
        self.durations.borrow_mut().retain(|name| table.has_route(name));
        self.response_sizes.borrow_mut().retain(|name| table.has_route(name));
        self.quotas.set_table(&table, self.settings.borrow().quota_terms());
        self.had_workspaces.set(self.had_workspaces.get() || table.workspaces().is_some());
        self.table.replace(Some(table));
        true
    }

    /// Whether callers may send keys, which are secret: also under routes that name no workspaces
    /// any more.
    pub fn takes_keys(&self) -> bool {
        self.had_workspaces.get()
    }

    /// Records that the registry holds all targets of the directory.
    pub fn set_targets_loaded(&self) {
        self.targets_loaded.set(true);
    }

    /// Whether the registry has held all targets of the directory at least once.
    pub fn are_targets_loaded(&self) -> bool {
        self.targets_loaded.get()
    }

    /// Whether the entry takes new callers.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && self.are_targets_loaded() && !self.shutdown.is_requested()
    }

    /// Takes up to `wanted` probes from the budget and returns how many it got. Rounds of a search
    /// after the first get only probes that upcoming searches will not need.
    pub fn grant_probes(&self, wanted: usize, is_first_round: bool, now: Instant) -> usize {
        let rate = self.settings.borrow().probes;
        let (targets, entries) = (self.registry.borrow().len(), self.entry_count());
        let limit = RateLimit { rate, targets, entries };
        let mut budget = self.probe_budget.borrow_mut();
        let granted = match is_first_round {
            true => budget.take(wanted, limit, now),
            false => budget.take_spare(wanted, limit, now),
        };
        if granted == 0 {
            self.metrics.count("cornellink_probe_rounds_refused_total");
        }
        if let Some(stats) = budget.take_report(now) {
            log::info!(
                rounds = stats.rounds, wanted = stats.wanted, granted = stats.granted,
                refused = stats.refused, tokens = stats.tokens as u64, rate = stats.rate as u64,
                targets, entries;
                "probes granted"
            );
        }
        granted
    }

    /// Whether a target may get new calls and probes.
    pub fn is_target_eligible(&self, key: RegisteredTargetKey) -> bool {
        let registry = self.registry.borrow();
        registry.get(key).is_some_and(|target| self.may_use(target, Instant::now()))
    }

    /// Whether a target is eligible and its domain is not closed by an evacuation.
    pub fn may_use(&self, target: &RegisteredTarget, now: Instant) -> bool {
        target.is_eligible(now) && self.domain_share(target, now) > 0.0
    }

    /// The share of calls that may use the targets of a target's domain.
    pub fn domain_share(&self, target: &RegisteredTarget, now: Instant) -> f64 {
        self.evacuations.borrow().share(&target.registration.domain, now)
    }

    /// Resolves when an evacuation has closed the domain of a target.
    pub async fn domain_closes(&self, key: RegisteredTargetKey) {
        let is_closed = || {
            let registry = self.registry.borrow();
            let target = registry.get(key);
            target.is_some_and(|target| self.domain_share(target, Instant::now()) <= 0.0)
        };
        while !is_closed() {
            monoio::time::sleep(CLOSED_POLL_INTERVAL).await;
        }
    }

    /// When the first target of a service takes calls again, if all that may be used turn them away
    /// for a time.
    pub fn retry_at(&self, service: &str, now: Instant) -> Option<Instant> {
        self.registry.borrow().retry_at(service, &self.evacuations.borrow(), now)
    }

    /// Counts a call that was sent to a target, with the bytes of its body and its response.
    pub fn count_exchange(&self, key: RegisteredTargetKey, bytes: usize) {
        let (registry, settings) = (self.registry.borrow(), self.settings.borrow());
        let Some(target) = registry.get(key) else { return };
        let domain = match *target.registration.domain == *settings.domain {
            true => "own",
            false => "other",
        };
        self.metrics.count_exchange(domain, bytes as u64);
    }

    /// Takes a retry of a call to a service from the budget; false if the budget is spent.
    pub fn spend_retry(&self, service: &Rc<str>, now: Instant) -> bool {
        self.retries.borrow_mut().take_retry(service, self.entry_count(), now)
    }

    /// This entry's share of the `connections` that a target accepts from all entries.
    pub fn connection_limit(&self, connections: u32) -> u32 {
        (connections / self.entry_count()).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
    }

    /// Number of running entries; the configured maximum if the number is unknown.
    pub fn entry_count(&self) -> u32 {
        let known = self.sharing.fleet.known_entries(Instant::now());
        known.unwrap_or(self.settings.borrow().max_entries).max(1)
    }

    /// Returns a random duration of 0.5 to 1.5 times the given one, so that waiting tasks do not
    /// all continue at the same time.
    pub fn jitter(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }
}
