//! Reasons for rejecting a message.

/// Why a message could not be read or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body, or the overhead of its chunks, exceeds `Limits::body_bytes`.
    BodyTooLarge,
    /// The connection was closed or unusable before the next message began, or failed while a call
    /// was written.
    Closed,
    /// The head cannot be parsed, or the end of the message is ambiguous or malformed.
    Framing,
    /// The head exceeds `Limits::head_bytes`.
    HeadTooLarge,
    /// The memory budget that the connection shares with others is exhausted.
    NoMemory,
    /// The head or the body did not arrive within its timeout.
    TooSlow,
    /// The connection ended within a message.
    Truncated,
}

/// An exchange that failed without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    pub fault: Fault,
    /// Whether the kernel may have accepted a byte of the request.
    pub maybe_sent: bool,
}
