//! Runs a gateway from its start to its end.

use monoio::net::TcpListener;

use super::header_names::HeaderNames;
use super::reload;
use super::settings::GatewaySettings;
use super::sharing::loads::{self, LoadSocket};
use super::sharing::{publish, subscribe};
use super::{admin, follower, Gateway};
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::server;
use crate::connection::tasks::Tasks;
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::caller_server::CallerServer;
use crate::process::shutdown::{ReloadSignals, ShutdownSignals};
use crate::process::Result;
use crate::request::relay;

/// Descriptors that are not left to callers: connections to targets, listeners and files.
const OTHER_DESCRIPTORS: u64 = 800;

/// Serves callers until a signal asks for the end; `path` names the settings file.
pub async fn serve(
    path: String,
    settings: GatewaySettings,
    header_names: HeaderNames,
    directory: Rc<dyn Directory>,
) -> Result<()> {
    let (signals, hangups) = (ShutdownSignals::catch()?, ReloadSignals::catch()?);
    let listener = server::bind(settings.listen)?;
    let ready = server::bind(settings.ready)?;
    // Callers are served even if nobody can look at the metrics.
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
    if let Some(record) = record(&gateway) {
        let listener = server::bind(record.address)?;
        background.spawn(publish::serve(gateway.clone(), listener));
        match LoadSocket::bind(record.address) {
            Ok(socket) => background.spawn(loads::share(gateway.clone(), socket)),
            // Each entry then knows only what it has asked itself.
            Err(error) => log::error!(error:% = error; "readings are not shared"),
        }
        background.spawn(subscribe::run(gateway.clone(), directory.clone(), record));
    }
    background.spawn(follower::follow(gateway.clone(), directory));
    background.spawn(reload::watch(gateway.clone(), path, hangups));
    let state = gateway.clone();
    background.spawn(async move {
        signals.received().await;
        log::info!(inflight = state.shutdown.inflight(); "entry stopping");
        state.shutdown.request();
    });
    callers(&gateway, listener).serve().await;
    background.stop();
    background.join().await;
    gateway.probes.stop();
    gateway.probes.join().await;
    log::info!("entry stopped");
    Ok(())
}

/// How this entry is listed, if it shares what it reads.
fn record(gateway: &Gateway) -> Option<EntryRecord> {
    let settings = gateway.settings.borrow();
    let address = settings.share?;
    Some(EntryRecord {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        address,
        link_mbps: settings.link_mbps as u32,
    })
}

fn callers(gateway: &Rc<Gateway>, listener: TcpListener) -> CallerServer {
    let settings = gateway.settings.borrow();
    let state = gateway.clone();
    CallerServer {
        listener,
        limits: gateway.limits.clone(),
        memory: Rc::new(MemoryBudget::new(settings.calls_memory())),
        max_connections: settings.descriptors.saturating_sub(OTHER_DESCRIPTORS).max(64) as usize,
        close_delay: settings.accept_time(),
        shutdown_timeout: settings.end_time(),
        shutdown: gateway.shutdown.clone(),
        handler: Rc::new(move |call| Box::pin(relay::relay(state.clone(), call))),
        open_count: Rc::default(),
        tasks: Tasks::default(),
    }
}
