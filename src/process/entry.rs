//! The entry: its state and its listeners.

use monoio::net::{TcpListener, TcpStream};

use super::claims::{self, Claims};
use super::fleet::Fleet;
use super::follower;
use super::observe::Metrics;
use super::probes::{self, Probes};
use super::settings::Settings;
use super::Result;
use crate::connection::caller::CallerConnection;
use crate::connection::guard::Fault;
use crate::connection::limits::Limits;
use crate::connection::server;
use crate::platform::http_log::HttpLog;
use crate::platform::log::Log;
use crate::prelude::*;
use crate::request::dispatch;
use crate::version::revision::Revision;

/// Longest wait for an append of the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// State that the tasks of one entry share.
pub struct Entry {
    pub settings: Settings,
    pub fleet: RefCell<Fleet>,
    pub metrics: Rc<Metrics>,
    pub claims: Rc<Claims>,
    pub probes: Probes,
    revision: RefCell<Option<Rc<Revision>>>,
    calls: Cell<u64>,
}

impl Entry {
    /// Creates the state of an entry.
    pub fn new(settings: Settings) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(settings.name.as_bytes());
        let metrics = Rc::new(Metrics::default());
        let claims = Rc::new(Claims::new(&settings.name, settings.claims, metrics.clone()));
        let probes = Probes::new(&settings.name);
        Self {
            settings,
            fleet: RefCell::new(Fleet::new(seed)),
            metrics,
            claims,
            probes,
            revision: RefCell::default(),
            calls: Cell::new(0),
        }
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<Rc<Revision>> {
        self.revision.borrow().clone()
    }

    /// Puts a revision in force.
    pub fn set_revision(&self, revision: Option<Rc<Revision>>) {
        if let Some(revision) = &revision {
            self.fleet.borrow_mut().apply(&revision.document);
            self.claims.set_entries(revision.document.max_entries);
        }
        self.revision.replace(revision);
    }

    /// A new call identifier, unique in the environment.
    pub fn next_call_id(&self) -> String {
        self.calls.set(self.calls.get() + 1);
        format!("{}-{}", self.settings.name, self.calls.get())
    }
}

/// Serves callers until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let listener = server::bind(settings.listen)?;
    let admin = server::bind(settings.admin)?;
    let log: Rc<dyn Log> = Rc::new(HttpLog::new(settings.platform, APPEND_TIMEOUT));
    run(Rc::new(Entry::new(settings)), listener, admin, log).await
}

/// Serves on listeners that are bound already.
pub async fn run(
    entry: Rc<Entry>,
    listener: TcpListener,
    admin: TcpListener,
    log: Rc<dyn Log>,
) -> Result<()> {
    log::info!(name = entry.settings.name.as_str(); "entry started");
    monoio::spawn(claims::tasks::run(entry.claims.clone(), log.clone()));
    monoio::spawn(probes::run(entry.clone(), log.clone()));
    monoio::spawn(follower::follow(entry.clone(), log));
    let state = entry.clone();
    monoio::spawn(server::serve(admin, move |call| handle_admin(state.clone(), call)));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        monoio::spawn(serve_caller(entry.clone(), stream));
    }
}

async fn serve_caller(entry: Rc<Entry>, stream: TcpStream) {
    let mut connection = CallerConnection::new(stream, Limits::default());
    loop {
        let call = match connection.next().await {
            Ok(call) => call,
            Err(fault) => return refuse(connection, fault).await,
        };
        let answer = monoio::select! {
            answer = dispatch::dispatch(&entry, call) => answer,
            () = connection.closed() => return,
        };
        if connection.answer(answer).await.is_err() {
            return;
        }
    }
}

async fn refuse(mut connection: CallerConnection, fault: Fault) {
    let code = match fault {
        Fault::Closed => return,
        Fault::Truncated => Code::MalformedTruncated,
        Fault::HeadTooLarge => Code::MalformedHead,
        Fault::TooSlow => Code::MalformedSlow,
        Fault::Framing => Code::MalformedFraming,
        Fault::BodyTooLarge => Code::MalformedBody,
    };
    connection.close_after_answer();
    let _ = connection.answer(Answer::own(code)).await;
}

async fn handle_admin(entry: Rc<Entry>, call: Call) -> Answer {
    match call.uri.path() {
        "/metrics" => Answer::new(StatusCode::OK, entry.metrics.render()),
        "/ready" if entry.revision().is_some() => Answer::new(StatusCode::OK, "ready"),
        "/ready" => Answer::own(Code::NotReady),
        "/status" => Answer::new(StatusCode::OK, status(&entry)),
        _ => Answer::new(StatusCode::NOT_FOUND, ""),
    }
}

fn status(entry: &Entry) -> String {
    let revision = entry.revision().map(|revision| revision.number);
    let settings = &entry.settings;
    let status = serde_json::json!({
        "name": settings.name,
        "domain": settings.domain,
        "revision": revision,
    });
    status.to_string()
}
