//! An environment's certificate authority.

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

/// The result of an operation on keys.
pub type Result<T> = std::result::Result<T, Error>;

/// Time by which a certificate is valid before it is created, for clocks that run behind.
const CLOCK_SKEW: Duration = Duration::from_secs(3600);

/// A certificate and its private key in PEM.
#[derive(Clone)]
pub struct Pair {
    pub certificate: String,
    pub key: String,
}

impl Pair {
    /// Creates the authority of an environment.
    pub fn authority(environment: &str, validity: Duration) -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new()).map_err(invalid)?;
        let name = format!("cornellink authority of {environment}");
        params.distinguished_name.push(DnType::CommonName, name);
        // The serial number tells two authorities of one environment apart.
        let serial = format!("{:016x}", rand::random::<u64>());
        params.distinguished_name.push(DnType::from_oid(&[2, 5, 4, 5]), serial);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        limit(&mut params, validity)?;
        let key = KeyPair::generate().map_err(invalid)?;
        let certificate = params.self_signed(&key).map_err(invalid)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Signs a certificate for the entry called `name` with this authority.
    pub fn issue(&self, name: &str, validity: Duration) -> Result<Self> {
        let full = certificate_name(name);
        let is_valid = !name.contains('.') && ServerName::try_from(full.as_str()).is_ok();
        if !is_valid {
            return Err(invalid(format!("`{name}` is not a valid name of an entry")));
        }
        let own = KeyPair::from_pem(&self.key).map_err(invalid)?;
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, own).map_err(invalid)?;
        let names = vec![full, SERVER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).map_err(invalid)?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        params.use_authority_key_identifier_extension = true;
        limit(&mut params, validity)?;
        let key = KeyPair::generate().map_err(invalid)?;
        let certificate = params.signed_by(&key, &issuer).map_err(invalid)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Reads `STEM.pem` and `STEM.key`.
    pub fn read(stem: &Path) -> Result<Self> {
        let read = |path: &Path| fs::read_to_string(path).map_err(|error| failed(path, error));
        let certificate = read(&stem.with_extension("pem"))?;
        Ok(Self { certificate, key: read(&stem.with_extension("key"))? })
    }

    /// Writes `STEM.key`, readable by its owner only, and `STEM.pem`.
    ///
    /// Each file is replaced at once. An entry keeps its old pair until the two files fit.
    pub fn write(&self, stem: &Path) -> Result<()> {
        replace(&stem.with_extension("key"), &self.key, 0o600)?;
        replace(&stem.with_extension("pem"), &self.certificate, 0o644)
    }
}

/// Replaces a file in one step.
pub fn replace(path: &Path, text: &str, mode: u32) -> Result<()> {
    let mut draft = path.as_os_str().to_owned();
    draft.push(".new");
    let draft = Path::new(&draft);
    let _ = fs::remove_file(draft);
    let mut options = fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(mode).open(draft);
    let mut file = file.map_err(|error| failed(draft, error))?;
    file.write_all(text.as_bytes()).map_err(|error| failed(draft, error))?;
    fs::rename(draft, path).map_err(|error| failed(path, error))
}

fn limit(params: &mut CertificateParams, validity: Duration) -> Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(invalid)?;
    params.not_before = date_time_ymd(1970, 1, 1) + now.saturating_sub(CLOCK_SKEW);
    params.not_after = date_time_ymd(1970, 1, 1) + now + validity;
    Ok(())
}

fn failed(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.display().to_string(), source }
}

fn invalid(error: impl std::fmt::Display) -> Error {
    Error::Key { reason: error.to_string() }
}
