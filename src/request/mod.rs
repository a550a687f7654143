//! What lives for one request.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod deadline;
pub mod dispatch;
pub mod header;
pub mod holder;
pub mod keyed;
pub mod matched;
pub mod relay;
pub mod relay_attempt;
pub mod retry;
pub mod routed_call;
