//! Wire types of the platform's HTTP protocol (JSON; record values in base64).
//!
//! - `POST /streams/NAME` with an `AppendRequest` returns an `AppendResponse`.
//! - `GET /streams/NAME?from=OFFSET&waitMs=MS` returns a `ReadResponse`.
//! - `GET /vms` returns a list of `VmEntry`.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use super::log::{Page, Record};
use super::vms::{Vm, VmRole};
use crate::prelude::*;

#[derive(Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    pub values: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    pub offset: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct ReadResponse {
    pub first: u64,
    pub next: u64,
    pub records: Vec<RecordEntry>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct RecordEntry {
    pub offset: u64,
    pub time: u64,
    pub value: String,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct VmEntry {
    pub address: SocketAddr,
    pub domain: String,
    pub role: RoleName,
    pub state: StateName,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleName {
    Entry,
    Target,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StateName {
    Leaving,
    Live,
}

/// Encodes record values in base64.
pub fn encode(values: &[Bytes]) -> Vec<String> {
    values.iter().map(|value| BASE64_STANDARD.encode(value)).collect()
}

/// Decodes a record value from base64.
pub fn decode(value: &str) -> super::Result<Bytes> {
    let bytes = BASE64_STANDARD.decode(value);
    bytes.map(Bytes::from).map_err(|error| Error::Platform { reason: error.to_string() })
}

impl From<&Page> for ReadResponse {
    fn from(page: &Page) -> Self {
        let records = page.records.iter().map(RecordEntry::from).collect();
        Self { first: page.first, next: page.next, records }
    }
}

impl From<&Record> for RecordEntry {
    fn from(record: &Record) -> Self {
        let value = BASE64_STANDARD.encode(&record.value);
        Self { offset: record.offset, time: record.time, value }
    }
}

impl TryFrom<ReadResponse> for Page {
    type Error = Error;

    fn try_from(wire: ReadResponse) -> super::Result<Self> {
        let records =
            wire.records.into_iter().map(Record::try_from).collect::<super::Result<_>>()?;
        Ok(Self { first: wire.first, next: wire.next, records })
    }
}

impl TryFrom<RecordEntry> for Record {
    type Error = Error;

    fn try_from(wire: RecordEntry) -> super::Result<Self> {
        Ok(Self { offset: wire.offset, time: wire.time, value: decode(&wire.value)? })
    }
}

impl From<VmEntry> for Vm {
    fn from(wire: VmEntry) -> Self {
        let role = match wire.role {
            RoleName::Entry => VmRole::Entry,
            RoleName::Target => VmRole::Target,
        };
        let draining = wire.state == StateName::Leaving;
        Self { address: wire.address, domain: wire.domain, role, draining }
    }
}

impl From<&Vm> for VmEntry {
    fn from(vm: &Vm) -> Self {
        let role = match vm.role {
            VmRole::Entry => RoleName::Entry,
            VmRole::Target => RoleName::Target,
        };
        let state = if vm.draining { StateName::Leaving } else { StateName::Live };
        Self { address: vm.address, domain: vm.domain.clone(), role, state }
    }
}
