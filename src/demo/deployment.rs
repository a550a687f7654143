//! A deployment of an example document on loopback.

use super::Result;
use crate::connection::client::Client;
use crate::edge::http_log::HttpLog;
use crate::edge::log::Log;
use crate::edge::stand_in::host::{bind_loopback, Host};
use crate::edge::stand_in::hosted::{host_platform, host_targets, TargetHost};
use crate::edge::stand_in::service::PlatformService;
use crate::edge::stand_in::target::{StandInTarget, TargetFaults};
use crate::prelude::*;
use crate::process::entry::{self, Entry};
use crate::process::runtime::block_on;
use crate::process::settings::Settings;
use crate::version::document::Document;
use crate::version::overlay::Overlay;
use crate::version::parse::parse;
use crate::version::record::{ConfigRecord, PublishRecord, STREAM};

const ENTRY_COUNT: usize = 3;
/// Retention of the stand-in log.
const RETENTION: Duration = Duration::from_secs(3600);
/// Longest wait until the document is in force on every entry.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which `/ready` of an entry is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a request to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Example document of the Hungarian deployment.
pub const HUNGARY: &str = include_str!("../../examples/hungary.jsonc");
/// Example document of the Spanish deployment.
pub const EBRO: &str = include_str!("../../examples/ebro.jsonc");
/// Time that a stand-in target needs to process a call.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// A running deployment; it is stopped when the value is dropped.
pub struct Deployment {
    pub entries: Vec<SocketAddr>,
    pub admins: Vec<SocketAddr>,
    targets: Vec<TargetHost>,
    _entry_hosts: Vec<Host<()>>,
    _platform: Host<Rc<PlatformService>>,
}

impl Deployment {
    /// Starts a stand-in log, the targets of an example document and entries, and publishes the
    /// document with loopback addresses.
    pub fn start(example: &str) -> Result<Self> {
        let (platform, address) = host_platform(RETENTION)?;
        let document = parse(example)?;
        let mut targets = Vec::new();
        let mut target_addresses = Vec::new();
        for service in &document.services {
            let slots = service.slots as usize;
            let (host, addresses) = host_targets(service.targets.len(), slots, SERVICE_TIME)?;
            targets.push(host);
            target_addresses.push(addresses);
        }
        publish_document(address, with_loopback_targets(example, &document, &target_addresses)?)?;
        let mut deployment = Self {
            entries: Vec::new(),
            admins: Vec::new(),
            targets,
            _entry_hosts: Vec::new(),
            _platform: platform,
        };
        for index in 0..ENTRY_COUNT {
            let target_specs = &document.services[0].targets;
            let domain = target_specs[index % target_specs.len()].domain.clone();
            deployment.start_entry(index, domain, address)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Sets the faults of a target; `service` and `target` are indices in the document.
    pub fn set_faults(&self, service: usize, target: usize, faults: TargetFaults) {
        self.targets[service].with(move |targets| targets[target].set_faults(faults));
    }

    /// Number of idempotency keys whose call ran more than once.
    pub fn duplicate_runs(&self) -> usize {
        let duplicate_runs = |targets: &Vec<Rc<StandInTarget>>| {
            let runs = targets.iter().flat_map(|target| target.runs());
            let mut runs_by_key = std::collections::HashMap::new();
            for (key, count) in runs {
                *runs_by_key.entry(key).or_insert(0) += count;
            }
            runs_by_key.values().filter(|count| **count > 1).count()
        };
        self.targets.iter().map(|host| host.with(duplicate_runs)).sum()
    }

    /// Prints an example request and the metrics URL of each entry as `curl` commands.
    pub fn print_addresses(&self) {
        for (entry, admin) in self.entries.iter().zip(&self.admins) {
            println!("curl -H 'cornellink-workspace: counters' http://{entry}/tickets/1");
            println!("curl http://{admin}/metrics");
        }
    }

    fn start_entry(&mut self, index: usize, domain: String, platform: SocketAddr) -> Result<()> {
        let (sender, receiver) = std::sync::mpsc::channel();
        let host = Host::start(move || async move {
            let (listener, listen) = bind_loopback()?;
            let (admin_listener, admin) = bind_loopback()?;
            let settings = Settings {
                name: format!("entry-{index}"),
                listen,
                admin,
                domain,
                platform,
                peers: None,
                claims: Default::default(),
                retention_ms: RETENTION.as_millis() as u64,
                log: "warn".into(),
                callers: Default::default(),
                shutdown: Default::default(),
            };
            let log: Rc<dyn Log> = Rc::new(HttpLog::new(platform, LOG_TIMEOUT));
            let entry = Rc::new(Entry::new(settings));
            monoio::spawn(entry::run(entry, listener, admin_listener, log));
            let _ = sender.send((listen, admin));
            Ok(())
        })?;
        let (listen, admin) = receiver.recv().map_err(|_| Error::PlatformTimeout)?;
        self.entries.push(listen);
        self.admins.push(admin);
        self._entry_hosts.push(host);
        Ok(())
    }

    fn wait_ready(&self) -> Result<()> {
        let admins = self.admins.clone();
        block_on(async move {
            let deadline = Instant::now() + READY_TIMEOUT;
            for admin in admins {
                let client = Client::new(admin, READY_TIMEOUT);
                let call = Call::new(Method::GET, Uri::from_static("/ready"));
                while client.call(&call).await?.status != StatusCode::OK {
                    if Instant::now() > deadline {
                        return Err(Error::PlatformTimeout);
                    }
                    monoio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
            Ok(())
        })?
    }
}

fn publish_document(platform: SocketAddr, text: String) -> Result<()> {
    block_on(async move {
        let record = ConfigRecord::Publish(PublishRecord {
            format: 1,
            environment: "trial".into(),
            author: "demo".into(),
            nonce: 1,
            replaces: 0,
            text,
        });
        let log = HttpLog::new(platform, LOG_TIMEOUT);
        log.append(STREAM, vec![record.encode()]).await.map(|_| ())
    })?
}

/// Returns the example's text with loopback addresses as the addresses of its targets.
fn with_loopback_targets(
    example: &str,
    document: &Document,
    targets: &[Vec<SocketAddr>],
) -> Result<String> {
    let services = document.services.iter().zip(targets).map(|(service, addresses)| {
        let targets = service.targets.iter().zip(addresses).map(
            |(spec, address)| serde_json::json!({ "address": address, "domain": spec.domain }),
        );
        serde_json::json!({ "name": service.name, "targets": targets.collect::<Vec<_>>() })
    });
    let overlay = serde_json::json!({
        "environment": document.environment,
        "services": services.collect::<Vec<_>>(),
    });
    Overlay::parse(&overlay.to_string())?.apply(example)
}
