//! Logging as JSON lines.

use std::io::Write;

use env_logger::Target;
use log::kv::{Key, Value, VisitSource};

use super::log_writer::LogWriter;

/// Starts logging to standard error with a filter such as `info`.
pub fn init(filter: &str) {
    install(env_logger::Builder::new(), filter);
}

/// Starts logging to standard output without ever blocking on its reader.
pub fn init_stdout(filter: &str) -> LogWriter {
    let writer = LogWriter::start(std::io::stdout());
    let mut builder = env_logger::Builder::new();
    builder.target(Target::Pipe(Box::new(writer.clone())));
    install(builder, filter);
    writer
}

fn install(mut builder: env_logger::Builder, filter: &str) {
    builder.parse_filters(filter);
    builder.format(|buffer, record| {
        let mut line = LogLine::default();
        line.insert("time", buffer.timestamp_millis().to_string());
        line.insert("level", record.level().as_str().to_lowercase());
        line.insert("message", record.args().to_string());
        let _ = record.key_values().visit(&mut line);
        writeln!(buffer, "{}", serde_json::Value::Object(line.fields))
    });
    // A second call in the same process, as in tests, keeps the first logger.
    let _ = builder.try_init();
}

/// The fields of one log line.
#[derive(Default)]
struct LogLine {
    fields: serde_json::Map<String, serde_json::Value>,
}

impl LogLine {
    fn insert(&mut self, key: &str, value: String) {
        self.fields.insert(key.into(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for LogLine {
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
