//! Planned stops of gateways while requests reach them in each stage of the stop.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;

use crate::call::Call;
use crate::fixture::arrival::{sleep_until, Arrival};
use crate::fixture::back_end::LONG_SUFFIX;
use crate::fixture::process::{Caller, Gateway};
use crate::fixture::LASTING_KEY;

/// Requests of each way of arrival at one stop.
const REQUESTS: u64 = 8;
/// Time after the signal in which the requests are sent, nearly the whole grace period.
const SPAN_MS: u64 = 2600;

/// Sends SIGTERM to a gateway, and long requests to it until the end of its grace period.
pub fn stop(gateway: &Gateway, name: &str, rng: &mut SmallRng) -> Vec<Call> {
    let callers: Vec<_> = Arrival::ALL
        .into_iter()
        .flat_map(|arrival| (0..REQUESTS).map(move |number| (arrival, number)))
        .map(|(arrival, number)| {
            let id = format!("{name}-{arrival:?}-{number}{LONG_SUFFIX}").to_lowercase();
            let kept = matches!(arrival, Arrival::Kept).then(|| keep_connection(gateway, &id));
            (arrival, id, kept.flatten(), Duration::from_millis(rng.random_range(0..SPAN_MS)))
        })
        .collect();
    let (listen, start) = (gateway.listen, Instant::now());
    gateway.signal("TERM");
    let threads = callers.into_iter().map(|(arrival, id, kept, after)| {
        thread::spawn(move || {
            let sent = start + after;
            let status = arrival.send(&id, kept, listen, sent);
            let (gateway, ended) = (listen, Instant::now());
            let key = LASTING_KEY.into();
            let (code, is_safe, misdirected) = (None, false, false);
            Call { id, key, gateway, sent, ended, status, code, is_safe, misdirected }
        })
    });
    let threads: Vec<_> = threads.collect();
    sleep_until(start + Duration::from_millis(SPAN_MS));
    threads.into_iter().map(|thread| thread.join().expect("callers do not panic")).collect()
}

/// A connection that has carried a request.
fn keep_connection(gateway: &Gateway, id: &str) -> Option<Caller> {
    let mut caller = Caller::connect(gateway.listen)?;
    caller.send_request(&format!("first-{id}").replace(LONG_SUFFIX, ""));
    caller.read_response()?;
    Some(caller)
}
