//! Bytes that stay counted in a memory budget while a value lives.

use super::memory_budget::MemoryBudget;
use crate::prelude::*;

/// Counts bytes in a budget until the value is dropped.
#[derive(Default)]
pub struct HeldBytes {
    budget: Option<Rc<MemoryBudget>>,
    bytes: usize,
}

impl HeldBytes {
    /// Counts `bytes` in `budget`.
    pub fn add(budget: Rc<MemoryBudget>, bytes: usize) -> Self {
        budget.add(bytes);
        Self::of_counted(Some(budget), bytes)
    }

    /// Takes over `bytes` that `budget` already counts.
    pub fn of_counted(budget: Option<Rc<MemoryBudget>>, bytes: usize) -> Self {
        Self { budget, bytes }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.release(self.bytes);
        }
    }
}
