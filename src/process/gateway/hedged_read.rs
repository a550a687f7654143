//! Hedged reads of the directory: a second read is sent when the response to the first is overdue.
//!
//! A read may be lost with its connection, or wait at a directory that has dropped it. Before such
//! a read times out, all entries that get their updates from this one would read the directory
//! themselves.

use std::pin::pin;

use crate::edge::directory::{Directory, Feed, ReadOutcome};
use crate::edge::position::Position;
use crate::edge::Result;
use crate::prelude::*;

/// Reads the changes from `from` on, waiting up to `wait` for the first one. If there is no
/// response `slack` later, a second read fetches the changes that exist by then; the first success
/// counts.
pub async fn read(
    directory: &dyn Directory,
    feed: Feed,
    from: Position,
    wait: Duration,
    slack: Duration,
) -> Result<ReadOutcome> {
    let mut first = pin!(directory.changes(feed, from, wait));
    monoio::select! {
        result = &mut first => return result,
        () = monoio::time::sleep(wait + slack) => {}
    }
    log::info!(feed = feed.name(), from = from.offset; "response overdue, sending a second read");
    let mut second = pin!(directory.changes(feed, from, Duration::ZERO));
    let (result, is_first) = monoio::select! {
        result = &mut first => (result, true),
        result = &mut second => (result, false),
    };
    match result {
        Ok(read) => Ok(read),
        Err(_) if is_first => second.await,
        Err(_) => first.await,
    }
}
