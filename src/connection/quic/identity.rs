//! The certificates with which an entry proves itself and checks its peers.

use std::fs;
use std::sync::Arc;

use quinn_proto::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn_proto::{ClientConfig, ServerConfig};
use rustls::client::danger::ServerCertVerifier;
use rustls::client::{verify_server_name, Resumption, WebPkiServerVerifier};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{NoServerSessionStorage, ParsedCertificate, WebPkiClientVerifier};
use rustls::version::TLS13;
use rustls::RootCertStore;

use super::limits;
use crate::connection::Result;
use crate::prelude::*;

/// Application protocol of the handshake.
const PROTOCOL: &[u8] = b"cornellink-peer";
/// Name in every entry's certificate.
pub const SERVER_NAME: &str = "entry.cornellink.internal";

/// Paths of the PEM files.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Authorities to accept: one, or the old and the new one during a rotation.
    pub authority: String,
    pub certificate: String,
    pub key: String,
}

/// TLS configurations made from one state of the key files.
#[derive(Clone)]
pub struct Identity {
    pub client: ClientConfig,
    pub server: Arc<ServerConfig>,
    clients: Arc<dyn ClientCertVerifier>,
    servers: Arc<WebPkiServerVerifier>,
    digest: u64,
    own: CertificateDer<'static>,
}

impl Identity {
    /// Loads the files; fails if they do not fit together.
    pub fn load(paths: &Paths) -> Result<Self> {
        let mut files = Vec::new();
        for path in [&paths.authority, &paths.certificate, &paths.key] {
            let file =
                fs::read(path).map_err(|source| Error::File { path: path.clone(), source })?;
            files.push(file);
        }
        Self::parse(&files[0], &files[1], &files[2])
    }

    /// Parses PEM text.
    pub fn parse(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Self> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = RootCertStore::empty();
        for root in certificates(authority)? {
            roots.add(root).map_err(invalid)?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(certificate)?;
        let private = PrivateKeyDer::from_pem_slice(key).map_err(invalid)?;
        let own = chain[0].clone();
        let clients =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
        let clients = clients.map_err(invalid)?;
        let servers = WebPkiServerVerifier::builder_with_provider(roots, provider.clone()).build();
        let servers = servers.map_err(invalid)?;

        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(invalid)?
            .with_client_cert_verifier(clients.clone())
            .with_single_cert(chain.clone(), private.clone_key())
            .map_err(invalid)?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A resumed session would skip the check of the peer's certificate.
        server.session_storage = Arc::new(NoServerSessionStorage {});
        server.send_tls13_tickets = 0;
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])
            .map_err(invalid)?
            .with_webpki_verifier(servers.clone())
            .with_client_auth_cert(chain, private)
            .map_err(invalid)?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        client.resumption = Resumption::disabled();

        let server = QuicServerConfig::try_from(server).map_err(invalid)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(limits::transport(false)).migration(false);
        let client = QuicClientConfig::try_from(client).map_err(invalid)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(limits::transport(true));
        let digest = xxhash_rust::xxh3::xxh3_64(&[authority, certificate, key].concat());
        Ok(Self { client, server: Arc::new(server), clients, servers, digest, own })
    }

    /// Whether two identities come from the same files.
    pub fn is_same(&self, other: &Self) -> bool {
        self.digest == other.digest
    }

    /// Whether the own certificate belongs to the entry called `name`.
    pub fn is_for(&self, name: &str) -> bool {
        is_named(&self.own, name)
    }

    /// Whether a peer's chain is valid now under the accepted authorities.
    pub fn accepts(&self, chain: &[CertificateDer<'static>], is_dialler: bool) -> bool {
        let Some((end, rest)) = chain.split_first() else { return false };
        let now = UnixTime::now();
        if !is_dialler {
            return self.clients.verify_client_cert(end, rest, now).is_ok();
        }
        let Ok(name) = ServerName::try_from(SERVER_NAME) else { return false };
        self.servers.verify_server_cert(end, rest, &name, &[], now).is_ok()
    }
}

/// The name in the certificate of the entry called `name`.
pub fn entry_name(name: &str) -> String {
    format!("{name}.{SERVER_NAME}")
}

/// Whether a certificate belongs to the entry called `name`.
pub fn is_named(certificate: &CertificateDer<'static>, name: &str) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    let Ok(expected) = ServerName::try_from(entry_name(name)) else { return false };
    verify_server_name(&parsed, &expected).is_ok()
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let all: std::result::Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(invalid)?;
    if all.is_empty() {
        return Err(invalid("the file has no certificate"));
    }
    Ok(all)
}

fn invalid(error: impl std::fmt::Display) -> Error {
    Error::Key { reason: error.to_string() }
}
