//! Logs as JSON lines.

use std::io::Write;

use env_logger::Target;
use log::kv::{Key, Value, VisitSource};

use super::log_writer::LogWriter;

/// Starts logging at a level such as `info`.
pub fn init(level: &str) {
    start(env_logger::Builder::new(), level);
}

/// Starts logging to the standard output, without ever waiting for its reader.
pub fn init_stdout(level: &str) -> LogWriter {
    let writer = LogWriter::start(std::io::stdout());
    let mut builder = env_logger::Builder::new();
    builder.target(Target::Pipe(Box::new(writer.clone())));
    start(builder, level);
    writer
}

fn start(mut builder: env_logger::Builder, level: &str) {
    builder.parse_filters(level);
    builder.format(|buffer, record| {
        let mut line = Line::default();
        line.insert("time", buffer.timestamp_millis().to_string());
        line.insert("level", record.level().as_str().to_lowercase());
        line.insert("message", record.args().to_string());
        let _ = record.key_values().visit(&mut line);
        writeln!(buffer, "{}", serde_json::Value::Object(line.fields))
    });
    // A second call in one process, as in tests, keeps the first logger.
    let _ = builder.try_init();
}

#[derive(Default)]
struct Line {
    fields: serde_json::Map<String, serde_json::Value>,
}

impl Line {
    fn insert(&mut self, key: &str, value: String) {
        self.fields.insert(key.into(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.fields.insert(key.as_str().into(), value);
        Ok(())
    }
}
