//! A caller's HTTP request.

use crate::prelude::*;

/// A complete request, as read from a caller and sent to a target.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    /// Creates a call with no headers and an empty body.
    pub fn new(method: Method, uri: Uri) -> Self {
        Self { method, uri, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Returns a header's value, or `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Sets a header. Does nothing if the value is not valid in a header.
    pub fn set_header(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
    }
}
