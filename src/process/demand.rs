//! Recent demand of the flows of one service, and the cap on the slots of each flow.

use std::collections::HashMap;

use super::queue::FlowKey;
use crate::prelude::*;

/// Time constant of the exponential decay of demand.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Slots kept free for the other flows per square root of the slots that they use, since the number
/// of slots in use varies by about its square root.
const HEADROOM_PER_SQRT_SLOT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct FlowLoad {
    slots: f64,
    updated_at: Instant,
    weight: f64,
}

impl FlowLoad {
    fn slots_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.slots * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Moving average of the slots that the calls of each flow need.
#[derive(Default)]
pub struct Demand {
    flow_loads: HashMap<FlowKey, FlowLoad>,
}

impl Demand {
    /// Records a call that is expected to use a slot for `cost` seconds.
    pub fn record_call(&mut self, key: FlowKey, weight: f64, cost: f64, now: Instant) {
        let slots = self.flow_loads.get(&key).map_or(0.0, |load| load.slots_at(now));
        let slots = slots + cost / TIME_CONSTANT.as_secs_f64();
        self.flow_loads.insert(key, FlowLoad { slots, updated_at: now, weight });
    }

    /// Number of slots, out of `slots`, that a flow may use.
    ///
    /// A flow that needs more than its share must leave the slots that other flows use, plus some
    /// headroom. Without the headroom, every slot would be in use when a call of another flow
    /// arrives, and that call would wait for another one to end.
    pub fn slot_cap(&self, key: FlowKey, slots: f64, now: Instant) -> f64 {
        let total_weight: f64 = self.flow_loads.values().map(|load| load.weight).sum();
        let share = |load: &FlowLoad| slots * load.weight / total_weight.max(1.0);
        let others = self.flow_loads.iter().filter(|(other, _)| **other != key);
        let others_used: f64 = others.map(|(_, load)| load.slots_at(now).min(share(load))).sum();
        let Some(load) = self.flow_loads.get(&key) else { return slots };
        let own_share = share(load);
        // A flow below its share may use every slot, since its calls arrive in bursts.
        if load.slots_at(now) <= own_share {
            return slots;
        }
        (slots - others_used - HEADROOM_PER_SQRT_SLOT * others_used.sqrt()).max(own_share).max(1.0)
    }
}
