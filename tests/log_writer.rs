//! The log writer with an output that is slower than the lines it receives.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cornellink::process::log_writer::LogWriter;

/// An output whose writes block until it is opened.
#[derive(Clone, Default)]
struct GatedOutput {
    is_open: Arc<Mutex<bool>>,
    written: Arc<Mutex<Vec<u8>>>,
    /// Largest number of lines in one write.
    max_lines: Arc<Mutex<u64>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while !*self.is_open.lock().unwrap() {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        let mut max_lines = self.max_lines.lock().unwrap();
        *max_lines = lines.max(*max_lines);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines sent without a pause.
const SENT_LINES: u64 = 20_000;
/// Upper bound on the lines that the writer may hold, in its queue and in the batch being written.
const MAX_HELD_LINES: u64 = 5_000;

/// Sends lines to a writer while its output blocks, then opens the output; returns the written
/// text.
fn flood() -> String {
    let output = GatedOutput::default();
    let mut writer = LogWriter::start(output.clone());
    for number in 0..SENT_LINES {
        writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    *output.is_open.lock().unwrap() = true;
    writer.flush_within(Duration::from_secs(5));
    // Lines dropped after the last batch are reported with the next one.
    writer.write_all(b"end\n").unwrap();
    writer.flush_within(Duration::from_secs(5));
    let written = output.written.lock().unwrap().clone();
    String::from_utf8(written).unwrap()
}

fn line_count(text: &str) -> u64 {
    text.lines().filter(|line| line.starts_with("line ")).count() as u64
}

fn dropped_count(text: &str) -> u64 {
    let counts = text.lines().filter_map(|line| serde_json::from_str(line).ok());
    counts.filter_map(|line: serde_json::Value| line["dropped"].as_u64()).sum()
}

/// Guards against calls that block on a slow reader of the log, and against dropped lines that are
/// not reported.
#[test]
fn full_queue_drops_and_counts_lines_without_blocking() {
    let start = Instant::now();
    let text = flood();

    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert!((1..=MAX_HELD_LINES).contains(&line_count(&text)), "{}", line_count(&text));
    assert_eq!(line_count(&text) + dropped_count(&text), SENT_LINES);
}

/// Guards against a batch without a limit: while lines keep arriving, it would grow beyond the size
/// of the queue.
#[test]
fn queued_lines_are_written_in_bounded_batches() {
    let output = GatedOutput::default();
    let mut writer = LogWriter::start(output.clone());

    for number in 0..SENT_LINES {
        writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    *output.is_open.lock().unwrap() = true;
    writer.flush_within(Duration::from_secs(5));

    let max_lines = *output.max_lines.lock().unwrap();
    assert!((1..=MAX_HELD_LINES / 10).contains(&max_lines), "{max_lines}");
}
