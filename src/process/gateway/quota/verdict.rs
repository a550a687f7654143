//! Answers to calls that need a token.

use super::Ticket;
use crate::prelude::*;

/// Whether a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Admitted,
    /// Refused; a call would pass after this time.
    Refused(Duration),
}

/// The first answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Decided(Verdict),
    /// The verdict follows under this ticket.
    Waiting(Ticket),
}
