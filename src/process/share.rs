//! How the slots of a service's targets are shared among entries.

/// This entry's place among the entries.
///
/// The slots of a service are numbered through and cut into one run for each entry. An entry uses
/// its own run first, where it knows the load exactly, and runs long work nowhere else. Different
/// views of the entries may let two of them use a slot at a time, which costs latency only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPosition {
    pub rank: u32,
    pub count: u32,
}

impl EntryPosition {
    /// The place by configuration: the number at the end of the entry's name, or a hash.
    pub fn from_name(name: &str, max_entries: u32) -> Self {
        let count = max_entries.max(1);
        let digits = name.trim_start_matches(|char: char| !char.is_ascii_digit());
        let number = digits.rsplit(|char: char| !char.is_ascii_digit()).next();
        let number = number.and_then(|digits| digits.parse::<u32>().ok());
        let hash = || (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) % u64::from(count)) as u32;
        Self { rank: number.unwrap_or_else(hash) % count, count }
    }

    /// How many of each target's slots belong to this entry.
    pub fn reserved_slots(self, slots: &[u32]) -> Vec<u32> {
        let total: u64 = slots.iter().map(|slots| u64::from(*slots)).sum();
        let (rank, count) = (u64::from(self.rank), u64::from(self.count));
        let (start, end) = (rank * total / count, (rank + 1) * total / count);
        let mut first = 0;
        let overlap = |slots: &u32| {
            let last = first + u64::from(*slots);
            let own = end.min(last).saturating_sub(start.max(first));
            first = last;
            own as u32
        };
        slots.iter().map(overlap).collect()
    }
}

/// Slots of a target in which long work may run.
pub fn long_slots(slots: u32) -> u32 {
    slots.saturating_sub(1).max(1)
}
