//! Writes log lines on a thread of their own, so that a slow reader never holds up a call.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written; further ones are dropped and counted.
const MAX_WAITING: usize = 4096;
/// Lines that are written together.
const MAX_BATCH: usize = 256;
/// Pause between two looks whether all lines are written.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// Counts of the lines on their way.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// The sending side.
#[derive(Clone, Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl LogWriter {
    /// Starts the thread, which ends with the process.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = mpsc::sync_channel(MAX_WAITING);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        // Without the thread all lines are dropped, as the channel has no receiver.
        let _ = thread::Builder::new().name("log".into()).spawn(move || {
            write_lines(output, &receiver, &shared);
        });
        Self { lines, counts }
    }

    /// Lines that were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written, but not longer than `limit`.
    pub fn flush_within(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(FLUSH_PAUSE);
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        // Without the bound, lines that keep coming are gathered forever and never written.
        while count < MAX_BATCH {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = serde_json::json!({
                "level": "warn", "message": "log lines dropped", "dropped": dropped,
            });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // A closed output leaves nobody to tell.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        counts.waiting.fetch_sub(count, Ordering::AcqRel);
    }
}
