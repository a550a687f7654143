//! An entry: its shared state, its startup and shutdown, and its admin listener.

use monoio::net::TcpListener;

use super::caller_server::{CallService, CallerServer};
use super::claims::limits::ClaimLimits;
use super::claims::{self, Claims};
use super::config_stream;
use super::configuration::Configuration;
use super::metrics::Metrics;
use super::peers::{mesh, Peers};
use super::permit;
use super::probes::{self, Probes};
use super::recorder::Recorder;
use super::running_call::Overlap;
use super::scheduler::Scheduler;
use super::settings::Settings;
use super::shutdown::{Shutdown, ShutdownSettings, ShutdownSignals};
use super::vm_list;
use super::Result;
use crate::connection::limits::Limits;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::server;
use crate::connection::tasks::Tasks;
use crate::edge::http_log::HttpLog;
use crate::edge::http_vms::HttpVms;
use crate::edge::log::Log;
use crate::edge::vms::Vms;
use crate::prelude::*;
use crate::request::{claim_query, dispatch};
use crate::version::record::ConfigRecord;
use crate::version::revision::Revision;

/// Timeout of an append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading the list of VMs; an entry must notice a draining target within 2 s.
const VMS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout at shutdown for writing the results of claims to the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that the tasks of one entry share.
pub struct Entry {
    pub settings: Settings,
    pub configuration: Configuration,
    pub scheduler: Rc<RefCell<Scheduler>>,
    pub metrics: Rc<Metrics>,
    pub peers: Peers,
    pub claims: Rc<Claims>,
    pub probes: Probes,
    pub recorder: Recorder,
    pub shutdown: Rc<Shutdown>,
    revision: RefCell<Option<Rc<Revision>>>,
    call_count: Cell<u64>,
}

impl Entry {
    pub fn new(settings: Settings) -> Self {
        let response_memory = Rc::new(MemoryBudget::new(settings.callers.memory_limit));
        let scheduler = Scheduler::new(&settings.name, &settings.domain, response_memory);
        let peers = Peers::new(&settings);
        let metrics = Rc::new(Metrics::default());
        let limits = ClaimLimits::new(&settings.claims, settings.retention());
        let claims = Rc::new(Claims::new(&settings.name, limits, metrics.clone()));
        let peer_claims = claims.clone();
        peers.set_claim_handler(Box::new(move |query| claim_query::reply(&peer_claims, query)));
        let probes = Probes::new(&settings.name);
        Self {
            settings,
            configuration: Configuration::default(),
            scheduler: Rc::new(RefCell::new(scheduler)),
            peers,
            metrics,
            claims,
            probes,
            recorder: Recorder::default(),
            shutdown: Rc::default(),
            revision: RefCell::default(),
            call_count: Cell::new(0),
        }
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<Rc<Revision>> {
        self.revision.borrow().clone()
    }

    /// Puts a revision in force and applies its document to the scheduler and the claims.
    pub fn set_revision(&self, revision: Option<Rc<Revision>>) {
        if let Some(revision) = &revision {
            self.scheduler.borrow_mut().apply(&revision.document, Instant::now());
            self.claims.set_entries(revision.document.max_entries);
            self.metrics.set_gauge("cornellink_revision", revision.number as f64);
        }
        self.revision.replace(revision);
    }

    /// Whether the entry accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.revision.borrow().is_some() && !self.shutdown.is_requested()
    }

    /// The address of this entry in the list of VMs.
    pub fn listed_address(&self) -> SocketAddr {
        self.settings.peers.as_ref().map_or(self.settings.listen, |peers| peers.address)
    }

    /// Returns a new call identifier, unique in the environment.
    pub fn next_call_id(&self) -> String {
        self.call_count.set(self.call_count.get() + 1);
        format!("{}-{}", self.settings.name, self.call_count.get())
    }
}

/// Binds the listeners and serves callers until a signal has shut the entry down.
pub async fn serve(settings: Settings) -> Result<()> {
    let signals = ShutdownSignals::catch()?;
    let listener = server::bind(settings.listen)?;
    let admin = server::bind(settings.admin)?;
    let log: Rc<dyn Log> = Rc::new(HttpLog::new(settings.platform, APPEND_TIMEOUT));
    let entry = Rc::new(Entry::new(settings));
    let state = entry.clone();
    let signal_task = Tasks::default();
    signal_task.spawn(async move {
        signals.received().await;
        let ShutdownSettings { delay_ms, limit_ms } = state.settings.shutdown;
        state.shutdown.request(Duration::from_millis(delay_ms), Duration::from_millis(limit_ms));
    });
    let result = run(entry, listener, admin, log).await;
    signal_task.join().await;
    result
}

/// Serves on bound listeners until a shutdown was requested and is complete.
pub async fn run(
    entry: Rc<Entry>,
    listener: TcpListener,
    admin: TcpListener,
    log: Rc<dyn Log>,
) -> Result<()> {
    log::info!(name = entry.settings.name.as_str(); "entry started");
    let background = Tasks::default();
    background.spawn(claims::tasks::run(entry.claims.clone(), log.clone()));
    background.spawn(probes::run(entry.clone(), log.clone()));
    background.spawn(config_stream::follow(entry.clone(), log));
    background.spawn(permit::serve_queues(entry.scheduler.clone()));
    let vms: Rc<dyn Vms> = Rc::new(HttpVms::new(entry.settings.platform, VMS_TIMEOUT));
    background.spawn(vm_list::poll(entry.clone(), vms));
    let state = entry.clone();
    background.spawn(server::serve(admin, move |call| handle_admin(state.clone(), call)));
    let peer_tasks = Tasks::default();
    peer_tasks.spawn(run_peers(entry.clone()));
    caller_server(&entry, listener).serve().await;
    entry.claims.flush(FLUSH_TIMEOUT).await;
    entry.peers.stop();
    peer_tasks.join().await;
    background.stop();
    background.join().await;
    log::info!(name = entry.settings.name.as_str(); "entry stopped");
    Ok(())
}

fn caller_server(entry: &Rc<Entry>, listener: TcpListener) -> CallerServer {
    let settings = &entry.settings.callers;
    let state = entry.clone();
    let service = CallService {
        shutdown: entry.shutdown.clone(),
        memory: Rc::new(MemoryBudget::for_connections(
            settings.memory_limit,
            settings.max_connections,
        )),
        handler: Rc::new(move |call| {
            let entry = state.clone();
            Box::pin(async move { dispatch::dispatch(&entry, call).await })
        }),
        // A call's class is only known once it is dispatched.
        overlap: Rc::new(|_| Overlap::Forbidden),
        count_pipelined: Rc::new(|| {}),
    };
    CallerServer {
        listener,
        limits: Rc::new(Cell::new(Limits::from(settings))),
        max_connections: settings.max_connections,
        service,
        open_count: Rc::default(),
        tasks: Tasks::default(),
    }
}

async fn run_peers(entry: Rc<Entry>) {
    if let Err(error) = mesh::run(entry.clone()).await {
        log::error!("the entry runs without peers: {error}");
        entry.peers.set_fault(Some(error.to_string()));
    }
}

async fn handle_admin(entry: Rc<Entry>, call: Call) -> Answer {
    match call.uri.path() {
        "/metrics" => Answer::new(StatusCode::OK, entry.metrics.render()),
        "/ready" if entry.is_ready() => Answer::new(StatusCode::OK, "ready"),
        "/ready" => Answer::own(Code::NotReady),
        "/revision" => match entry.configuration.base() {
            Some(base) => Answer::new(StatusCode::OK, ConfigRecord::Renew(base).encode()),
            None => Answer::own(Code::NotReady),
        },
        "/status" => Answer::new(StatusCode::OK, status(&entry)),
        "/trace" if call.method == Method::POST => start_recording(&entry, &call),
        "/trace" => Answer::new(StatusCode::OK, entry.recorder.trace()),
        _ => Answer::new(StatusCode::NOT_FOUND, ""),
    }
}

fn start_recording(entry: &Entry, call: &Call) -> Answer {
    let seconds = call.uri.query().and_then(|query| query.strip_prefix("seconds="));
    let Some(seconds) = seconds.and_then(|text| text.parse().ok()) else {
        return Answer::new(StatusCode::BAD_REQUEST, "expected `/trace?seconds=NUMBER`");
    };
    entry.recorder.start(Instant::now(), Duration::from_secs(seconds));
    Answer::new(StatusCode::OK, "recording")
}

fn status(entry: &Entry) -> String {
    let revision = entry.revision().map(|revision| revision.number);
    let settings = &entry.settings;
    let status = serde_json::json!({
        "name": settings.name,
        "domain": settings.domain,
        "peers": entry.peers.status(),
        "revision": revision,
        "ready": revision.is_some(),
        "configuration": entry.configuration.status(),
    });
    status.to_string()
}
