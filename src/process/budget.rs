//! The retry budget of a workspace, a token bucket that first attempts fill.

/// Limit on saved retries, so that a long time without any does not allow a burst of them.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries that first attempts have earned and that have not been spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceBudget {
    tokens: f64,
}

impl WorkspaceBudget {
    /// Records a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: f64) {
        self.tokens = (self.tokens + percent / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry; returns false if less than one is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
