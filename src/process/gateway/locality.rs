//! Decides when a call may leave its failure domain.
//!
//! Bytes between domains are slower and cost money, in proportion to the size of the response; what a
//! call gains by leaving depends on how long it would wait at home. A call whose responses are small
//! leaves as soon as no local target suits it. The larger they are, the longer a call waits for a
//! local target, at most for a part of its search, so that the wait stays within its objective.

/// Size of responses up to which a call does not wait for a local target.
const SMALL_RESPONSE_BYTES: f64 = 8.0 * 1024.0;
/// Size of responses at which a call waits for a local target as long as it may.
const LARGE_RESPONSE_BYTES: f64 = 64.0 * 1024.0;
/// Largest part of its search for which a call waits for a local target.
const MAX_HOME_RATIO: f64 = 0.6;

/// Where a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Only to targets of the entry's own failure domain, if it has any.
    Local,
    All,
}

impl Reach {
    /// The reach of a call whose route has responses of `response_bytes` on average, `None` if that is
    /// not known yet, after the part `search_ratio` of its search.
    pub fn new(response_bytes: Option<f64>, search_ratio: f64) -> Self {
        let span = LARGE_RESPONSE_BYTES - SMALL_RESPONSE_BYTES;
        let excess = response_bytes.unwrap_or_default() - SMALL_RESPONSE_BYTES;
        let home_ratio = (excess / span).clamp(0.0, 1.0) * MAX_HOME_RATIO;
        match search_ratio < home_ratio {
            true => Self::Local,
            false => Self::All,
        }
    }
}
