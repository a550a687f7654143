//! Runs a gateway process from start to shutdown.

use monoio::net::TcpListener;

use super::header_names::HeaderNames;
use super::reload;
use super::settings::GatewaySettings;
use super::sharing::loads::{self, LoadSocket};
use super::sharing::{publish, subscribe};
use super::{admin, follower, quota, Gateway};
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::server;
use crate::connection::tasks::Tasks;
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::caller_server::{CallService, CallerServer};
use crate::process::running_call::Overlap;
use crate::process::shutdown::{ReloadSignals, ShutdownSignals};
use crate::process::Result;
use crate::request::relay;

/// File descriptors reserved for connections to targets, listeners and files; the others are for
/// callers.
const RESERVED_DESCRIPTORS: u64 = 800;

/// Counter of calls that started while another one of their connection was not answered yet.
const PIPELINED_COUNTER: &str = "cornellink_calls_pipelined_total";

/// Serves calls until a termination signal arrives. The settings file at `path` is watched for
/// changes.
pub async fn serve(
    path: String,
    settings: GatewaySettings,
    header_names: HeaderNames,
    directory: Rc<dyn Directory>,
) -> Result<()> {
    let (signals, hangups) = (ShutdownSignals::catch()?, ReloadSignals::catch()?);
    let listener = server::bind(settings.listen)?;
    let ready = server::bind(settings.ready)?;
    // CallerServer are served even if the admin address is not available.
    let admin = server::bind(settings.admin)
        .inspect_err(|error| log::error!(error:% = error; "metrics are not served"))
        .ok();
    let gateway = Rc::new(Gateway::new(settings, header_names));
    log::info!(
        name = gateway.settings.borrow().name.as_str(), version = env!("CARGO_PKG_VERSION");
        "entry started"
    );
    let background = Tasks::default();
    for listener in [Some(ready), admin].into_iter().flatten() {
        let state = gateway.clone();
        background.spawn(server::serve(listener, move |call| admin::handle(state.clone(), call)));
    }
    let mut quota_socket = None;
    if let Some(record) = entry_record(&gateway) {
        let listener = server::bind(record.address)?;
        background.spawn(publish::serve(gateway.clone(), listener));
        match LoadSocket::bind(record.address) {
            Ok(socket) => {
                quota_socket = socket.writer().inspect_err(log_unshared).ok();
                background.spawn(loads::share(gateway.clone(), socket));
            }
            // Without the socket, this entry has only the load samples of its own probes.
            Err(error) => log_unshared(&error),
        }
        background.spawn(subscribe::run(gateway.clone(), directory.clone(), record));
    }
    background.spawn(quota::task::run(gateway.clone(), quota_socket));
    background.spawn(follower::follow(gateway.clone(), directory));
    background.spawn(reload::watch(gateway.clone(), path, hangups));
    let state = gateway.clone();
    background.spawn(async move {
        signals.received().await;
        log::info!(inflight = state.shutdown.inflight(); "entry stopping");
        let settings = state.settings.borrow();
        state.shutdown.request(settings.shutdown_delay(), settings.shutdown_limit());
    });
    caller_server(&gateway, listener).serve().await;
    background.stop();
    background.join().await;
    gateway.probe_tasks.stop();
    gateway.probe_tasks.join().await;
    log::info!("entry stopped");
    Ok(())
}

fn log_unshared(error: &Error) {
    log::error!(error:% = error; "load samples are not shared");
}

/// Returns the record under which this entry is listed in the directory, if it shares its reads.
fn entry_record(gateway: &Gateway) -> Option<EntryRecord> {
    let settings = gateway.settings.borrow();
    let address = settings.share?;
    Some(EntryRecord {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        address,
        link_mbps: settings.link_mbps as u32,
    })
}

/// Returns the server for the callers of a gateway.
pub fn caller_server(gateway: &Rc<Gateway>, listener: TcpListener) -> CallerServer {
    let settings = gateway.settings.borrow();
    let (state, routes, metrics) = (gateway.clone(), gateway.clone(), gateway.clone());
    let max_connections =
        (settings.descriptors as u64).saturating_sub(RESERVED_DESCRIPTORS).max(64) as usize;
    let call_memory = settings.call_memory_bytes();
    let service = CallService {
        shutdown: gateway.shutdown.clone(),
        memory: Rc::new(MemoryBudget::for_connections(call_memory, max_connections)),
        handler: Rc::new(move |call| Box::pin(relay::relay(state.clone(), call))),
        overlap: Rc::new(move |call| call_overlap(&routes, call)),
        count_pipelined: Rc::new(move || metrics.metrics.count(PIPELINED_COUNTER)),
    };
    CallerServer {
        listener,
        limits: gateway.limits.clone(),
        max_connections: (settings.descriptors as u64).saturating_sub(RESERVED_DESCRIPTORS).max(64)
            as usize,
        service,
        open_count: Rc::default(),
        tasks: Tasks::default(),
    }
}

/// Calls of an idempotent route may run beside others of their connection.
fn call_overlap(gateway: &Gateway, call: &Call) -> Overlap {
    let host = call.header("host").unwrap_or_default();
    let table = gateway.table();
    match table.as_ref().and_then(|table| table.find(host, call.uri.path())) {
        Some(route) if route.idempotent => Overlap::Allowed,
        Some(_) | None => Overlap::Forbidden,
    }
}
