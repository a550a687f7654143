//! Start-time fair queueing (SFQ) of items from weighted flows.

use std::collections::{HashMap, VecDeque};

/// Key of a flow: a hash of the workspace's name, so that it stays the same across documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey(pub u64);

struct Item<T> {
    start_tag: f64,
    value: T,
}

struct Flow<T> {
    finish_tag: f64,
    weight: f64,
    waiting: VecDeque<Item<T>>,
}

/// A queue that serves flows by weight; the cost of an item is the time for which it is expected to
/// use a slot.
pub struct Queue<T> {
    flows: HashMap<FlowKey, Flow<T>>,
    virtual_time: f64,
    length: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { flows: HashMap::new(), virtual_time: 0.0, length: 0 }
    }
}

impl<T> Queue<T> {
    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of waiting items of one flow.
    pub fn flow_len(&self, key: FlowKey) -> usize {
        self.flows.get(&key).map_or(0, |flow| flow.waiting.len())
    }

    /// Sum of the weights of all flows with waiting items, except `key`.
    pub fn other_weight(&self, key: FlowKey) -> f64 {
        let others =
            self.flows.iter().filter(|(other, flow)| **other != key && !flow.waiting.is_empty());
        others.map(|(_, flow)| flow.weight).sum()
    }

    /// Charges a flow for an item that is served without being queued.
    pub fn charge(&mut self, key: FlowKey, weight: f64, cost: f64) {
        self.virtual_time = self.assign_tags(key, weight, cost);
    }

    /// Adds an item at the end of its flow.
    pub fn push(&mut self, key: FlowKey, weight: f64, cost: f64, value: T) {
        let start_tag = self.assign_tags(key, weight, cost);
        let flow = self.flows.get_mut(&key).expect("`assign_tags` creates the flow");
        flow.waiting.push_back(Item { start_tag, value });
        self.length += 1;
    }

    /// The eligible flow to serve next: the one whose oldest item has the lowest start tag.
    pub fn next_flow(&self, is_eligible: impl Fn(FlowKey) -> bool) -> Option<FlowKey> {
        let heads = self.flows.iter().filter_map(|(key, flow)| Some((flow.waiting.front()?, *key)));
        let first =
            heads.filter(|(_, key)| is_eligible(*key)).min_by(|(item, key), (other, other_key)| {
                // Ties go to the lower key, since the iteration order of the map is random.
                item.start_tag.total_cmp(&other.start_tag).then(key.cmp(other_key))
            });
        first.map(|(_, key)| key)
    }

    /// The oldest item of a flow.
    pub fn peek(&self, key: FlowKey) -> Option<&T> {
        self.flows.get(&key)?.waiting.front().map(|item| &item.value)
    }

    /// Removes the oldest item of a flow.
    pub fn pop(&mut self, key: FlowKey) -> Option<T> {
        let item = self.flows.get_mut(&key)?.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(item.start_tag);
        self.length -= 1;
        if self.length == 0 {
            self.drop_idle_flows();
        }
        Some(item.value)
    }

    /// Removes the newest item of the flow with the most items per weight, unless `key` would have
    /// as many per weight with one more item.
    pub fn evict(&mut self, key: FlowKey, weight: f64) -> Option<T> {
        let own = (self.flow_len(key) + 1) as f64 / weight;
        let items_per_weight = |flow: &Flow<T>| flow.waiting.len() as f64 / flow.weight;
        let largest = self
            .flows
            .iter()
            .max_by(|(_, one), (_, two)| items_per_weight(one).total_cmp(&items_per_weight(two)));
        let (key, _) = largest.filter(|(_, flow)| items_per_weight(flow) > own)?;
        let key = *key;
        let item = self.flows.get_mut(&key)?.waiting.pop_back()?;
        self.length -= 1;
        Some(item.value)
    }

    /// Returns the start tag of a new item and advances the finish tag of its flow.
    fn assign_tags(&mut self, key: FlowKey, weight: f64, cost: f64) -> f64 {
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            finish_tag: 0.0,
            weight,
            waiting: VecDeque::new(),
        });
        flow.weight = weight;
        let start_tag = flow.finish_tag.max(self.virtual_time);
        flow.finish_tag = start_tag + cost / weight;
        start_tag
    }

    /// Drops flows whose finish tag is not ahead of the virtual time; if they return, they start
    /// with the same tag as new flows. No item may be waiting.
    fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, flow| flow.finish_tag > now);
    }
}
