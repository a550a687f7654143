//! What each entry decided, read from its metrics.

use std::collections::BTreeMap;

use super::Result;
use crate::connection::client::Client;
use crate::prelude::*;
use crate::process::runtime::block_on;

/// Longest wait for an entry's metrics.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Counters that are shown, with the words for them.
const COUNTERS: [(&str, &str); 3] = [
    ("cornellink_calls_total", "calls"),
    ("cornellink_claims_total", "claims"),
    ("cornellink_retries_total", "retries"),
];

/// Counts of one entry by what was decided.
pub type Decisions = BTreeMap<String, u64>;

/// Reads the decisions of the entries at these admin addresses.
pub fn read(admins: &[SocketAddr]) -> Result<Vec<Decisions>> {
    block_on(async {
        let mut all = Vec::new();
        for admin in admins {
            let call = Call::new(Method::GET, Uri::from_static("/metrics"));
            let answer = Client::new(*admin, TIMEOUT).call(&call).await?;
            all.push(parse(&String::from_utf8_lossy(&answer.body)));
        }
        Ok(all)
    })?
}

fn parse(metrics: &str) -> Decisions {
    let mut decisions = Decisions::new();
    for line in metrics.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        let Some((_, word)) = COUNTERS.iter().find(|(counter, _)| *counter == name) else {
            continue;
        };
        let labels = labels.trim_end_matches('}').replace('"', "");
        let count = value.parse().unwrap_or(0);
        decisions.insert(format!("{word} {labels}").trim_end().to_owned(), count);
    }
    decisions
}
