//! Division of the slots of a service's targets among the entries.

/// This entry's rank among `count` entries, which decides the slots that are reserved for it.
///
/// The slots of all targets of a service are numbered and divided into one contiguous range per
/// entry. An entry uses its own range first, since it knows the load there exactly, and runs long
/// calls nowhere else. Entries that disagree on the list of entries may reserve the same slot,
/// which costs latency only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPosition {
    pub rank: u32,
    pub count: u32,
}

impl EntryPosition {
    /// The position by configuration: the number at the end of the entry's name, or a hash of the
    /// name.
    pub fn from_name(name: &str, max_entries: u32) -> Self {
        let count = max_entries.max(1);
        let suffix = name.trim_start_matches(|char: char| !char.is_ascii_digit());
        let number = suffix.rsplit(|char: char| !char.is_ascii_digit()).next();
        let number = number.and_then(|digits| digits.parse::<u32>().ok());
        let hash = || (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) % u64::from(count)) as u32;
        Self { rank: number.unwrap_or_else(hash) % count, count }
    }

    /// Number of slots of each target that are reserved for this entry.
    pub fn reserved_slots(self, slots: &[u32]) -> Vec<u32> {
        let total: u64 = slots.iter().map(|slots| u64::from(*slots)).sum();
        let (rank, count) = (u64::from(self.rank), u64::from(self.count));
        let (start, end) = (rank * total / count, (rank + 1) * total / count);
        let mut target_start = 0;
        let overlap = |slots: &u32| {
            let target_end = target_start + u64::from(*slots);
            let own = end.min(target_end).saturating_sub(start.max(target_start));
            target_start = target_end;
            own as u32
        };
        slots.iter().map(overlap).collect()
    }
}

/// Number of a target's slots that may run long calls: all but one, and at least one.
pub fn long_slots(slots: u32) -> u32 {
    slots.saturating_sub(1).max(1)
}
