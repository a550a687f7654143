//! Buffer of publications that a reader cannot decide before it has a base.

use std::collections::VecDeque;

use super::record::PublishRecord;

/// Maximum size of the buffered documents. Dropping the oldest publications means that fewer
/// renewals can serve as the base, but never a wrong one.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// All publications from an offset to the reader's position, without a gap.
#[derive(Default)]
pub struct PublicationBuffer {
    /// Offset from which on no publication is missing.
    start: u64,
    bytes: usize,
    publications: VecDeque<(u64, PublishRecord)>,
}

impl PublicationBuffer {
    /// Creates an empty buffer that starts at an offset.
    pub fn new(start: u64) -> Self {
        Self { start, ..Self::default() }
    }

    /// Adds a publication and drops the oldest ones beyond the maximum size.
    pub fn push(&mut self, offset: u64, publication: PublishRecord) {
        self.bytes += publication.text.len();
        self.publications.push_back((offset, publication));
        while self.bytes > MAX_BUFFERED_BYTES {
            let Some((offset, dropped)) = self.publications.pop_front() else { return };
            self.bytes -= dropped.text.len();
            self.start = offset + 1;
        }
    }

    /// The publications after `through`, or `None` if some after it may be missing.
    pub fn after(&self, through: u64) -> Option<Vec<(u64, PublishRecord)>> {
        if self.start > through + 1 {
            return None;
        }
        let later = self.publications.iter().filter(|(offset, _)| *offset > through);
        Some(later.cloned().collect())
    }
}
