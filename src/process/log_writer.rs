//! Writes log lines on a separate thread, so that a slow reader of the log never blocks a call.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines queued for writing; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Maximum number of lines per write.
const MAX_BATCH_LINES: usize = 256;
/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Counters shared by the senders and the writing thread.
#[derive(Debug, Default)]
struct LineCounts {
    /// Lines that are queued or being written.
    pending: AtomicUsize,
    /// Lines dropped since the last report of dropped lines.
    dropped: AtomicU64,
}

/// Queues lines for the writing thread; never blocks.
#[derive(Clone, Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl LogWriter {
    /// Starts the writing thread, which runs until the process ends or all senders are dropped.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(LineCounts::default());
        let shared = counts.clone();
        // If the thread cannot be started, all lines are dropped, as the channel has no receiver.
        let _ = thread::Builder::new().name("log".into()).spawn(move || {
            write_lines(output, &receiver, &shared);
        });
        Self { lines, counts }
    }

    /// Number of dropped lines that are not yet reported in the log.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written, at most for `timeout`.
    pub fn flush_within(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.counts.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.pending.fetch_add(1, Ordering::AcqRel);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.pending.fetch_sub(1, Ordering::AcqRel);
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        // Without this limit, a steady stream of lines would extend the batch forever and nothing
        // would be written.
        while count < MAX_BATCH_LINES {
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
        // The error of a closed output cannot be reported: the log is that output.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        counts.pending.fetch_sub(count, Ordering::AcqRel);
    }
}
