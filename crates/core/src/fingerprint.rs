//! What identifies a request that comes again under another id, perhaps at another daemon.
//!
//! A request id is new with each attempt of a caller. The fingerprint covers what a target gets to
//! see of every attempt alike: method, host, path with query, the caller and body. The caller is its
//! account, so that a new key gives no new identity, or its credentials where there are no accounts.
//! It is a cryptographic digest, so that nobody can make a request that is taken for another
//! caller's.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
};

/// Length of a fingerprint in bytes.
const BYTES: usize = 16;

/// The parts of a request that are the same in all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Name of the caller's account. Where the configuration names no accounts, the credentials by
    /// which the caller identifies itself. Empty without any.
    pub caller: &'a [u8],
    /// Complete body.
    pub body: &'a [u8],
}

/// Digest of a request's parts.
///
/// ```
/// use rattanturn_core::fingerprint::{Fingerprint, RequestParts};
/// let parts = RequestParts { method: "GET", host: "a", path: "/b?c", caller: b"", body: b"" };
/// let same = Fingerprint::of(&parts);
/// assert_eq!(same, Fingerprint::of(&parts));
/// assert_ne!(same, Fingerprint::of(&RequestParts { body: b"d", ..parts }));
/// assert_eq!(same.to_string().parse(), Ok(same));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request. It takes time in proportion to the body.
    #[must_use]
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hash = Sha256::new();
        let texts = [parts.method, parts.host, parts.path].map(str::as_bytes);
        for part in texts.into_iter().chain([parts.caller, parts.body]) {
            // The length keeps the end of one part from being taken for the begin of the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut out = [0; BYTES];
        out.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(out)
    }

    /// The first eight bytes as a key for [`crate::rendezvous`].
    #[must_use]
    pub fn key(self) -> u64 {
        let mut key = [0; 8];
        key.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(key)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

/// A text is no fingerprint: it does not consist of 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFingerprint;

impl fmt::Display for InvalidFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a fingerprint of 32 hexadecimal digits")
    }
}

impl std::error::Error for InvalidFingerprint {}

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        if text.len() != BYTES * 2 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(InvalidFingerprint);
        }
        let mut out = [0; BYTES];
        for (byte, at) in out.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| InvalidFingerprint)?;
        }
        Ok(Self(out))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = InvalidFingerprint;

    fn try_from(text: String) -> Result<Self, InvalidFingerprint> {
        text.parse()
    }
}
