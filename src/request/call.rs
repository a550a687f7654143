//! A caller's request.

use crate::prelude::*;

/// A whole request, read from a caller or to be sent to a target.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    /// Creates a call without headers and body.
    pub fn new(method: Method, uri: Uri) -> Self {
        Self { method, uri, headers: HeaderMap::new(), body: Bytes::new() }
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
