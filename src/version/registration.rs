//! Registrations that targets write to the directory.

use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// Longest id of a target or entry, in bytes.
const MAX_ID_BYTES: usize = 255;
/// Most slots of a target.
const MAX_SLOTS: u32 = 1_000_000;
/// Longest warm-up of a target.
const MAX_WARMUP: Duration = Duration::from_secs(24 * 60 * 60);
/// Latest start of a target: the end of the year 9999, in Unix milliseconds. A higher one would
/// supersede all honest reports of the same id.
const MAX_BORN: u64 = 253_402_300_799_999;
/// Largest integer that all JSON implementations represent exactly, 2^53 - 1.
const MAX_SEQUENCE: u64 = 9_007_199_254_740_991;

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    Draining,
}

/// The latest report of one target in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    pub id: Rc<str>,
    pub service: Rc<str>,
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Rc<str>,
    pub slots: u32,
    pub state: TargetState,
    /// Remaining warm-up, from the time of the report until the target runs at full speed.
    pub warmup: Duration,
    /// Start of the target in Unix milliseconds, which distinguishes incarnations of one id.
    pub born: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl Registration {
    /// Sort key that orders all reports of one id, across incarnations.
    pub fn order(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }

    /// Returns the registration if a target can have written it.
    ///
    /// # Errors
    ///
    /// Names the field with an unusable value.
    pub fn validate(self) -> Result<Self> {
        check_id("id", &self.id)?;
        check_address(self.address)?;
        let limits = [
            ("service", !self.service.is_empty()),
            ("domain", !self.domain.is_empty()),
            ("slots", (1..=MAX_SLOTS).contains(&self.slots)),
            ("warmup", self.warmup <= MAX_WARMUP),
            ("born", self.born <= MAX_BORN),
            ("sequence", self.sequence <= MAX_SEQUENCE),
        ];
        match limits.iter().find(|(_, is_usable)| !is_usable) {
            Some((field, _)) => Err(malformed(format!("`{field}` is out of range"))),
            None => Ok(self),
        }
    }
}

/// Checks an id, which is sent in headers and written to logs.
pub fn check_id(field: &str, id: &str) -> Result<()> {
    let is_usable = (1..=MAX_ID_BYTES).contains(&id.len());
    match is_usable && id.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(()),
        false => Err(malformed(format!("`{field}` is not 1 to {MAX_ID_BYTES} visible characters"))),
    }
}

/// Checks that an address is one that a connection can be opened to.
pub fn check_address(address: SocketAddr) -> Result<()> {
    let ip = address.ip();
    match address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        true => Err(malformed(format!("`{address}` is no address of one process"))),
        false => Ok(()),
    }
}

fn malformed(reason: String) -> Error {
    Error::Malformed { reason }
}
