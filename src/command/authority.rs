//! Creates certificate authorities and issues the certificates of entries.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rcgen::{
    date_time_ymd, BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};
use rustls::pki_types::ServerName;

use crate::connection::quic::identity::{certificate_name, SERVER_NAME};
use crate::prelude::*;

/// The result of an operation on key files.
pub type Result<T> = std::result::Result<T, Error>;

/// Certificates are valid from this long before their creation, so that peers whose clocks run
/// behind accept them.
const CLOCK_SKEW: Duration = Duration::from_secs(3600);

/// A certificate and its private key in PEM.
#[derive(Clone)]
pub struct CertifiedKey {
    pub certificate: String,
    pub key: String,
}

impl CertifiedKey {
    /// Creates the self-signed certificate authority of an environment.
    pub fn create_authority(environment: &str, validity: Duration) -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new()).map_err(key_error)?;
        let name = format!("cornellink authority of {environment}");
        params.distinguished_name.push(DnType::CommonName, name);
        // A random serial number in the subject distinguishes two authorities of one environment;
        // a bundle holds both during a rotation.
        let serial = format!("{:016x}", rand::random::<u64>());
        params.distinguished_name.push(DnType::from_oid(&[2, 5, 4, 5]), serial);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        set_validity(&mut params, validity)?;
        let key = KeyPair::generate().map_err(key_error)?;
        let certificate = params.self_signed(&key).map_err(key_error)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Generates a key for the entry called `name` and signs its certificate with this authority.
    pub fn issue(&self, name: &str, validity: Duration) -> Result<Self> {
        let certificate_name = certificate_name(name);
        let is_valid =
            !name.contains('.') && ServerName::try_from(certificate_name.as_str()).is_ok();
        if !is_valid {
            return Err(key_error(format!("`{name}` is not a valid name of an entry")));
        }
        let authority_key = KeyPair::from_pem(&self.key).map_err(key_error)?;
        let issuer =
            Issuer::from_ca_cert_pem(&self.certificate, authority_key).map_err(key_error)?;
        let names = vec![certificate_name, SERVER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).map_err(key_error)?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, validity)?;
        let key = KeyPair::generate().map_err(key_error)?;
        let certificate = params.signed_by(&key, &issuer).map_err(key_error)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Reads `STEM.pem` and `STEM.key`.
    pub fn read(stem: &Path) -> Result<Self> {
        let read = |path: &Path| fs::read_to_string(path).map_err(|error| file_error(path, error));
        let certificate = read(&stem.with_extension("pem"))?;
        Ok(Self { certificate, key: read(&stem.with_extension("key"))? })
    }

    /// Writes `STEM.key`, readable by its owner only, and `STEM.pem`.
    ///
    /// Each file is replaced atomically, but not the two together: an entry keeps its old pair
    /// until the key on disk matches the certificate.
    pub fn write(&self, stem: &Path) -> Result<()> {
        replace_file(&stem.with_extension("key"), &self.key, 0o600)?;
        replace_file(&stem.with_extension("pem"), &self.certificate, 0o644)
    }
}

/// Replaces a file atomically: writes `PATH.new` and renames it.
pub fn replace_file(path: &Path, text: &str, mode: u32) -> Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = Path::new(&temporary);
    let _ = fs::remove_file(temporary);
    let mut options = fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(mode).open(temporary);
    let mut file = file.map_err(|error| file_error(temporary, error))?;
    file.write_all(text.as_bytes()).map_err(|error| file_error(temporary, error))?;
    fs::rename(temporary, path).map_err(|error| file_error(path, error))
}

fn set_validity(params: &mut CertificateParams, validity: Duration) -> Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(key_error)?;
    params.not_before = date_time_ymd(1970, 1, 1) + now.saturating_sub(CLOCK_SKEW);
    params.not_after = date_time_ymd(1970, 1, 1) + now + validity;
    Ok(())
}

fn file_error(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.display().to_string(), source }
}

fn key_error(error: impl std::fmt::Display) -> Error {
    Error::Key { reason: error.to_string() }
}
