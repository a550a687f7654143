//! The numbered result codes. `docs/codes.md` and `cornellink explain` are generated from them.

use http::StatusCode;

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:ident, $text:literal;)+) => {
        /// The outcome of a call, reported to the caller in the header `cornellink-code`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)+];

            /// Returns the HTTP status of responses that the balancer generates with this code.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)+
                }
            }

            /// Returns a short text for the response body and for logs.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns an explanation for operators, taken from the variant's doc comment.
            pub fn explanation(self) -> &'static str {
                match self {
                    $(Self::$name => concat!($($doc, "\n"),+),)+
                }
            }
        }
    };
}

codes! {
    /// A target answered; the status and the body are the target's own.
    Answered = 100, OK, "answered";
    /// An earlier call with this key was answered by a target with this status. The response itself
    /// is not available at this entry.
    AnsweredBefore = 101, OK, "answered before: response not available";
    /// No target of the service can take the call. The call was not run.
    NotRunNoTarget = 201, SERVICE_UNAVAILABLE, "not run: no target";
    /// The call cannot meet its deadline, so it was not sent.
    NotRunDeadline = 202, GATEWAY_TIMEOUT, "not run: deadline";
    /// The queue of the service or the share of the workspace is full.
    NotRunQueueFull = 203, TOO_MANY_REQUESTS, "not run: queue full";
    /// The target refused the call before running it, as its contract allows.
    NotRunRefused = 204, SERVICE_UNAVAILABLE, "not run: refused by target";
    /// No connection to a target could be opened; no byte of the call was sent.
    NotRunConnect = 205, BAD_GATEWAY, "not run: no connection";
    /// The log did not confirm the claim of the idempotency key in time; the call was not sent.
    NotRunClaim = 206, SERVICE_UNAVAILABLE, "not run: claim not possible";
    /// The caller left before the call was sent.
    NotRunCancelled = 207, SERVICE_UNAVAILABLE, "not run: cancelled";
    /// All targets of the service turn calls of this entry away for a time that they have stated.
    NotRunTurnedAway = 208, SERVICE_UNAVAILABLE, "not run: targets turn calls away";
    /// The connection to the target was lost after the call was sent. The call may have run.
    UnknownConnection = 301, BAD_GATEWAY, "outcome unknown: connection lost";
    /// The deadline passed after the call was sent. The call may have run.
    UnknownDeadline = 302, GATEWAY_TIMEOUT, "outcome unknown: deadline";
    /// The target's answer was truncated, malformed or too large. The call may have run.
    UnknownAnswer = 303, BAD_GATEWAY, "outcome unknown: bad answer";
    /// The entry that holds the claim of this key cannot say what became of it.
    UnknownClaim = 304, CONFLICT, "outcome unknown: claim holder gone";
    /// The caller left after the call was sent.
    UnknownCancelled = 305, BAD_GATEWAY, "outcome unknown: cancelled";
    /// The entry's grace period ended before the target answered.
    UnknownShutdown = 306, BAD_GATEWAY, "outcome unknown: entry stopped";
    /// The document has no service for this path.
    RefusedService = 401, NOT_FOUND, "refused: no such service";
    /// The service has no class for this method and path.
    RefusedClass = 402, NOT_FOUND, "refused: no such class";
    /// The document does not name the call's workspace.
    RefusedWorkspace = 403, FORBIDDEN, "refused: no such workspace";
    /// The first call with this key has not ended yet.
    RefusedDuplicate = 404, CONFLICT, "refused: key in use";
    /// The key was issued before the window in which duplicates are recognized, or the time of
    /// issue is not a number.
    RefusedWindow = 405, CONFLICT, "refused: key too old";
    /// The key was used for a call with another method, path or body.
    RefusedMismatch = 406, CONFLICT, "refused: key used for another call";
    /// The call carries no key of a workspace, or one that the configuration does not name.
    RefusedKey = 407, UNAUTHORIZED, "refused: unknown key";
    /// The workspace has used up its quota. The call was not run.
    RefusedQuota = 408, TOO_MANY_REQUESTS, "refused: quota used up";
    /// The head of the call is larger than the limit.
    MalformedHead = 501, REQUEST_HEADER_FIELDS_TOO_LARGE, "malformed: head too large";
    /// The head or the body of the call did not arrive in time.
    MalformedSlow = 502, REQUEST_TIMEOUT, "malformed: too slow";
    /// The head cannot be parsed, or its length fields contradict each other.
    MalformedFraming = 503, BAD_REQUEST, "malformed: framing";
    /// The body is larger than the limit.
    MalformedBody = 504, PAYLOAD_TOO_LARGE, "malformed: body too large";
    /// The connection ended before the whole body arrived.
    MalformedTruncated = 505, BAD_REQUEST, "malformed: truncated body";
    /// No document is in force yet, or the entry is shutting down.
    NotReady = 600, SERVICE_UNAVAILABLE, "not ready";
    /// The entry has as many connections from callers as its settings allow.
    NotReadyConnections = 601, SERVICE_UNAVAILABLE, "not ready: too many connections";
    /// The calls that the entry is reading occupy as much memory as its settings allow.
    NotReadyMemory = 602, SERVICE_UNAVAILABLE, "not ready: too much in memory";
    /// The entry is shutting down, and the call might not end before it stops. The call was not run.
    NotReadyStopping = 603, SERVICE_UNAVAILABLE, "not ready: stopping";
}

impl Code {
    /// Returns the number that is sent in the header `cornellink-code`.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, if there is one.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Whether the code guarantees that the call was not run.
    ///
    /// Refusals because of an idempotency key (404 to 406) give no such guarantee: an earlier call
    /// with the key may have run.
    pub fn is_not_run(self) -> bool {
        matches!(self.number(), 200..=299 | 401..=403 | 407..=408 | 500..=699)
    }

    /// Whether the call may have run but its outcome is unknown.
    pub fn is_unknown(self) -> bool {
        matches!(self.number(), 300..=399)
    }
}
