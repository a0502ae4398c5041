//! The key shared by the instances of a fleet.

use std::fmt;
use std::rc::Rc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Keyed hash used for challenges, session keys and frames.
pub(crate) type Authenticator = Hmac<Sha256>;

/// The key shared by the instances of a fleet. It is never printed.
#[derive(Clone)]
pub struct PeerKey(Rc<[u8]>);

impl PeerKey {
    /// Shortest accepted key in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Takes a key from the settings, or returns `None` if it is shorter than
    /// [`Self::MIN_BYTES`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.into()))
    }

    /// Starts an authentication code over the given pieces.
    pub(crate) fn authenticate(&self, pieces: &[&[u8]]) -> Authenticator {
        authenticator(&self.0, pieces)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

pub(crate) fn authenticator(key: &[u8], pieces: &[&[u8]]) -> Authenticator {
    let Ok(mut mac) = Authenticator::new_from_slice(key) else {
        unreachable!("HMAC accepts keys of any length")
    };
    for piece in pieces {
        mac.update(piece);
    }
    mac
}
