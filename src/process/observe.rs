//! Metrics of an entry.

use std::collections::{HashMap, HashSet};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::connection::quic::traffic::Traffic;
use crate::prelude::*;

/// Bounds of the latency histograms' buckets in seconds.
const BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2,
    0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Most pairs of workspace and class with series of their own. A pair has three histograms of 22
/// series each, and a document may name 10,000 workspaces.
const MAX_PAIRS: usize = 200;
/// Label of all further pairs.
const OTHER: &str = "other";

/// The recorder of one entry; several entries in one process each have their own.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    /// Classes with series of their own, by workspace.
    pairs: RefCell<HashMap<String, HashSet<String>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(BUCKETS).expect("the bounds are not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self { recorder, handle, pairs: RefCell::default() }
    }
}

impl Metrics {
    /// Records an answered call.
    pub fn call(&self, workspace: &str, class: &str, code: Code, whole: Duration) {
        self.span("cornellink_call_seconds", workspace, class, whole);
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_calls_total", "code" => code.number().to_string())
                .increment(1);
        });
    }

    /// Records the time that a call waited for a place at a target.
    pub fn wait(&self, workspace: &str, class: &str, span: Duration) {
        self.span("cornellink_wait_seconds", workspace, class, span);
    }

    /// Records the time from a call's first byte to the end of the target's response.
    pub fn service(&self, workspace: &str, class: &str, span: Duration) {
        self.span("cornellink_service_seconds", workspace, class, span);
    }

    fn span(&self, name: &'static str, workspace: &str, class: &str, span: Duration) {
        let (workspace, class) = match self.has_series(workspace, class) {
            true => (workspace, class),
            false => (OTHER, OTHER),
        };
        let labels = [("workspace", workspace.to_owned()), ("class", class.to_owned())];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::histogram!(name, &labels).record(span);
        });
    }

    /// Whether a pair has series of its own; the first `MAX_PAIRS` pairs do.
    fn has_series(&self, workspace: &str, class: &str) -> bool {
        let mut pairs = self.pairs.borrow_mut();
        let known = pairs.get(workspace).is_some_and(|classes| classes.contains(class));
        if known {
            return true;
        }
        if pairs.values().map(HashSet::len).sum::<usize>() >= MAX_PAIRS {
            return false;
        }
        pairs.entry(workspace.to_owned()).or_default().insert(class.to_owned())
    }

    /// Adds to a counter without labels.
    pub fn count(&self, name: &'static str) {
        metrics::with_local_recorder(&self.recorder, || metrics::counter!(name).increment(1));
    }

    /// Counts a message of a peer and its bytes; `direction` is `sent` or `received`.
    pub fn peer_message(&self, direction: &'static str, bytes: usize) {
        metrics::with_local_recorder(&self.recorder, || {
            let labels = [("direction", direction)];
            metrics::counter!("cornellink_peer_messages_total", &labels).increment(1);
            let bytes = bytes as u64;
            metrics::counter!("cornellink_peer_message_bytes_total", &labels).increment(bytes);
        });
    }

    /// Counts load hints sent to peers.
    pub fn peer_hints(&self, count: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_peer_hints_total").increment(count);
        });
    }

    /// Takes over what the socket for peers has counted.
    pub fn peer_traffic(&self, traffic: &Traffic) {
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

    /// Adds to the claims by outcome, a closed set of words.
    pub fn claim(&self, outcome: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_claims_total", "outcome" => outcome).increment(1);
        });
    }

    /// Adds to the probes by outcome, a closed set of words.
    pub fn probe(&self, outcome: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_probes_total", "outcome" => outcome).increment(1);
        });
    }

    /// Adds to the reads of a feed of the directory by outcome, a closed set of words.
    pub fn directory_read(&self, feed: &'static str, outcome: &'static str) {
        let labels = [("feed", feed), ("outcome", outcome)];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::counter!("cornellink_directory_reads_total", &labels).increment(1);
        });
    }

    /// Records an append to the stream `claims`.
    pub fn append(&self, confirmed: bool, whole: Duration) {
        let confirmed = if confirmed { "true" } else { "false" };
        metrics::with_local_recorder(&self.recorder, || {
            metrics::histogram!("cornellink_append_seconds", "confirmed" => confirmed)
                .record(whole);
        });
    }

    /// Sets a gauge without labels.
    pub fn gauge(&self, name: &'static str, value: f64) {
        metrics::with_local_recorder(&self.recorder, || metrics::gauge!(name).set(value));
    }

    /// The metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
