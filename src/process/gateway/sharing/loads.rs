//! Load samples of targets, which the entries of a failure domain send each other as datagrams.
//!
//! Every response to a probe or a call reports a target's load to one entry. That entry shares it,
//! so that the others can choose which targets to probe. Datagrams may be lost, late or forged: a
//! sample received this way decides which targets are probed first, and it decides where a call is
//! sent only if no probe may be sent. A notice that a target is leaving keeps calls from it for a
//! bounded time.

use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use super::frame;
use crate::edge::directory::EntryRecord;
use crate::prelude::*;
use crate::process::gateway::load_sample::{Load, LoadSample};
use crate::process::gateway::probing;
use crate::process::gateway::quota::wire::{REPLY_FORMAT, REQUEST_FORMAT};
use crate::process::gateway::Gateway;
use crate::process::Result;

/// Version of the message format.
const FORMAT: u8 = 2;
/// Most entries that samples are sent to. In a larger domain, these are the next ones after this
/// entry in the order of hashed names.
const MAX_PEERS: usize = 8;
/// Time for which samples are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// Most samples in a message, so that it fits into one packet.
const MAX_SAMPLES: usize = 32;
/// Size of the receive buffer; a longer message is truncated.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Age beyond which a sample is not sent.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(100);
/// Pause after a failed receive.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(100);

/// A load sample of the target with that id.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSample {
    pub id: Rc<str>,
    /// Start of the target in Unix milliseconds, which distinguishes incarnations.
    pub born: u64,
    pub sample: LoadSample,
    /// Whether the target said that it is leaving.
    pub leaving: bool,
}

/// The queue of samples to send, and the entries that they are sent to.
#[derive(Default)]
pub struct LoadSharing {
    sender: RefCell<Option<Tx<TargetSample>>>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl LoadSharing {
    /// Queues a load sample of a target for the peers.
    pub fn enqueue(&self, sample: TargetSample) {
        if self.peers.borrow().is_empty() {
            return;
        }
        if let Some(sender) = &*self.sender.borrow() {
            // The receiver is gone only if the task of `share` was dropped.
            let _ = sender.send(sample);
        }
    }

    /// Queues for the peers that a target is leaving.
    pub fn enqueue_leaving(&self, id: &Rc<str>, born: u64, now: Instant) {
        let sample = LoadSample { taken: now, load: None, healthy: false };
        self.enqueue(TargetSample { id: id.clone(), born, sample, leaving: true });
    }

    /// Selects the peers from the list of entries.
    pub fn set_peers(&self, own: &EntryRecord, records: &[EntryRecord]) {
        self.peers.replace(select_peers(own, records));
    }
}

/// The entries of the same failure domain that follow this one in the order of hashed names; the
/// first name follows the last one.
pub fn select_peers(own: &EntryRecord, records: &[EntryRecord]) -> Vec<SocketAddr> {
    let hash = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    let own_hash = hash(&own.name);
    let local =
        records.iter().filter(|record| record.domain == own.domain && record.name != own.name);
    let mut local: Vec<_> =
        local.map(|record| (hash(&record.name).wrapping_sub(own_hash), record.address)).collect();
    local.sort_unstable();
    local.into_iter().take(MAX_PEERS).map(|(_, address)| address).collect()
}

/// A message of load samples, which are `readings` on the wire.
#[derive(Serialize, Deserialize)]
struct LoadsWire {
    format: u8,
    readings: Vec<ReadingWire>,
}

#[derive(Serialize, Deserialize)]
struct ReadingWire {
    id: String,
    born: u64,
    age_us: u32,
    load: Option<LoadWire>,
    healthy: bool,
    leaving: bool,
}

/// A load; `pace` is its `slowdown_percent`.
#[derive(Serialize, Deserialize)]
struct LoadWire {
    running: u32,
    waiting: u32,
    slots: u32,
    pace: u32,
}

impl From<Load> for LoadWire {
    fn from(load: Load) -> Self {
        let Load { running, waiting, slots, slowdown_percent: pace } = load;
        Self { running, waiting, slots, pace }
    }
}

impl From<LoadWire> for Load {
    fn from(wire: LoadWire) -> Self {
        let LoadWire { running, waiting, slots, pace } = wire;
        // A load is divided by its slots.
        Self { running, waiting, slots: slots.max(1), slowdown_percent: pace }
    }
}

/// Encodes the samples with their ages at `now`, except those that hold neither a load nor a notice
/// that the target is leaving.
pub fn encode(samples: &[TargetSample], now: Instant) -> Vec<u8> {
    let samples = samples.iter().filter(|found| found.sample.load.is_some() || found.leaving);
    let readings = samples.map(|TargetSample { id, born, sample, leaving }| ReadingWire {
        id: id.to_string(),
        born: *born,
        age_us: u32::try_from(sample.age_us(now)).unwrap_or(u32::MAX),
        load: sample.load.map(Into::into),
        healthy: sample.healthy,
        leaving: *leaving,
    });
    let message = LoadsWire { format: FORMAT, readings: readings.collect() };
    postcard::to_stdvec(&message).expect("wire types have no failing serializer")
}

/// Parses a message that was received at `now`.
pub fn decode(message: &[u8], now: Instant) -> std::result::Result<Vec<TargetSample>, Error> {
    let wire: LoadsWire = frame::decode(message)?;
    if wire.format != FORMAT {
        return Err(frame::malformed(format!("unknown message format `{}`", wire.format)));
    }
    let samples = wire.readings.into_iter().filter_map(|reading| {
        let ReadingWire { id, born, age_us, load, healthy, leaving } = reading;
        // A sample is dropped if an `Instant` cannot hold a time that long ago.
        let taken = now.checked_sub(Duration::from_micros(age_us.into()))?;
        let sample = LoadSample { taken, load: load.map(Into::into), healthy };
        Some(TargetSample { id: id.into(), born, sample, leaving })
    });
    Ok(samples.collect())
}

/// The socket on which load samples and messages about quotas are sent and received.
pub struct LoadSocket {
    reader: UdpSocket,
    writer: std::net::UdpSocket,
}

impl LoadSocket {
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let failed = |source| Error::Bind { address, source };
        let writer = std::net::UdpSocket::bind(address).map_err(failed)?;
        writer.set_nonblocking(true).map_err(failed)?;
        let reader = writer.try_clone().and_then(UdpSocket::from_std).map_err(failed)?;
        Ok(Self { reader, writer })
    }

    /// Another handle of the socket, to send with.
    pub fn writer(&self) -> Result<std::net::UdpSocket> {
        let failed = |source| Error::Connection { reason: format!("socket not cloned: {source}") };
        self.writer.try_clone().map_err(failed)
    }
}

/// Sends this entry's samples and receives those of others until the task is dropped.
pub async fn share(gateway: Rc<Gateway>, socket: LoadSocket) {
    let (sender, receiver) = unbounded::channel();
    gateway.sharing.loads.sender.replace(Some(sender));
    monoio::join!(
        send_samples(&gateway, &socket.writer, receiver),
        receive_samples(&gateway, &socket.reader)
    );
}

async fn send_samples(
    gateway: &Gateway,
    socket: &std::net::UdpSocket,
    mut receiver: Rx<TargetSample>,
) {
    while let Some(first) = receiver.recv().await {
        monoio::time::sleep(BATCH_DELAY).await;
        let mut samples = vec![first];
        while let Ok(next) = receiver.try_recv() {
            samples.push(next);
        }
        let now = Instant::now();
        samples
            .retain(|queued| now.saturating_duration_since(queued.sample.taken) <= MAX_SAMPLE_AGE);
        for batch in samples.chunks(MAX_SAMPLES) {
            let message = encode(batch, now);
            for peer in &*gateway.sharing.loads.peers.borrow() {
                // A message that does not fit into the socket's buffer is dropped: its samples
                // would soon be too old.
                let _ = socket.send_to(&message, peer);
            }
        }
    }
}

async fn receive_samples(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let (result, returned_buffer) = socket.recv_from(buffer).await;
        buffer = returned_buffer;
        let Ok((length, sender)) = result else {
            monoio::time::sleep(RECEIVE_BACKOFF).await;
            continue;
        };
        let message = &buffer[..length];
        if matches!(message.first(), Some(&REQUEST_FORMAT | &REPLY_FORMAT)) {
            gateway.quotas.receive(gateway, message, sender);
            continue;
        }
        match decode(message, Instant::now()) {
            Ok(samples) => {
                samples.iter().for_each(|sample| probing::record_peer_sample(gateway, sample))
            }
            Err(error) => log::debug!(error:% = error; "load samples refused"),
        }
    }
}
