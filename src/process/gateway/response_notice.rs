//! What a target says in a response about further calls from this entry.

use http::header::RETRY_AFTER;

use super::header_names::HeaderNames;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// Longest time for which a target can turn an entry away.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3600);
/// Most characters of an invalid value that are quoted in an error.
const MAX_QUOTED_CHARS: usize = 32;

/// The notice in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseNotice {
    /// The target shuts down, and must get no further calls.
    pub leaving: bool,
    /// The target must get no call from this entry for this time.
    pub retry_delay: Option<Duration>,
}

impl ResponseNotice {
    /// Parses the notice in a response.
    ///
    /// A response may hold unusable values beside usable ones. Their errors are returned with the
    /// notice, so that the usable values still count.
    pub fn parse(names: &HeaderNames, response: &Answer) -> (Self, Vec<Error>) {
        let mut errors = Vec::new();
        let mut notice = Self::default();
        for value in response.headers.get_all(names.leaving) {
            match parse_leaving(names.leaving, value) {
                Ok(leaving) => notice.leaving |= leaving,
                Err(error) => errors.push(error),
            }
        }
        // On other statuses the field does not say that the target turned the call away.
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            for value in response.headers.get_all(RETRY_AFTER) {
                match parse_retry_delay(value) {
                    Ok(delay) => notice.retry_delay = notice.retry_delay.max(Some(delay)),
                    Err(error) => errors.push(error),
                }
            }
        }
        (notice, errors)
    }
}

fn parse_leaving(name: &str, value: &HeaderValue) -> Result<bool> {
    match value.as_bytes() {
        b"1" => Ok(true),
        b"0" => Ok(false),
        _ => Err(unusable(name, "`0` or `1`", value)),
    }
}

/// Parses decimal seconds, with or without a fraction. A date is refused, because the clocks of the
/// target and of this entry may differ.
fn parse_retry_delay(value: &HeaderValue) -> Result<Duration> {
    let invalid = || unusable(RETRY_AFTER.as_str(), "seconds", value);
    let text = value.to_str().map_err(|_| invalid())?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return Err(invalid());
    }
    let seconds: f64 = text.parse().map_err(|_| invalid())?;
    // More digits than a number can hold parse as infinity.
    Ok(Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY_DELAY, |d| d.min(MAX_RETRY_DELAY)))
}

fn unusable(name: &str, expected: &str, value: &HeaderValue) -> Error {
    let text = String::from_utf8_lossy(value.as_bytes());
    let quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    Error::Malformed { reason: format!("`{name}`: expected {expected}, found `{quoted}`") }
}
