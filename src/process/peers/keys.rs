//! Loads the key files of an entry.

use super::mesh::KEY_POLL_INTERVAL;
use super::settings::PeerSettings;
use super::Result;
use crate::connection::quic::identity::Identity;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Loads the key files and retries on failure, since a renewal may be replacing them; `None` if the
/// entry stops first.
pub async fn load_with_retry(entry: &Entry, settings: &PeerSettings) -> Option<Identity> {
    while !entry.peers.is_stopping() {
        match load_for(&entry.settings.name, settings) {
            Ok(identity) => {
                entry.peers.set_fault(None);
                return Some(identity);
            }
            Err(error) => {
                log::error!("the entry runs without peers: {error}");
                entry.peers.set_fault(Some(error.to_string()));
            }
        }
        monoio::time::sleep(KEY_POLL_INTERVAL).await;
    }
    None
}

/// Loads the key files and checks that the certificate is for the entry called `name`.
pub fn load_for(name: &str, settings: &PeerSettings) -> Result<Identity> {
    let identity = Identity::load(&settings.paths())?;
    if !identity.belongs_to(name) {
        return Err(Error::Key { reason: format!("the certificate is not for `{name}`") });
    }
    Ok(identity)
}
