//! Names of the HTTP headers exchanged with callers and targets.

/// Number of the result code, set on every response to a caller.
pub const CODE: &str = "cornellink-code";
/// Identifier of the call, written to the logs of the entry and sent to the target.
pub const CALL_ID: &str = "cornellink-call-id";
/// Name of the caller's workspace.
pub const WORKSPACE: &str = "cornellink-workspace";
/// Name of the call's class, set on requests to targets.
pub const CLASS: &str = "cornellink-class";
/// Number of the attempt, starting at 1. A caller that retries a call itself sends its own number.
pub const ATTEMPT: &str = "cornellink-attempt";
/// Time remaining until the call's deadline, in milliseconds.
pub const DEADLINE: &str = "cornellink-deadline-ms";
/// Load reported by a target, as in `running=2,queued=0,slots=3`.
pub const LOAD: &str = "cornellink-load";
/// Reason why a target refused a call before running it.
pub const REFUSED: &str = "cornellink-refused";
/// `1` on the responses of a draining target.
pub const DRAINING: &str = "cornellink-draining";
/// Idempotency key: non-idempotent calls with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time at which the caller issued the key, in Unix milliseconds.
pub const KEY_ISSUED: &str = "cornellink-key-issued";
