//! The platform's HTTP services over a log in memory.

use std::collections::HashMap;

use super::log::MemoryLog;
use crate::edge::log::Log;
use crate::edge::vms::Vm;
use crate::edge::wire::{self, AppendRequest, AppendResponse, ReadResponse, VmEntry};
use crate::prelude::*;

/// The log and the list of VMs behind one address.
pub struct PlatformService {
    pub log: Rc<MemoryLog>,
    vms: RefCell<Vec<Vm>>,
    is_cut: Cell<bool>,
}

impl PlatformService {
    /// Creates the service.
    pub fn new(log: Rc<MemoryLog>) -> Self {
        Self { log, vms: RefCell::default(), is_cut: Cell::new(false) }
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.vms.replace(vms);
    }

    /// Cuts those who use this address off from the log, or heals the cut.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.set(is_cut);
    }

    /// Answers one request of the platform's protocol.
    pub async fn handle(self: Rc<Self>, call: Call) -> Answer {
        let path = call.uri.path().to_owned();
        if path == "/vms" {
            let entries: Vec<VmEntry> = self.vms.borrow().iter().map(VmEntry::from).collect();
            return json(&entries);
        }
        if self.is_cut.get() {
            return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "the log is out of reach");
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
            Ok(offset) => json(&AppendResponse { offset }),
            Err(error) => unavailable(&error),
        }
    }

    async fn read(&self, stream: &str, query: &str) -> Answer {
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| fields.get(name).and_then(|value| value.parse::<u64>().ok());
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        match self.log.read(stream, number("from").unwrap_or(0), wait).await {
            Ok(page) => json(&ReadResponse::from(&page)),
            Err(error) => unavailable(&error),
        }
    }
}

fn json<T: serde::Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::new(StatusCode::OK, body),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn unavailable(error: &Error) -> Answer {
    Answer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
}
