//! The records that a reader without a base keeps until a renewal gives it one.

use std::collections::VecDeque;

use super::record::PublishRecord;

/// Most bytes of documents that a run keeps. Without its oldest records a run accepts fewer
/// renewals as a base, never a wrong one.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Publications without a gap between them and the reader's position.
#[derive(Default)]
pub struct Run {
    /// Offset from which on the reader has seen every record.
    start: u64,
    bytes: usize,
    publications: VecDeque<(u64, PublishRecord)>,
}

impl Run {
    /// Starts a run at an offset.
    pub fn new(start: u64) -> Self {
        Self { start, ..Self::default() }
    }

    /// Adds a publication.
    pub fn push(&mut self, offset: u64, publish: PublishRecord) {
        self.bytes += publish.text.len();
        self.publications.push_back((offset, publish));
        while self.bytes > MAX_BYTES {
            let Some((offset, dropped)) = self.publications.pop_front() else { return };
            self.bytes -= dropped.text.len();
            self.start = offset + 1;
        }
    }

    /// The publications after `through`, if the reader has seen every offset after it.
    pub fn after(&self, through: u64) -> Option<Vec<(u64, PublishRecord)>> {
        if self.start > through + 1 {
            return None;
        }
        let later = self.publications.iter().filter(|(offset, _)| *offset > through);
        Some(later.cloned().collect())
    }
}
