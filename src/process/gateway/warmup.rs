//! The warm-up of a target, as its registration and its responses state it.

use super::header_names::HeaderNames;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// Longest warm-up in a response; longer ones are ignored.
const MAX_WARMUP: Duration = Duration::from_secs(24 * 60 * 60);
/// Most characters of an invalid value that are quoted in an error.
const MAX_QUOTED_CHARS: usize = 32;

/// End of a target's warm-up, by each source.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    registered_end: Instant,
    /// When the registration was applied.
    registered_at: Instant,
    /// The end by the latest response that states one.
    reported_end: Option<Instant>,
    /// When the request was sent whose response stated it.
    asked_at: Option<Instant>,
}

impl Warmup {
    /// The warm-up of a new target, by its registration.
    pub fn new(remaining: Duration, now: Instant) -> Self {
        Self {
            registered_end: now + remaining,
            registered_at: now,
            reported_end: None,
            asked_at: None,
        }
    }

    /// Records the warm-up in a newer registration. It does not end a warm-up that a response has
    /// stated, because the directory may deliver it seconds after it was written.
    pub fn register(&mut self, remaining: Duration, now: Instant) {
        (self.registered_end, self.registered_at) = (now + remaining, now);
    }

    /// Records the warm-up in a response to a request that was sent at `asked_at`.
    ///
    /// It replaces earlier responses, and the registration if that was applied before `asked_at`.
    pub fn report(&mut self, remaining: Duration, asked_at: Instant, now: Instant) {
        if self.asked_at.is_some_and(|last| asked_at < last) {
            return;
        }
        (self.reported_end, self.asked_at) = (Some(now + remaining), Some(asked_at));
        if asked_at >= self.registered_at {
            self.registered_end = self.registered_end.min(now);
        }
    }

    /// Whether the target is warming up.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.registered_end || self.reported_end.is_some_and(|end| now < end)
    }
}

/// Parses the remaining warm-up in a response: the longest of its values. Unusable values are
/// returned as errors.
pub fn parse_warmup(names: &HeaderNames, response: &Answer) -> (Option<Duration>, Vec<Error>) {
    let (mut longest, mut errors) = (None, Vec::new());
    for value in response.headers.get_all(names.warmup) {
        match parse_remaining(names.warmup, value) {
            Ok(remaining) => longest = longest.max(Some(remaining)),
            Err(error) => errors.push(error),
        }
    }
    (longest, errors)
}

/// Parses decimal milliseconds.
fn parse_remaining(name: &str, value: &HeaderValue) -> Result<Duration> {
    let bytes = value.as_bytes();
    let is_number = !bytes.is_empty() && bytes.iter().all(u8::is_ascii_digit);
    let text = value.to_str().ok().filter(|_| is_number);
    let millis = text.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    millis.filter(|remaining| *remaining <= MAX_WARMUP).ok_or_else(|| {
        let text = String::from_utf8_lossy(bytes);
        let quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
        let reason = format!("`{name}`: expected milliseconds of at most 24 h, found `{quoted}`");
        Error::Malformed { reason }
    })
}
