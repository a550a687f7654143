//! Log lines on their way to a reader that is too slow.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cornellink::process::log_writer::LogWriter;

/// An output that takes a line only while it is open.
#[derive(Clone, Default)]
struct Gate {
    open: Arc<Mutex<bool>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while !*self.open.lock().unwrap() {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against calls that wait for a reader of the log, and against lines that are lost
/// without a word.
#[test]
fn full_queue_drops_lines_and_counts_them() {
    let gate = Gate::default();
    let mut writer = LogWriter::start(gate.clone());

    let start = Instant::now();
    for number in 0..20_000 {
        writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    let blocked = start.elapsed();
    let dropped = writer.dropped();
    *gate.open.lock().unwrap() = true;
    writer.flush_within(Duration::from_secs(5));

    assert!(blocked < Duration::from_secs(2), "{blocked:?}");
    assert!((15_000..20_000).contains(&dropped), "{dropped}");
    let text = String::from_utf8(gate.written.lock().unwrap().clone()).unwrap();
    let lines = text.lines().filter(|line| line.starts_with("line ")).count() as u64;
    assert_eq!(lines + dropped, 20_000);
    assert!(text.contains(&format!("\"dropped\":{dropped}")), "{dropped}");
}
