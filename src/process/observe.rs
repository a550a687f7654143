//! Metrics of an entry.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::connection::quic::traffic::Traffic;
use crate::prelude::*;

/// Bounds of the latency histograms' buckets in seconds.
const BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2,
    0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The recorder of one entry; several entries in one process each have their own.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl Default for Metrics {
    fn default() -> Self {
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(BUCKETS).expect("the bounds are not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self { recorder, handle }
    }
}

impl Metrics {
    /// Records an answered call.
    pub fn call(&self, workspace: &str, class: &str, code: Code, whole: Duration) {
        let labels = [("workspace", workspace.to_owned()), ("class", class.to_owned())];
        metrics::with_local_recorder(&self.recorder, || {
            metrics::histogram!("cornellink_call_seconds", &labels).record(whole);
            metrics::counter!("cornellink_calls_total", "code" => code.number().to_string())
                .increment(1);
        });
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
