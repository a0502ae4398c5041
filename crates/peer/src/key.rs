//! The key shared by the instances of a fleet, and message authentication codes under it.

use std::fmt;
use std::rc::Rc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Message authentication code of handshake proofs and frames, also used to derive session keys.
pub(crate) type HmacSha256 = Hmac<Sha256>;

/// Key shared by the instances of a fleet. It is never printed; `Debug` omits the bytes.
#[derive(Clone)]
pub struct PeerKey(Rc<[u8]>);

impl PeerKey {
    /// Minimum length of a key in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a key, or returns `None` if it is shorter than [`Self::MIN_BYTES`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.into()))
    }

    /// Returns a MAC under this key, updated with the concatenation of `parts`.
    pub(crate) fn start_mac(&self, parts: &[&[u8]]) -> HmacSha256 {
        start_mac(&self.0, parts)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Returns a MAC under `key`, updated with the concatenation of `parts`.
pub(crate) fn start_mac(key: &[u8], parts: &[&[u8]]) -> HmacSha256 {
    let Ok(mut mac) = HmacSha256::new_from_slice(key) else {
        unreachable!("HMAC accepts keys of any length")
    };
    for part in parts {
        mac.update(part);
    }
    mac
}
