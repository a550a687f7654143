//! Types used by most modules.

pub use std::cell::{Cell, RefCell};
pub use std::net::SocketAddr;
pub use std::rc::Rc;
pub use std::time::{Duration, Instant};

pub use bytes::{Bytes, BytesMut};
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

pub use crate::code::Code;
pub use crate::error::Error;
pub use crate::request::answer::Answer;
pub use crate::request::call::Call;
pub use crate::request::deadline::Deadline;
