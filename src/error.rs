//! The error type of the library.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;

use crate::version::check::problem::Problem;

/// An error other than a call's result code, which is a [`Code`](crate::code::Code).
#[derive(Debug)]
pub enum Error {
    /// An address could not be bound.
    Bind { address: SocketAddr, source: io::Error },
    /// A connection could not be opened.
    Connect { address: SocketAddr, source: io::Error },
    /// A connection failed after it was opened.
    Connection { reason: String },
    /// An outcome file, a trace or a report is invalid.
    Document { problems: Vec<String> },
    /// A file could not be read or written.
    File { path: String, source: io::Error },
    /// A key or a certificate cannot be used.
    Key { reason: String },
    /// A peer sent a message that violates the protocol.
    Malformed { reason: String },
    /// A document, overlay or settings file does not match its schema.
    Invalid { problems: Vec<Problem> },
    /// The platform sent a response that violates its protocol.
    Platform { reason: String },
    /// The platform did not respond in time.
    PlatformTimeout,
    /// The async runtime could not be created.
    Runtime { source: io::Error },
    /// The signal handlers could not be installed.
    Signal { source: io::Error },
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, source } => write!(f, "cannot bind `{address}`: {source}"),
            Self::Connect { address, source } => {
                write!(f, "cannot connect to `{address}`: {source}")
            }
            Self::Connection { reason } => write!(f, "connection failed: {reason}"),
            Self::Document { problems } => write!(f, "{}", problems.join("\n")),
            Self::File { path, source } => write!(f, "cannot access `{path}`: {source}"),
            Self::Key { reason } => write!(f, "cannot use the keys: {reason}"),
            Self::Malformed { reason } => write!(f, "malformed message: {reason}"),
            Self::Invalid { problems } => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::Platform { reason } => write!(f, "unexpected answer of the platform: {reason}"),
            Self::PlatformTimeout => write!(f, "the platform did not answer in time"),
            Self::Runtime { source } => write!(f, "cannot build the runtime: {source}"),
            Self::Signal { source } => write!(f, "cannot catch signals: {source}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. }
            | Self::Connect { source, .. }
            | Self::File { source, .. }
            | Self::Runtime { source }
            | Self::Signal { source } => Some(source),
            Self::Connection { .. }
            | Self::Document { .. }
            | Self::Key { .. }
            | Self::Malformed { .. }
            | Self::Invalid { .. }
            | Self::Platform { .. }
            | Self::PlatformTimeout => None,
        }
    }
}
