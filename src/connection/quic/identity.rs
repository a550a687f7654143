//! Certificates and keys that authenticate entries to each other with mutual TLS.

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

/// Application protocol (ALPN) of the handshake.
const ALPN_PROTOCOL: &[u8] = b"cornellink-peer";
/// DNS name that every entry's certificate contains.
pub const SERVER_NAME: &str = "entry.cornellink.internal";

/// Paths of the PEM files of an identity.
#[derive(Clone, Debug)]
pub struct KeyPaths {
    /// Certificates of the accepted authorities: one, or the old and the new one during a rotation.
    pub authority: String,
    pub certificate: String,
    pub key: String,
}

/// TLS configurations and verifiers built from one version of the key files.
#[derive(Clone)]
pub struct Identity {
    pub client: ClientConfig,
    pub server: Arc<ServerConfig>,
    client_verifier: Arc<dyn ClientCertVerifier>,
    server_verifier: Arc<WebPkiServerVerifier>,
    file_digest: u64,
    own_certificate: CertificateDer<'static>,
}

impl Identity {
    /// Loads the files; fails if they are invalid or do not belong together.
    pub fn load(paths: &KeyPaths) -> Result<Self> {
        let mut files = Vec::new();
        for path in [&paths.authority, &paths.certificate, &paths.key] {
            let file =
                fs::read(path).map_err(|source| Error::File { path: path.clone(), source })?;
            files.push(file);
        }
        Self::parse(&files[0], &files[1], &files[2])
    }

    /// Parses the contents of the PEM files.
    pub fn parse(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Self> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = RootCertStore::empty();
        for root in parse_certificates(authority)? {
            roots.add(root).map_err(key_error)?;
        }
        let roots = Arc::new(roots);
        let chain = parse_certificates(certificate)?;
        let private_key = PrivateKeyDer::from_pem_slice(key).map_err(key_error)?;
        let own_certificate = chain[0].clone();
        let client_verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
        let client_verifier = client_verifier.map_err(key_error)?;
        let server_verifier =
            WebPkiServerVerifier::builder_with_provider(roots, provider.clone()).build();
        let server_verifier = server_verifier.map_err(key_error)?;

        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(key_error)?
            .with_client_cert_verifier(client_verifier.clone())
            .with_single_cert(chain.clone(), private_key.clone_key())
            .map_err(key_error)?;
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // Resumption is disabled, as a resumed session skips verification of the peer's
        // certificate.
        server.session_storage = Arc::new(NoServerSessionStorage {});
        server.send_tls13_tickets = 0;
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])
            .map_err(key_error)?
            .with_webpki_verifier(server_verifier.clone())
            .with_client_auth_cert(chain, private_key)
            .map_err(key_error)?;
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        client.resumption = Resumption::disabled();

        let server = QuicServerConfig::try_from(server).map_err(key_error)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(limits::transport_config(false)).migration(false);
        let client = QuicClientConfig::try_from(client).map_err(key_error)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(limits::transport_config(true));
        let file_digest = xxhash_rust::xxh3::xxh3_64(&[authority, certificate, key].concat());
        Ok(Self {
            client,
            server: Arc::new(server),
            client_verifier,
            server_verifier,
            file_digest,
            own_certificate,
        })
    }

    /// Whether two identities were built from files with the same contents.
    pub fn has_same_files(&self, other: &Self) -> bool {
        self.file_digest == other.file_digest
    }

    /// Whether the certificate of this identity belongs to the entry called `name`.
    pub fn belongs_to(&self, name: &str) -> bool {
        is_certificate_of(&self.own_certificate, name)
    }

    /// Whether the chain of a peer is valid now; `is_dialler` is set if this side dialled the peer.
    pub fn verifies(&self, chain: &[CertificateDer<'static>], is_dialler: bool) -> bool {
        let Some((end, rest)) = chain.split_first() else { return false };
        let now = UnixTime::now();
        if !is_dialler {
            return self.client_verifier.verify_client_cert(end, rest, now).is_ok();
        }
        let Ok(name) = ServerName::try_from(SERVER_NAME) else { return false };
        self.server_verifier.verify_server_cert(end, rest, &name, &[], now).is_ok()
    }
}

/// DNS name in the certificate of the entry called `name`.
pub fn certificate_name(name: &str) -> String {
    format!("{name}.{SERVER_NAME}")
}

/// Whether a certificate belongs to the entry called `name`.
pub fn is_certificate_of(certificate: &CertificateDer<'static>, name: &str) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    let Ok(expected) = ServerName::try_from(certificate_name(name)) else { return false };
    verify_server_name(&parsed, &expected).is_ok()
}

fn parse_certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let certificates: std::result::Result<Vec<_>, _> =
        CertificateDer::pem_slice_iter(pem).collect();
    let certificates = certificates.map_err(key_error)?;
    if certificates.is_empty() {
        return Err(key_error("the file has no certificate"));
    }
    Ok(certificates)
}

fn key_error(error: impl std::fmt::Display) -> Error {
    Error::Key { reason: error.to_string() }
}
