//! Header names of the protocol with callers and targets.

/// Number of the result code, on every answer to a caller.
pub const CODE: &str = "cornellink-code";
/// Identifier of the call, followed through the logs from entry to target.
pub const CALL_ID: &str = "cornellink-call-id";
/// Name of the caller's workspace.
pub const WORKSPACE: &str = "cornellink-workspace";
/// Name of the call's class, sent to the target.
pub const CLASS: &str = "cornellink-class";
/// Number of the attempt, starting at 1.
pub const ATTEMPT: &str = "cornellink-attempt";
/// Remaining time of the call in milliseconds.
pub const DEADLINE: &str = "cornellink-deadline-ms";
/// Load of a target, `running=2,queued=0,slots=3`.
pub const LOAD: &str = "cornellink-load";
/// Reason why a target refused a call before running it.
pub const REFUSED: &str = "cornellink-refused";
/// `1` on the answers of a target that drains.
pub const DRAINING: &str = "cornellink-draining";
/// Key under which a non-idempotent call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time at which the caller issued the key, in Unix milliseconds.
pub const KEY_ISSUED: &str = "cornellink-key-issued";
