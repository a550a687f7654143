//! Readings of targets' loads, which the entries of a failure domain tell each other.
//!
//! Every probe and every answer tells a target's load to one entry. Told to the others, it shows
//! each of them which targets are worth a probe of its own. Datagrams may be lost, late or
//! forged: a reading decides whom to probe first, and where a call is sent only if no probe may be.

use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::edge::directory::EntryRecord;
use crate::prelude::*;
use crate::process::gateway::load_sample::{Load, LoadSample};
use crate::process::gateway::probing;
use crate::process::gateway::Gateway;
use crate::process::Result;

/// Version of the messages.
const FORMAT: u8 = 1;
/// Most entries that are told; in a large domain those that follow by hashed names.
const MAX_PEERS: usize = 8;
/// Time over which readings are gathered into one message.
const GATHER_TIME: Duration = Duration::from_millis(3);
/// Most readings in a message, so that it fits into one packet.
const MAX_READINGS: usize = 32;
/// Most bytes of a message.
const MAX_BYTES: usize = 2048;
/// Readings that are this old are not told.
const MAX_AGE: Duration = Duration::from_millis(100);
/// Pause after the socket failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// A reading of the target of that id.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSample {
    pub id: Rc<str>,
    pub sample: LoadSample,
}

/// Where this entry's readings go.
#[derive(Default)]
pub struct Loads {
    sender: RefCell<Option<Tx<TargetSample>>>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl Loads {
    /// Tells the peers what a target has said.
    pub fn tell(&self, id: &Rc<str>, sample: LoadSample) {
        if self.peers.borrow().is_empty() {
            return;
        }
        if let Some(sender) = &*self.sender.borrow() {
            // Without a receiver the process ends.
            let _ = sender.send(TargetSample { id: id.clone(), sample });
        }
    }

    /// Takes over the list of entries.
    pub fn set_entries(&self, own: &EntryRecord, records: &[EntryRecord]) {
        self.peers.replace(peers(own, records));
    }
}

/// The entries of the own failure domain that follow the own one by hashed names.
pub fn peers(own: &EntryRecord, records: &[EntryRecord]) -> Vec<SocketAddr> {
    let place = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    let start = place(&own.name);
    let near = records.iter().filter(|one| one.domain == own.domain && one.name != own.name);
    let mut near: Vec<_> =
        near.map(|one| (place(&one.name).wrapping_sub(start), one.address)).collect();
    near.sort_unstable();
    near.into_iter().take(MAX_PEERS).map(|(_, address)| address).collect()
}

#[derive(Serialize, Deserialize)]
struct LoadsWire {
    format: u8,
    readings: Vec<ReadingWire>,
}

#[derive(Serialize, Deserialize)]
struct ReadingWire {
    id: String,
    age_us: u32,
    running: u32,
    waiting: u32,
    slots: u32,
    pace: u32,
    healthy: bool,
}

/// Encodes readings that tell a load, as of `now`.
pub fn encode(told: &[TargetSample], now: Instant) -> Vec<u8> {
    let readings = told.iter().filter_map(|TargetSample { id, sample }| {
        let Load { running, waiting, slots, slowdown_percent: pace } = sample.load?;
        let age_us = u32::try_from(sample.age_us(now)).unwrap_or(u32::MAX);
        let (id, healthy) = (id.to_string(), sample.healthy);
        Some(ReadingWire { id, age_us, running, waiting, slots, pace, healthy })
    });
    let message = LoadsWire { format: FORMAT, readings: readings.collect() };
    postcard::to_stdvec(&message).expect("wire types have no failing serializer")
}

/// Parses a message that arrived at `now`.
pub fn decode(message: &[u8], now: Instant) -> std::result::Result<Vec<TargetSample>, Error> {
    let malformed = |reason: String| Error::Malformed { reason };
    let wire: LoadsWire =
        postcard::from_bytes(message).map_err(|error| malformed(error.to_string()))?;
    if wire.format != FORMAT {
        return Err(malformed(format!("a message of format `{}`", wire.format)));
    }
    let told = wire.readings.into_iter().filter_map(|sample| {
        let ReadingWire { id, age_us, running, waiting, slots, pace, healthy } = sample;
        let taken = now.checked_sub(Duration::from_micros(age_us.into()))?;
        let load = Load { running, waiting, slots: slots.max(1), slowdown_percent: pace };
        Some(TargetSample {
            id: id.into(),
            sample: LoadSample { taken, load: Some(load), healthy },
        })
    });
    Ok(told.collect())
}

/// The socket for readings.
pub struct LoadSocket {
    reader: UdpSocket,
    writer: std::net::UdpSocket,
}

impl LoadSocket {
    /// Binds the socket.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let failed = |source| Error::Bind { address, source };
        let writer = std::net::UdpSocket::bind(address).map_err(failed)?;
        writer.set_nonblocking(true).map_err(failed)?;
        let reader = writer.try_clone().and_then(UdpSocket::from_std).map_err(failed)?;
        Ok(Self { reader, writer })
    }
}

/// Tells readings and hears those of others until the task is dropped.
pub async fn share(gateway: Rc<Gateway>, socket: LoadSocket) {
    let (sender, receiver) = unbounded::channel();
    gateway.sharing.loads.sender.replace(Some(sender));
    monoio::join!(tell_all(&gateway, &socket.writer, receiver), hear_all(&gateway, &socket.reader));
}

async fn tell_all(gateway: &Gateway, socket: &std::net::UdpSocket, mut receiver: Rx<TargetSample>) {
    while let Some(first) = receiver.recv().await {
        monoio::time::sleep(GATHER_TIME).await;
        let mut told = vec![first];
        while let Ok(next) = receiver.try_recv() {
            told.push(next);
        }
        let now = Instant::now();
        told.retain(|told| now.saturating_duration_since(told.sample.taken) <= MAX_AGE);
        for part in told.chunks(MAX_READINGS) {
            let message = encode(part, now);
            for peer in &*gateway.sharing.loads.peers.borrow() {
                // A message that does not fit into the socket's buffer is out of date soon.
                let _ = socket.send_to(&message, peer);
            }
        }
    }
}

async fn hear_all(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (result, read) = socket.recv_from(buffer).await;
        buffer = read;
        let Ok((length, _)) = result else {
            monoio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        match decode(&buffer[..length], Instant::now()) {
            Ok(told) => told.iter().for_each(|told| probing::record_peer_sample(gateway, told)),
            Err(error) => log::debug!(error:% = error; "readings refused"),
        }
    }
}
