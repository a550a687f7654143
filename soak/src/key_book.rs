//! The workspaces with their keys in each version of the configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};

use crate::fixture::{config, KEY_PREFIX, LASTING_KEY, SAFE_PREFIX};

/// Workspace of the key that all versions hold.
pub const LASTING_WORKSPACE: &str = "lasting";
/// The workspace with a quota; all versions hold its key.
pub const SMALL_WORKSPACE: &str = "small";
pub const SMALL_KEY: &str = "key-small";
pub const SMALL_RATE_PER_S: f64 = 4.0;
pub const SMALL_BURST: f64 = 4.0;
/// Workspaces whose keys change.
const CHANGING_WORKSPACES: [&str; 2] = ["left", "right"];
/// Number of keys that are held by the changing workspaces together.
const CHANGING_KEYS: usize = 6;
/// Callers pick from this many of the newest keys, some of which are gone.
const PICKED_KEYS: usize = 12;

/// Calls per second that a cold back end bears.
pub const WARMUP_PER_S: f64 = 6.1;
/// The service whose back ends stay cold, and the calls per second that one of them bears. Its calls
/// wait longer than a change of the keys may take to apply.
pub const COLD_SERVICE: &str = "s2";
pub const COLD_SERVICE_PER_S: f64 = 1.0;
/// Begins the paths of its requests.
pub const WAITING_PREFIX: &str = "/w/";
/// Time limit of its requests. A call may wait for a third of it.
pub const WAITING_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit and latency objective in ms; a call waits for a back end for 0.3 of its objective.
const ROUTE_TIMEOUT_MS: u64 = 2000;
const WAITING_OBJECTIVE_MS: u64 = 20_000;

/// A workspace's possession of a key.
#[derive(Clone, Debug)]
pub struct Holding {
    pub key: String,
    pub workspace: &'static str,
    pub from: Instant,
    /// When the store had accepted the version that takes the key away.
    pub to: Option<Instant>,
}

/// All holdings, oldest first.
pub struct KeyBook {
    holdings: Vec<Holding>,
    version: u64,
}

impl KeyBook {
    /// Creates the book of the first version.
    pub fn new() -> Self {
        let mut book = Self { holdings: Vec::new(), version: 1 };
        book.hold(LASTING_KEY.into(), LASTING_WORKSPACE);
        book.hold(SMALL_KEY.into(), SMALL_WORKSPACE);
        book.add_keys();
        book
    }

    /// All holdings, oldest first.
    pub fn holdings(&self) -> Vec<Holding> {
        self.holdings.clone()
    }

    /// Makes a new version that takes up to three keys away, moves one to the other workspace and adds
    /// new ones. `accept` hands it to the store.
    pub fn change(&mut self, rng: &mut SmallRng, accept: impl FnOnce(&str)) {
        self.version += 1;
        let gone: Vec<usize> = (0..rng.random_range(2..=4)).map(|_| self.end_one(rng)).collect();
        let moved = self.holdings[gone[0]].clone();
        let other = CHANGING_WORKSPACES.into_iter().find(|other| *other != moved.workspace);
        self.hold(moved.key, other.expect("there are two workspaces"));
        self.add_keys();
        accept(&self.config());
        for index in gone {
            self.holdings[index].to = Some(Instant::now());
        }
    }

    /// A key that a changing workspace has or had.
    pub fn pick(&self, rng: &mut SmallRng) -> String {
        let is_changing = |holding: &&Holding| CHANGING_WORKSPACES.contains(&holding.workspace);
        let keys: Vec<_> =
            self.holdings.iter().rev().filter(is_changing).take(PICKED_KEYS).collect();
        keys[rng.random_range(0..keys.len())].key.clone()
    }

    /// Ends a random holding of a changing workspace; returns its index.
    fn end_one(&mut self, rng: &mut SmallRng) -> usize {
        let changing: Vec<usize> = self.changing().collect();
        let index = changing[rng.random_range(0..changing.len())];
        self.holdings[index].to = Some(Instant::now());
        index
    }

    /// Indexes of the holdings of the changing workspaces that have not ended.
    fn changing(&self) -> impl Iterator<Item = usize> + '_ {
        let is_changing = |holding: &Holding| {
            holding.to.is_none() && CHANGING_WORKSPACES.contains(&holding.workspace)
        };
        (0..self.holdings.len()).filter(move |index| is_changing(&self.holdings[*index]))
    }

    fn hold(&mut self, key: String, workspace: &'static str) {
        self.holdings.push(Holding { key, workspace, from: Instant::now(), to: None });
    }

    fn add_keys(&mut self) {
        while self.changing().count() < CHANGING_KEYS {
            let number = self.holdings.len();
            let workspace = CHANGING_WORKSPACES[number % CHANGING_WORKSPACES.len()];
            self.hold(format!("{KEY_PREFIX}{number}"), workspace);
        }
    }

    /// The configuration of the newest version.
    pub fn config(&self) -> String {
        let mut keys: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for holding in self.holdings.iter().filter(|holding| holding.to.is_none()) {
            keys.entry(holding.workspace).or_default().push(&holding.key);
        }
        let row = |(workspace, keys): (&&str, &Vec<&str>)| match *workspace {
            SMALL_WORKSPACE => json!([workspace, keys, 0, SMALL_RATE_PER_S, SMALL_BURST]),
            _ => json!([workspace, keys, 0, 0, 0]),
        };
        let rows: Vec<Value> = keys.iter().map(row).collect();
        let text = config(self.version, ROUTE_TIMEOUT_MS);
        let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
        let mut safe = config["routes"]["rows"][0].clone();
        (safe[0], safe[2], safe[3]) = (json!("safe"), json!(SAFE_PREFIX), json!("safe"));
        let waiting = json!([
            "waiting",
            safe[1],
            WAITING_PREFIX,
            "unsafe",
            WAITING_TIMEOUT.as_millis() as u64,
            WAITING_OBJECTIVE_MS,
            1,
            2,
            COLD_SERVICE
        ]);
        let routes = config["routes"]["rows"].as_array_mut().expect("rows are an array");
        routes.extend([safe, waiting]);
        config["services"] = json!({
            "columns": ["name", "health_check_path", "max_connections", "protocol", "warmup_s",
                "warmup_per_s"],
            "rows": [["s1", "/health", 200, "h1", 5, WARMUP_PER_S],
                [COLD_SERVICE, "/health", 200, "h1", 5, COLD_SERVICE_PER_S]],
        });
        config["tenants"] = json!({
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"], "rows": rows,
        });
        config.to_string()
    }
}
