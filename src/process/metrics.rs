//! Prometheus metrics of an entry.

use std::collections::{HashMap, HashSet};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::connection::quic::traffic::Traffic;
use crate::prelude::*;
use crate::process::gateway::quota::node::OwnerFigures;
use crate::process::gateway::quota::stats::Stats;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2,
    0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Maximum number of pairs of workspace and class with their own series. A pair has three
/// histograms of 22 series each, and a document may name 10,000 workspaces.
const MAX_LABEL_PAIRS: usize = 200;
/// Most workspaces whose calls have their own series, one for each code.
const MAX_WORKSPACES: usize = 200;
/// Samples of histograms after which they are added to their buckets. Until then, or until somebody
/// reads the metrics, each sample is stored.
const MAX_STORED_SAMPLES: u32 = 1024;
/// Workspace and class label of all further pairs.
const OTHER_LABEL: &str = "other";

/// The metrics of one entry; each of several entries in one process has its own recorder.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    /// Classes with their own series, by workspace.
    label_pairs: RefCell<HashMap<String, HashSet<String>>>,
    /// Workspaces whose calls have their own series.
    workspaces: RefCell<HashSet<String>>,
    /// Samples of histograms since they were last added to their buckets.
    stored_samples: Cell<u32>,
}

impl Default for Metrics {
    fn default() -> Self {
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(LATENCY_BUCKETS).expect("the bounds are not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self {
            recorder,
            handle,
            label_pairs: RefCell::default(),
            workspaces: RefCell::default(),
            stored_samples: Cell::default(),
        }
    }
}

impl Metrics {
    /// Records a completed call.
    pub fn record_call(&self, workspace: &str, class: &str, code: Code, duration: Duration) {
        self.record_latency("cornellink_call_seconds", workspace, class, duration);
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_calls_total", "code" => code.number().to_string())
                .increment(1);
        });
    }

    /// Records the time that a call waited for a slot of a target.
    pub fn record_wait(&self, workspace: &str, class: &str, duration: Duration) {
        self.record_latency("cornellink_wait_seconds", workspace, class, duration);
    }

    /// Records the time from the first byte sent to the target to the end of its response.
    pub fn record_service(&self, workspace: &str, class: &str, duration: Duration) {
        self.record_latency("cornellink_service_seconds", workspace, class, duration);
    }

    fn record_latency(&self, name: &'static str, workspace: &str, class: &str, duration: Duration) {
        let (workspace, class) = match self.has_series(workspace, class) {
            true => (workspace, class),
            false => (OTHER_LABEL, OTHER_LABEL),
        };
        let labels = [("workspace", workspace.to_owned()), ("class", class.to_owned())];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::histogram!(name, &labels).record(duration);
        });
        self.limit_stored_samples();
    }

    /// Counts a sample, and adds all to their buckets if too many are stored.
    fn limit_stored_samples(&self) {
        let count = self.stored_samples.get() + 1;
        self.stored_samples.set(count % MAX_STORED_SAMPLES);
        if count == MAX_STORED_SAMPLES {
            self.handle.run_upkeep();
        }
    }

    /// Whether a pair has its own series; the first `MAX_LABEL_PAIRS` pairs do.
    fn has_series(&self, workspace: &str, class: &str) -> bool {
        let mut pairs = self.label_pairs.borrow_mut();
        let is_known = pairs.get(workspace).is_some_and(|classes| classes.contains(class));
        if is_known {
            return true;
        }
        if pairs.values().map(HashSet::len).sum::<usize>() >= MAX_LABEL_PAIRS {
            return false;
        }
        pairs.entry(workspace.to_owned()).or_default().insert(class.to_owned())
    }

    /// Increments a counter without labels.
    pub fn count(&self, name: &'static str) {
        metrics::with_local_recorder(&self.recorder, || metrics::counter!(name).increment(1));
    }

    /// Counts a peer message and its bytes; `direction` is `sent` or `received`.
    pub fn count_peer_message(&self, direction: &'static str, bytes: usize) {
        metrics::with_local_recorder(&self.recorder, || {
            let labels = [("direction", direction)];
            metrics::counter!("cornellink_peer_messages_total", &labels).increment(1);
            let bytes = bytes as u64;
            metrics::counter!("cornellink_peer_message_bytes_total", &labels).increment(bytes);
        });
    }

    /// Counts load reports sent to peers.
    pub fn count_load_reports(&self, count: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_peer_hints_total").increment(count);
        });
    }

    /// Sets the peer traffic counters to the totals of the peer socket.
    pub fn set_peer_traffic(&self, traffic: &Traffic) {
        let counts = [
            ("sent", traffic.sent_bytes.get(), traffic.sent_datagrams.get()),
            ("received", traffic.received_bytes.get(), traffic.received_datagrams.get()),
        ];
        metrics::with_local_recorder(&self.recorder, || {
            for (direction, bytes, datagrams) in counts {
                let labels = [("direction", direction)];
                metrics::counter!("cornellink_peer_bytes_total", &labels).absolute(bytes);
                metrics::counter!("cornellink_peer_datagrams_total", &labels).absolute(datagrams);
            }
        });
    }

    /// Counts a claim by outcome, a word of a closed set.
    pub fn count_claim(&self, outcome: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_claims_total", "outcome" => outcome).increment(1);
        });
    }

    /// Counts a probe by outcome, a word of a closed set.
    pub fn count_probe(&self, outcome: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_probes_total", "outcome" => outcome).increment(1);
        });
    }

    /// Counts a call that was sent to a target, and the bytes of its body and its response; `domain`
    /// is `own` or `other`.
    pub fn count_exchange(&self, domain: &'static str, bytes: u64) {
        let labels = [("domain", domain)];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_sent_calls_total", &labels).increment(1);
            metrics::counter!("cornellink_exchanged_bytes_total", &labels).increment(bytes);
        });
    }

    /// Counts a read of a directory feed by outcome, a word of a closed set.
    pub fn count_directory_read(&self, feed: &'static str, outcome: &'static str) {
        let labels = [("feed", feed), ("outcome", outcome)];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_directory_reads_total", &labels).increment(1);
        });
    }

    /// Records an append to the stream `claims`.
    pub fn record_append(&self, confirmed: bool, duration: Duration) {
        let confirmed = if confirmed { "true" } else { "false" };
        metrics::with_local_recorder(&self.recorder, || {
            metrics::histogram!("cornellink_append_seconds", "confirmed" => confirmed)
                .record(duration);
        });
        self.limit_stored_samples();
    }

    /// Counts quota decisions.
    pub fn count_quota(&self, stats: Stats) {
        if stats == Stats::default() {
            return;
        }
        let Stats { granted, refused, unanswered, dropped } = stats;
        metrics::with_local_recorder(&self.recorder, || {
            let outcomes = [("granted", granted), ("refused", refused), ("unanswered", unanswered)];
            for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
                metrics::counter!("cornellink_quota_requests_total", "outcome" => outcome)
                    .increment(count);
            }
            if dropped > 0 {
                metrics::counter!("cornellink_quota_messages_dropped_total").increment(dropped);
            }
        });
    }

    /// Sets the gauges of the quota pools that this entry owns.
    pub fn set_quota_owner(&self, figures: OwnerFigures) {
        self.set_gauge("cornellink_quota_pools", figures.pools as f64);
        self.set_gauge("cornellink_quota_senders", figures.senders as f64);
        self.set_gauge("cornellink_quota_received_seconds", figures.received);
    }

    /// Counts an ended call of a workspace.
    pub fn count_workspace_call(&self, workspace: &str, code: Code) {
        let workspace = match self.has_workspace_series(workspace) {
            true => workspace,
            false => OTHER_LABEL,
        };
        let labels = [("workspace", workspace.to_owned()), ("code", code.number().to_string())];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_workspace_calls_total", &labels).increment(1);
        });
    }

    /// Whether a workspace has its own series; the first `MAX_WORKSPACES` do.
    fn has_workspace_series(&self, workspace: &str) -> bool {
        let mut workspaces = self.workspaces.borrow_mut();
        if workspaces.contains(workspace) {
            return true;
        }
        workspaces.len() < MAX_WORKSPACES && workspaces.insert(workspace.to_owned())
    }

    /// Sets a gauge without labels.
    pub fn set_gauge(&self, name: &'static str, value: f64) {
        metrics::with_local_recorder(&self.recorder, || metrics::gauge!(name).set(value));
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
