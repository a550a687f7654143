//! HTTP service of the platform, backed by an in-memory log.

use std::collections::HashMap;

use super::log::MemoryLog;
use crate::edge::log::Log;
use crate::edge::vms::Vm;
use crate::edge::wire::{self, AppendRequest, AppendResponse, ReadResponse, VmEntry};
use crate::prelude::*;

/// Serves the log and the list of VMs at one address.
pub struct PlatformService {
    pub log: Rc<MemoryLog>,
    vms: RefCell<Vec<Vm>>,
    log_unreachable: Cell<bool>,
}

impl PlatformService {
    /// Creates a service with an empty list of VMs.
    pub fn new(log: Rc<MemoryLog>) -> Self {
        Self { log, vms: RefCell::default(), log_unreachable: Cell::new(false) }
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.vms.replace(vms);
    }

    /// Sets whether the log is unreachable through this service; the list of VMs stays available.
    pub fn set_log_unreachable(&self, log_unreachable: bool) {
        self.log_unreachable.set(log_unreachable);
    }

    /// Handles one request of the platform's protocol.
    pub async fn handle(self: Rc<Self>, call: Call) -> Answer {
        let path = call.uri.path().to_owned();
        if path == "/vms" {
            let entries: Vec<VmEntry> = self.vms.borrow().iter().map(VmEntry::from).collect();
            return json_response(&entries);
        }
        if self.log_unreachable.get() {
            return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "the log is unreachable");
        }
        let Some(stream) = path.strip_prefix("/streams/") else {
            return Answer::new(StatusCode::NOT_FOUND, "");
        };
        match call.method {
            Method::GET => self.read(stream, call.uri.query().unwrap_or_default()).await,
            Method::POST => self.append(stream, &call.body).await,
            _ => Answer::new(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    async fn append(&self, stream: &str, body: &[u8]) -> Answer {
        let Ok(request) = serde_json::from_slice::<AppendRequest>(body) else {
            return Answer::new(StatusCode::BAD_REQUEST, "");
        };
        let values = request.values.iter().map(|value| wire::decode(value));
        let Ok(values) = values.collect::<Result<Vec<_>, _>>() else {
            return Answer::new(StatusCode::BAD_REQUEST, "");
        };
        match self.log.append(stream, values).await {
            Ok(offset) => json_response(&AppendResponse { offset }),
            Err(error) => unavailable(&error),
        }
    }

    async fn read(&self, stream: &str, query: &str) -> Answer {
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| fields.get(name).and_then(|value| value.parse::<u64>().ok());
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        match self.log.read(stream, number("from").unwrap_or(0), wait).await {
            Ok(page) => json_response(&ReadResponse::from(&page)),
            Err(error) => unavailable(&error),
        }
    }
}

fn json_response<T: serde::Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::new(StatusCode::OK, body),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn unavailable(error: &Error) -> Answer {
    Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
}
