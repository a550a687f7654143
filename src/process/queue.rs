//! Start-time fair queueing.

use std::collections::{HashMap, VecDeque};

/// Key of a flow, the hash of a workspace's name, so that it outlives a version of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey(pub u64);

struct Item<T> {
    start: f64,
    value: T,
}

struct Flow<T> {
    finish: f64,
    weight: f64,
    waiting: VecDeque<Item<T>>,
}

/// A queue that serves flows by weight; the cost of an item is its expected slot time.
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

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of waiting items of one flow.
    pub fn flow_len(&self, key: FlowKey) -> usize {
        self.flows.get(&key).map_or(0, |flow| flow.waiting.len())
    }

    /// Sum of the weights of the flows that wait, other than `key`.
    pub fn other_weight(&self, key: FlowKey) -> f64 {
        let others =
            self.flows.iter().filter(|(other, flow)| **other != key && !flow.waiting.is_empty());
        others.map(|(_, flow)| flow.weight).sum()
    }

    /// Accounts for an item that is served without waiting.
    pub fn pass(&mut self, key: FlowKey, weight: f64, cost: f64) {
        self.virtual_time = self.tag(key, weight, cost);
    }

    /// Adds an item at the end of its flow.
    pub fn push(&mut self, key: FlowKey, weight: f64, cost: f64, value: T) {
        let start = self.tag(key, weight, cost);
        let flow = self.flows.get_mut(&key).expect("`tag` creates the flow");
        flow.waiting.push_back(Item { start, value });
        self.length += 1;
    }

    /// The flow to be served next among those that may be.
    pub fn next(&self, may: impl Fn(FlowKey) -> bool) -> Option<FlowKey> {
        let heads = self.flows.iter().filter_map(|(key, flow)| Some((flow.waiting.front()?, *key)));
        let first = heads.filter(|(_, key)| may(*key)).min_by(|(one, left), (two, right)| {
            // Ties go to the lower key, so that the order does not depend on the map's.
            one.start.total_cmp(&two.start).then(left.cmp(right))
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
        self.virtual_time = self.virtual_time.max(item.start);
        self.length -= 1;
        if self.length == 0 {
            self.forget();
        }
        Some(item.value)
    }

    /// Removes the newest item of the flow that holds most in relation to its weight, unless
    /// `key` would hold as much with one more item.
    pub fn evict(&mut self, key: FlowKey, weight: f64) -> Option<T> {
        let own = (self.flow_len(key) + 1) as f64 / weight;
        let share = |flow: &Flow<T>| flow.waiting.len() as f64 / flow.weight;
        let greediest =
            self.flows.iter().max_by(|(_, one), (_, two)| share(one).total_cmp(&share(two)));
        let (key, _) = greediest.filter(|(_, flow)| share(flow) > own)?;
        let key = *key;
        let item = self.flows.get_mut(&key)?.waiting.pop_back()?;
        self.length -= 1;
        Some(item.value)
    }

    fn tag(&mut self, key: FlowKey, weight: f64, cost: f64) -> f64 {
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            finish: 0.0,
            weight,
            waiting: VecDeque::new(),
        });
        flow.weight = weight;
        let start = flow.finish.max(self.virtual_time);
        flow.finish = start + cost / weight;
        start
    }

    /// Drops flows that are not ahead of the virtual time; a new flow would start like them.
    fn forget(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, flow| flow.finish > now);
    }
}
