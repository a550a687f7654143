//! The Hungarian deployment on loopback.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use super::{part, Result};
use crate::connection::server;
use crate::platform::http_log::HttpLog;
use crate::platform::log::Log;
use crate::platform::stand_in::log::MemoryLog;
use crate::platform::stand_in::service::PlatformService;
use crate::platform::stand_in::target::StandInTarget;
use crate::prelude::*;
use crate::process::entry::{self, Entry};
use crate::process::settings::Settings;
use crate::version::record::{ConfigRecord, PublishRecord, STREAM};

/// Number of entries.
const ENTRIES: usize = 3;
/// Failure domains of the region.
const DOMAINS: [&str; 3] = ["budapest-a", "budapest-b", "budapest-c"];
/// Retention of the stand-in log.
const RETENTION: Duration = Duration::from_secs(3600);
/// Longest wait for the document to be in force on every entry.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Services, path prefixes and numbers of targets.
const SERVICES: [(&str, &str, usize); 3] =
    [("ticket-desk", "/tickets", 10), ("job-booking", "/jobs", 6), ("stock", "/stock", 12)];

type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Addresses of the parts, and what the targets ran.
pub struct Deployment {
    pub entries: Vec<SocketAddr>,
    pub admins: Vec<SocketAddr>,
    runs: Runs,
}

impl Deployment {
    /// Starts all parts and publishes the document.
    pub fn start() -> Result<Self> {
        let runs = Runs::default();
        let platform = part::start(|ready| async move {
            let log = Rc::new(MemoryLog::new(RETENTION));
            let service = Rc::new(PlatformService::new(log));
            let bound = bind();
            let listener = match bound {
                Ok((listener, address)) => {
                    let _ = ready.send(Ok(address));
                    listener
                }
                Err(error) => {
                    let _ = ready.send(Err(error));
                    return;
                }
            };
            server::serve(listener, move |call| service.clone().handle(call)).await;
        })?;
        let targets = start_targets(runs.clone())?;
        publish(platform, document(&targets))?;
        let mut entries = Vec::new();
        let mut admins = Vec::new();
        for index in 0..ENTRIES {
            let (listen, admin) = start_entry(index, platform)?;
            entries.push(listen);
            admins.push(admin);
        }
        let deployment = Self { entries, admins, runs };
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Number of keys that ran more than once.
    pub fn doubled(&self) -> usize {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        runs.values().filter(|count| **count > 1).count()
    }

    /// Prints where to send requests.
    pub fn print_addresses(&self) {
        for (entry, admin) in self.entries.iter().zip(&self.admins) {
            println!("curl -H 'cornellink-workspace: north' http://{entry}/tickets/1");
            println!("curl http://{admin}/metrics");
        }
    }

    fn wait_ready(&self) -> Result<()> {
        let admins = self.admins.clone();
        crate::process::runtime::block_on(async move {
            let end = Instant::now() + READY_TIMEOUT;
            for admin in admins {
                let client = crate::connection::client::Client::new(admin, READY_TIMEOUT);
                let call = Call::new(Method::GET, Uri::from_static("/ready"));
                while client.call(&call).await?.status != StatusCode::OK {
                    if Instant::now() > end {
                        return Err(Error::PlatformTimeout);
                    }
                    monoio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            Ok(())
        })?
    }
}

fn bind() -> Result<(monoio::net::TcpListener, SocketAddr)> {
    let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr();
    let address = address.map_err(|error| Error::Connection { reason: error.to_string() })?;
    Ok((listener, address))
}

fn start_targets(runs: Runs) -> Result<Vec<Vec<SocketAddr>>> {
    part::start(move |ready| async move {
        let mut addresses = Vec::new();
        for (_, _, count) in SERVICES {
            let mut service = Vec::new();
            for _ in 0..count {
                let (listener, address) = match bind() {
                    Ok(bound) => bound,
                    Err(error) => {
                        let _ = ready.send(Err(error));
                        return;
                    }
                };
                let target = Rc::new(StandInTarget::new(3, Duration::from_millis(4)));
                let runs = runs.clone();
                monoio::spawn(server::serve(listener, move |call: Call| {
                    let target = target.clone();
                    let runs = runs.clone();
                    async move {
                        if let Some(key) = call.header(crate::request::header::IDEMPOTENCY_KEY) {
                            let mut runs = runs.lock().expect("no holder of the lock panics");
                            *runs.entry(key.into()).or_default() += 1;
                        }
                        target.handle(call).await
                    }
                }));
                service.push(address);
            }
            addresses.push(service);
        }
        let _ = ready.send(Ok(addresses));
        std::future::pending::<()>().await;
    })
}

fn start_entry(index: usize, platform: SocketAddr) -> Result<(SocketAddr, SocketAddr)> {
    part::start(move |ready| async move {
        let bound = bind().and_then(|caller| Ok((caller, bind()?)));
        let ((listener, listen), (admin_listener, admin)) = match bound {
            Ok(bound) => bound,
            Err(error) => {
                let _ = ready.send(Err(error));
                return;
            }
        };
        let settings = Settings {
            name: format!("entry-{index}"),
            listen,
            admin,
            domain: DOMAINS[index % DOMAINS.len()].into(),
            platform,
            log: "warn".into(),
        };
        let _ = ready.send(Ok((listen, admin)));
        let log: Rc<dyn Log> = Rc::new(HttpLog::new(platform, Duration::from_secs(2)));
        let _ = entry::run(Rc::new(Entry::new(settings)), listener, admin_listener, log).await;
    })
}

fn publish(platform: SocketAddr, text: String) -> Result<()> {
    crate::process::runtime::block_on(async move {
        let record = ConfigRecord::Publish(PublishRecord {
            format: 1,
            environment: "trial".into(),
            author: "demo".into(),
            nonce: 1,
            replaces: 0,
            text,
        });
        let log = HttpLog::new(platform, Duration::from_secs(2));
        log.append(STREAM, vec![record.encode()]).await.map(|_| ())
    })?
}

fn document(targets: &[Vec<SocketAddr>]) -> String {
    let services = SERVICES.iter().zip(targets).map(|((name, prefix, _), targets)| {
        let targets = targets.iter().enumerate().map(|(index, address)| {
            serde_json::json!({ "address": address, "domain": DOMAINS[index % DOMAINS.len()] })
        });
        serde_json::json!({
            "name": name,
            "prefix": prefix,
            "slots": 3,
            "connections": 200,
            "queue": 200,
            "probePercent": 1.0,
            "probeCostMs": 6,
            "classes": [
                { "name": "lookup", "methods": ["GET"], "prefix": "/", "deadlineMs": 1000,
                  "idempotent": true },
                { "name": "booking", "methods": ["POST"], "prefix": "/", "deadlineMs": 2000,
                  "idempotent": false },
            ],
            "targets": targets.collect::<Vec<_>>(),
        })
    });
    let document = serde_json::json!({
        "format": 1,
        "environment": "trial",
        "maxEntries": 16,
        "workspaces": [
            { "name": "north", "weight": 1, "retryPercent": 10.0 },
            { "name": "south", "weight": 1, "retryPercent": 10.0 },
        ],
        "services": services.collect::<Vec<_>>(),
    });
    document.to_string()
}
