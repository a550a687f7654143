//! Checks of string values.

use super::limits::{MAX_NAME_CHARS, MAX_PREFIX_CHARS};
use super::schema::Kind;
use crate::prelude::*;

/// Whether a string is a valid value of a kind.
pub fn accepts_string(kind: &Kind, text: &str) -> bool {
    match kind {
        Kind::Address => text.parse().is_ok_and(|address| is_connectable(&address)),
        Kind::Choice(words) => words.contains(&text),
        Kind::Listen => text.parse::<SocketAddr>().is_ok(),
        Kind::Name => is_name(text),
        Kind::Prefix => is_prefix(text),
        Kind::Text { max } => !text.is_empty() && text.chars().count() <= *max,
        Kind::Boolean
        | Kind::Integer { .. }
        | Kind::List { .. }
        | Kind::Number { .. }
        | Kind::Object(_)
        | Kind::Time { .. } => false,
    }
}

fn is_connectable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_prefix(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    text.starts_with('/') && text.len() <= MAX_PREFIX_CHARS && text.chars().all(is_allowed)
}
