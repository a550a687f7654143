//! Follows the stream `config`.

use super::entry::Entry;
use crate::platform::log::Log;
use crate::prelude::*;
use crate::version::history::{History, Verdict};
use crate::version::record::STREAM;
use crate::version::revision::Revision;

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Applies records until the task is dropped.
pub async fn follow(entry: Rc<Entry>, log: Rc<dyn Log>) {
    let mut history = History::default();
    loop {
        let page = match log.read(STREAM, history.next(), READ_WAIT).await {
            Ok(page) => page,
            Err(error) => {
                log::warn!("cannot read the stream `config`: {error}");
                monoio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        for record in page.records {
            let verdict = history.apply(record.offset, &record.value);
            log::info!("record `{}` of `config`: {verdict:?}", record.offset);
            if verdict == Verdict::Accepted {
                correct(&entry, history.current());
            }
        }
    }
}

/// Puts the log's revision in force, unless a peer gave a later one that the log has not shown yet.
fn correct(entry: &Entry, accepted: Option<Rc<Revision>>) {
    let number = |revision: &Option<Rc<Revision>>| revision.as_ref().map(|one| one.number);
    if number(&entry.revision()) <= number(&accepted) {
        entry.set_revision(accepted);
    }
}
