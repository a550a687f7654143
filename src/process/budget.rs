//! The retry budget of a workspace.

/// Retries that may be saved up, so that a long quiet time does not allow a burst of retries.
const MAX_SAVED: f64 = 20.0;

/// Retries earned by first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// Counts a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: f64) {
        self.saved = (self.saved + percent / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry; false when the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
