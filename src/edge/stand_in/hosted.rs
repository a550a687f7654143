//! Starts stand-ins of the platform and of targets that serve on loopback.

use super::host::{bind_loopback, Host};
use super::log::MemoryLog;
use super::service::PlatformService;
use super::target::StandInTarget;
use crate::connection::server;
use crate::edge::Result;
use crate::prelude::*;

/// Targets on one thread.
pub type TargetHost = Host<Vec<Rc<StandInTarget>>>;

/// Platform services at several addresses, on one thread.
pub type PlatformsHost = Host<Vec<Rc<PlatformService>>>;

/// Starts a platform service with its own log and returns its address.
pub fn host_platform(retention: Duration) -> Result<(Host<Rc<PlatformService>>, SocketAddr)> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let host = Host::start(move || async move {
        let (listener, address) = bind_loopback()?;
        let service = Rc::new(PlatformService::new(Rc::new(MemoryLog::new(retention))));
        let handler = service.clone();
        monoio::spawn(server::serve(listener, move |call| handler.clone().handle(call)));
        let _ = sender.send(address);
        Ok(service)
    })?;
    let address = receiver.recv().map_err(|_| Error::PlatformTimeout)?;
    Ok((host, address))
}

/// Starts several platform services that share one log, so that a test can make the log
/// unreachable for the clients of one address.
pub fn host_platforms(
    count: usize,
    retention: Duration,
) -> Result<(PlatformsHost, Vec<SocketAddr>)> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let host = Host::start(move || async move {
        let log = Rc::new(MemoryLog::new(retention));
        let mut services = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (listener, address) = bind_loopback()?;
            let service = Rc::new(PlatformService::new(log.clone()));
            let handler = service.clone();
            monoio::spawn(server::serve(listener, move |call| handler.clone().handle(call)));
            services.push(service);
            addresses.push(address);
        }
        let _ = sender.send(addresses);
        Ok(services)
    })?;
    let addresses = receiver.recv().map_err(|_| Error::PlatformTimeout)?;
    Ok((host, addresses))
}

/// Starts `count` targets on one thread and returns their addresses; `service_time` applies to
/// calls that name none.
pub fn host_targets(
    count: usize,
    slots: usize,
    service_time: Duration,
) -> Result<(TargetHost, Vec<SocketAddr>)> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let host = Host::start(move || async move {
        let mut targets = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (listener, address) = bind_loopback()?;
            let target = Rc::new(StandInTarget::new(slots, service_time));
            let handler = target.clone();
            monoio::spawn(server::serve(listener, move |call| handler.clone().handle(call)));
            targets.push(target);
            addresses.push(address);
        }
        let _ = sender.send(addresses);
        Ok(targets)
    })?;
    let addresses = receiver.recv().map_err(|_| Error::PlatformTimeout)?;
    Ok((host, addresses))
}
