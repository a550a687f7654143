//! Reads the counters of calls, claims and retries from the metrics of each entry.

use std::collections::BTreeMap;

use super::Result;
use crate::connection::client::Client;
use crate::prelude::*;
use crate::process::runtime::block_on;

/// Timeout of a request for an entry's metrics.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Counters that are shown, with their printed names.
const SHOWN_COUNTERS: [(&str, &str); 3] = [
    ("cornellink_calls_total", "calls"),
    ("cornellink_claims_total", "claims"),
    ("cornellink_retries_total", "retries"),
];

/// Counter values of one entry, by printed name and labels.
pub type EntryCounters = BTreeMap<String, u64>;

/// Reads the counters of each entry, in the order of `admins`.
pub fn read(admins: &[SocketAddr]) -> Result<Vec<EntryCounters>> {
    block_on(async {
        let mut counters = Vec::new();
        for admin in admins {
            let call = Call::new(Method::GET, Uri::from_static("/metrics"));
            let response = Client::new(*admin, REQUEST_TIMEOUT).call(&call).await?;
            counters.push(parse(&String::from_utf8_lossy(&response.body)));
        }
        Ok(counters)
    })?
}

fn parse(metrics: &str) -> EntryCounters {
    let mut counters = EntryCounters::new();
    for line in metrics.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        let Some((_, printed_name)) = SHOWN_COUNTERS.iter().find(|(counter, _)| *counter == name)
        else {
            continue;
        };
        let labels = labels.trim_end_matches('}').replace('"', "");
        let count = value.parse().unwrap_or(0);
        counters.insert(format!("{printed_name} {labels}").trim_end().to_owned(), count);
    }
    counters
}
