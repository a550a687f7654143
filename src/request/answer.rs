//! The answer to a call.

use super::header;
use crate::prelude::*;

/// A whole answer, read from a target or made by the balancer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Creates an answer without headers.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, headers: HeaderMap::new(), body: body.into() }
    }

    /// Creates an answer of the balancer's own.
    pub fn own(code: Code) -> Self {
        let body = serde_json::json!({ "code": code.number(), "text": code.text() }).to_string();
        let mut answer = Self::new(code.status(), body);
        answer.set("content-type", "application/json");
        answer.set_code(code);
        answer
    }

    /// The result code, if the answer carries a known one.
    pub fn code(&self) -> Option<Code> {
        Code::from_number(self.header(header::CODE)?.parse().ok()?)
    }

    /// Sets the result code.
    pub fn set_code(&mut self, code: Code) {
        self.set(header::CODE, &code.number().to_string());
    }

    /// Sets the time after which the caller should come back.
    pub fn set_retry_after(&mut self, pause: Duration) {
        self.set("retry-after", &format!("{:.3}", pause.as_secs_f64()));
    }

    /// A header's value, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Sets a header; an invalid value is left out.
    pub fn set(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
    }
}
