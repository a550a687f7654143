//! Generates traces.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::{Mix, Scenario};
use super::trace::TraceCall;

/// Size and seed of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub scenario: Scenario,
    /// Length of the trace in seconds.
    pub seconds: f64,
    /// Mean arrival rate in calls per second.
    pub rate: f64,
    pub seed: u64,
}

/// Generates a trace with Poisson arrivals whose rate follows the scenario.
pub fn generate(plan: &Plan) -> Vec<TraceCall> {
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let mut calls = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = plan.rate * plan.scenario.intensity(at / plan.seconds);
        at += exponential(&mut random) / rate;
        if at >= plan.seconds {
            return calls;
        }
        let number = calls.len();
        calls.push(call(plan, &mut random, at, number));
    }
}

fn call(plan: &Plan, random: &mut SmallRng, at: f64, number: usize) -> TraceCall {
    let mix = pick(plan.scenario.mixes(), random);
    let workspaces = plan.scenario.workspaces();
    let workspace = workspaces[random.random_range(0..workspaces.len())];
    // Service times vary by half of their mean around it.
    let service = mix.service_us * random.random_range(0.5..1.5);
    TraceCall {
        at_us: (at * 1e6) as u64,
        workspace: workspace.into(),
        service: mix.service.into(),
        class: mix.class.into(),
        method: mix.method.into(),
        path: format!("{}/{number}", mix.prefix),
        key: mix.keyed.then(|| format!("{}-{number}", plan.seed)),
        bytes: mix.bytes,
        service_us: service as u64,
    }
}

fn pick<'a>(mixes: &'a [Mix], random: &mut SmallRng) -> &'a Mix {
    let total = mixes.iter().map(|mix| mix.share).sum();
    let mut place = random.random_range(0..total);
    for mix in mixes {
        if place < mix.share {
            return mix;
        }
        place -= mix.share;
    }
    &mixes[mixes.len() - 1]
}

fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
