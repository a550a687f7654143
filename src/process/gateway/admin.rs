//! HTTP endpoints for readiness, metrics and status.

use super::sharing::Reader;
use super::Gateway;
use crate::prelude::*;

/// Responds to a request on the admin or the readiness listener.
pub async fn handle(gateway: Rc<Gateway>, call: Call) -> Answer {
    match call.uri.path() {
        "/metrics" => Answer::new(StatusCode::OK, gateway.metrics.render()),
        "/ready" if gateway.is_ready() => Answer::new(StatusCode::OK, "ready"),
        "/ready" => Answer::own(Code::NotReady),
        "/status" => Answer::new(StatusCode::OK, status(&gateway)),
        _ => Answer::new(StatusCode::NOT_FOUND, ""),
    }
}

fn status(gateway: &Gateway) -> String {
    let (settings, now) = (gateway.settings.borrow(), Instant::now());
    let age = gateway.sharing.freshness.borrow().age(now);
    serde_json::json!({
        "name": settings.name,
        "domain": settings.domain,
        "ready": gateway.is_ready(),
        "version": gateway.table().map(|table| table.version),
        "targets": gateway.registry.borrow().len(),
        "directoryAgeMs": age.map(|age| age.as_millis() as u64),
        "reader": match &*gateway.sharing.reader.borrow() {
            Reader::Own => settings.name.clone(),
            Reader::Other { name, .. } => name.clone(),
        },
        "subscribers": gateway.sharing.subscribers.len(),
        "inflight": gateway.shutdown.inflight(),
    })
    .to_string()
}
