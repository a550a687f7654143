//! Generates traces from a scenario and a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::{CallKind, Scenario};
use super::trace::TraceCall;

/// Parameters of a generated trace; equal parameters give equal traces.
#[derive(Clone, Copy, Debug)]
pub struct TraceParameters {
    pub scenario: Scenario,
    /// Length of the trace in seconds.
    pub seconds: f64,
    /// Mean arrival rate in calls per second.
    pub rate: f64,
    pub seed: u64,
}

/// Generates a trace with Poisson arrivals whose rate follows the scenario.
pub fn generate(parameters: &TraceParameters) -> Vec<TraceCall> {
    let mut random = SmallRng::seed_from_u64(parameters.seed);
    let mut calls = Vec::new();
    let mut at_seconds = 0.0;
    loop {
        let rate =
            parameters.rate * parameters.scenario.relative_rate(at_seconds / parameters.seconds);
        at_seconds += sample_exponential(&mut random) / rate;
        if at_seconds >= parameters.seconds {
            return calls;
        }
        let number = calls.len();
        calls.push(generate_call(parameters, &mut random, at_seconds, number));
    }
}

fn generate_call(
    parameters: &TraceParameters,
    random: &mut SmallRng,
    at_seconds: f64,
    number: usize,
) -> TraceCall {
    let kind = pick_kind(parameters.scenario.call_kinds(), random);
    let workspaces = parameters.scenario.workspaces();
    let workspace = workspaces[random.random_range(0..workspaces.len())];
    // Service times are uniformly distributed within 50% of their mean.
    let service = kind.service_us * random.random_range(0.5..1.5);
    TraceCall {
        at_us: (at_seconds * 1e6) as u64,
        workspace: workspace.into(),
        service: kind.service.into(),
        class: kind.class.into(),
        method: kind.method.into(),
        path: format!("{}/{number}", kind.prefix),
        key: kind.has_key.then(|| format!("{}-{number}", parameters.seed)),
        bytes: kind.bytes,
        service_us: service as u64,
    }
}

fn pick_kind<'a>(call_kinds: &'a [CallKind], random: &mut SmallRng) -> &'a CallKind {
    let total = call_kinds.iter().map(|kind| kind.share).sum();
    let mut remaining = random.random_range(0..total);
    for kind in call_kinds {
        if remaining < kind.share {
            return kind;
        }
        remaining -= kind.share;
    }
    &call_kinds[call_kinds.len() - 1]
}

fn sample_exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
