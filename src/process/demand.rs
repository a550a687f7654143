//! Recent demand of the flows of one service, and what one flow leaves to the others.

use std::collections::HashMap;

use super::queue::FlowKey;
use crate::prelude::*;

/// Time over which demand is smoothed.
const SPAN: Duration = Duration::from_secs(1);
/// Slots kept free for flows below their share, in relation to the square root of the slots that
/// they use, as their number varies by about this root.
const HEADROOM: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Load {
    slots: f64,
    seen: Instant,
    weight: f64,
}

impl Load {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.seen);
        self.slots * (-age.as_secs_f64() / SPAN.as_secs_f64()).exp()
    }
}

/// Slots that each flow asks for.
#[derive(Default)]
pub struct Demand {
    loads: HashMap<FlowKey, Load>,
}

impl Demand {
    /// Counts a call that takes a slot for `cost` seconds.
    pub fn add(&mut self, key: FlowKey, weight: f64, cost: f64, now: Instant) {
        let slots = self.loads.get(&key).map_or(0.0, |load| load.at(now));
        let slots = slots + cost / SPAN.as_secs_f64();
        self.loads.insert(key, Load { slots, seen: now, weight });
    }

    /// Slots that a flow may hold of `slots`.
    ///
    /// A flow beyond its share leaves the slots that the others use, and some headroom. Without
    /// it every slot would be busy when another flow's call arrives, which would then wait for
    /// the end of a call.
    pub fn cap(&self, key: FlowKey, slots: f64, now: Instant) -> f64 {
        let total: f64 = self.loads.values().map(|load| load.weight).sum();
        let share = |load: &Load| slots * load.weight / total.max(1.0);
        let others = self.loads.iter().filter(|(other, _)| **other != key);
        let used: f64 = others.map(|(_, load)| load.at(now).min(share(load))).sum();
        let Some(load) = self.loads.get(&key) else { return slots };
        let own = share(load);
        // A flow below its share may use every slot, as its calls come in bursts.
        if load.at(now) <= own {
            return slots;
        }
        (slots - used - HEADROOM * used.sqrt()).max(own).max(1.0)
    }
}
