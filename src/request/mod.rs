//! State and logic of a single request: a call, its attempts and its response.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod claim_query;
pub mod deadline;
pub mod dispatch;
pub mod header;
pub mod idempotency_key;
pub mod relay;
pub mod relay_attempt;
pub mod resolved_call;
pub mod retry;
pub mod routed_call;
