//! A connected peer.

use std::collections::HashMap;

use rustls::pki_types::CertificateDer;

use super::message::{Announcement, Hello};
use super::outbox::Outbox;
use crate::prelude::*;
use crate::process::target::LoadReport;

/// State of a peer that has sent its hello message.
pub struct Link {
    pub certificates: Vec<CertificateDer<'static>>,
    /// The revision that the peer last announced.
    pub announced: Cell<Option<Announcement>>,
    pub hello: Hello,
    /// Whether this entry opened the connection.
    pub is_initiator: bool,
    /// When the last batch of load reports was queued for the peer.
    pub last_flush: Cell<Instant>,
    /// Load reports to send, by index of the target in the document.
    pub pending_loads: RefCell<HashMap<u32, (LoadReport, Instant)>>,
    pub outbox: Rc<Outbox>,
    /// Whether the peer requested the load reports of this entry's whole failure domain.
    pub wants_relay: Cell<bool>,
    /// Whether this entry requested the load reports of the peer's whole failure domain.
    pub relay_requested: Cell<bool>,
    /// Load reports last sent to the peer, by index of the target.
    pub sent_loads: RefCell<HashMap<u32, (LoadReport, Instant)>>,
}

impl Link {
    pub fn new(
        hello: Hello,
        outbox: Rc<Outbox>,
        certificates: Vec<CertificateDer<'static>>,
        is_initiator: bool,
    ) -> Self {
        Self {
            certificates,
            announced: Cell::new(None),
            hello,
            is_initiator,
            last_flush: Cell::new(Instant::now()),
            pending_loads: RefCell::default(),
            outbox,
            wants_relay: Cell::new(false),
            relay_requested: Cell::new(false),
            sent_loads: RefCell::default(),
        }
    }

    /// Address of the side that opened the connection.
    pub fn initiator(&self, own: SocketAddr) -> SocketAddr {
        if self.is_initiator {
            own
        } else {
            self.hello.address
        }
    }
}
