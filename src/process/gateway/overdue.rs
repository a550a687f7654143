//! Reads of the directory that are repeated beside the first try when their answer is overdue.
//!
//! A read may be lost with its connection, or wait at a directory that forgets it. The entries that
//! hear its news would all read for themselves before it is given up.

use std::pin::pin;

use crate::edge::directory::{Directory, Feed, Read};
use crate::edge::Result;
use crate::prelude::*;

/// Reads what follows `from`, waiting up to `wait` for the first change. If there is no answer
/// `slack` later, a second read tells what is there.
pub async fn read(
    directory: &dyn Directory,
    feed: Feed,
    from: u64,
    wait: Duration,
    slack: Duration,
) -> Result<Read> {
    let mut first = pin!(directory.changes(feed, from, wait));
    monoio::select! {
        result = &mut first => return result,
        () = monoio::time::sleep(wait + slack) => {}
    }
    log::info!(feed = feed.name(), from; "answer overdue, reading again");
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
