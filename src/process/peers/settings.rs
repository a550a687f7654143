//! The settings of connections to peers.

use serde::Deserialize;

use crate::connection::quic::identity::KeyPaths;
use crate::prelude::*;

/// Addresses and key files of an entry that has peers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PeerSettings {
    /// Address of the UDP port for peers, as other entries reach it.
    pub address: SocketAddr,
    /// PEM file with the environment's authority, or with the old and the new one during a
    /// rotation.
    pub authority: String,
    /// PEM file with the entry's certificate.
    pub certificate: String,
    /// PEM file with the entry's private key.
    pub key: String,
    /// Peers to connect to even if they are not on the platform's list.
    #[serde(default, rename = "static")]
    pub known: Vec<SocketAddr>,
}

impl PeerSettings {
    pub fn paths(&self) -> KeyPaths {
        KeyPaths {
            authority: self.authority.clone(),
            certificate: self.certificate.clone(),
            key: self.key.clone(),
        }
    }
}
