//! Wire types of messages between entries, encoded with `postcard`.
//!
//! A later version may append fields; older readers ignore them.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::frame::{malformed, Frame};
use super::message::{Announcement, Hello, Load, LoadBatch, MemberRecord, Message};
use super::Result;
use crate::prelude::*;
use crate::process::target::LoadReport;

const HELLO_KIND: u16 = 1;
const INTEREST_KIND: u16 = 2;
const DRAIN_KIND: u16 = 3;
const MEMBERS_KIND: u16 = 4;
const REVISION_KIND: u16 = 5;
const LOADS_KIND: u16 = 16;

/// Maximum length of the name of an entry or a failure domain.
const MAX_NAME_BYTES: usize = 128;

#[derive(Deserialize, Serialize)]
struct HelloWire {
    protocol: u16,
    oldest: u16,
    features: u64,
    name: String,
    address: SocketAddr,
    domain: String,
    instance: u64,
}

#[derive(Deserialize, Serialize)]
struct MemberWire {
    name: String,
    address: SocketAddr,
    domain: String,
}

#[derive(Deserialize, Serialize)]
struct RevisionWire {
    number: u64,
    nonce: u64,
    through: u64,
}

#[derive(Deserialize, Serialize)]
struct LoadWire {
    target: u32,
    running: u32,
    queued: u32,
    slots: u32,
    /// Milliseconds since the target sent the report.
    age: u32,
}

#[derive(Deserialize, Serialize)]
struct LoadsWire {
    revision: u64,
    loads: Vec<LoadWire>,
}

impl Message {
    pub fn encode(&self) -> Frame {
        match self {
            Self::Drain(addresses) => encode_frame(DRAIN_KIND, addresses),
            Self::Hello(hello) => encode_frame(HELLO_KIND, &HelloWire::from(hello)),
            Self::Interest { relay } => encode_frame(INTEREST_KIND, relay),
            Self::Members(records) => encode_frame(
                MEMBERS_KIND,
                &records.iter().map(MemberWire::from).collect::<Vec<_>>(),
            ),
            Self::Revision(announcement) => {
                encode_frame(REVISION_KIND, &RevisionWire::from(announcement))
            }
        }
    }

    /// Decodes a frame; an unknown kind gives `None`.
    pub fn decode(frame: &Frame) -> Result<Option<Self>> {
        let message = match frame.kind {
            DRAIN_KIND => Self::Drain(decode_payload(frame)?),
            HELLO_KIND => Self::Hello(decode_payload::<HelloWire>(frame)?.try_into()?),
            INTEREST_KIND => Self::Interest { relay: decode_payload(frame)? },
            MEMBERS_KIND => {
                let records = decode_payload::<Vec<MemberWire>>(frame)?;
                let records = records.into_iter().map(MemberRecord::try_from);
                Self::Members(records.collect::<Result<_>>()?)
            }
            REVISION_KIND => Self::Revision(decode_payload::<RevisionWire>(frame)?.into()),
            _ => return Ok(None),
        };
        Ok(Some(message))
    }
}

impl LoadBatch {
    pub fn encode(&self) -> Frame {
        let loads = self.loads.iter().map(LoadWire::from).collect();
        encode_frame(LOADS_KIND, &LoadsWire { revision: self.revision, loads })
    }

    /// Decodes a frame; an unknown kind gives `None`.
    pub fn decode(frame: &Frame) -> Result<Option<Self>> {
        if frame.kind != LOADS_KIND {
            return Ok(None);
        }
        let wire: LoadsWire = decode_payload(frame)?;
        let loads = wire.loads.into_iter().map(Load::from).collect();
        Ok(Some(Self { revision: wire.revision, loads }))
    }
}

/// Encodes a wire type as a frame of this kind.
pub(super) fn encode_frame<T: Serialize + ?Sized>(kind: u16, wire: &T) -> Frame {
    let payload = postcard::to_stdvec(wire).expect("the wire types have known lengths");
    Frame { kind, payload: payload.into() }
}

/// Decodes the payload of a frame and ignores fields that a later version may have appended.
pub(super) fn decode_payload<T: DeserializeOwned>(frame: &Frame) -> Result<T> {
    let decoded = postcard::take_from_bytes(&frame.payload);
    let (wire, _) = decoded
        .map_err(|error| malformed(format!("invalid payload of kind `{}`: {error}", frame.kind)))?;
    Ok(wire)
}

fn check_name(name: String) -> Result<String> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(malformed(format!("name length `{}` is out of range", name.len())));
    }
    Ok(name)
}

impl From<&Hello> for HelloWire {
    fn from(hello: &Hello) -> Self {
        Self {
            protocol: hello.protocol,
            oldest: hello.oldest,
            features: hello.features,
            name: hello.name.clone(),
            address: hello.address,
            domain: hello.domain.clone(),
            instance: hello.instance,
        }
    }
}

impl TryFrom<HelloWire> for Hello {
    type Error = Error;

    fn try_from(wire: HelloWire) -> Result<Self> {
        Ok(Self {
            protocol: wire.protocol,
            oldest: wire.oldest,
            features: wire.features,
            name: check_name(wire.name)?,
            address: wire.address,
            domain: check_name(wire.domain)?,
            instance: wire.instance,
        })
    }
}

impl From<&MemberRecord> for MemberWire {
    fn from(record: &MemberRecord) -> Self {
        Self { name: record.name.clone(), address: record.address, domain: record.domain.clone() }
    }
}

impl TryFrom<MemberWire> for MemberRecord {
    type Error = Error;

    fn try_from(wire: MemberWire) -> Result<Self> {
        let (name, domain) = (check_name(wire.name)?, check_name(wire.domain)?);
        Ok(Self { name, address: wire.address, domain })
    }
}

impl From<&Announcement> for RevisionWire {
    fn from(announcement: &Announcement) -> Self {
        let Announcement { number, nonce, through } = *announcement;
        Self { number, nonce, through }
    }
}

impl From<RevisionWire> for Announcement {
    fn from(wire: RevisionWire) -> Self {
        Self { number: wire.number, nonce: wire.nonce, through: wire.through }
    }
}

impl From<&Load> for LoadWire {
    fn from(load: &Load) -> Self {
        Self {
            target: load.target_index,
            running: load.report.running,
            queued: load.report.queued,
            slots: load.report.slots,
            age: u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<LoadWire> for Load {
    fn from(wire: LoadWire) -> Self {
        let LoadWire { target, running, queued, slots, age } = wire;
        let report = LoadReport { running, queued, slots };
        Self { target_index: target, report, age: Duration::from_millis(u64::from(age)) }
    }
}
