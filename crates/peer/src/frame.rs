//! Bounded, numbered and authenticated frames, without I/O.
//!
//! A frame is the length of its payload (4 bytes), its sequence number (4 bytes, both little
//! endian), an authentication code over length, number and payload (HMAC-SHA-256, first 16
//! bytes), and the payload.

use hmac::Mac;

use crate::fault::PeerFault;
use crate::key::authenticator;

/// Largest frame in bytes, including the header.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Bytes before the payload.
pub const HEADER_BYTES: usize = 24;
/// Largest payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_FRAME_BYTES - HEADER_BYTES;

const NUMBER_BYTES: usize = 4;
const MAC_START: usize = 2 * NUMBER_BYTES;

/// The header of a frame as received.
pub type Header = [u8; HEADER_BYTES];

/// Seals the frames of one direction.
pub struct FrameWriter {
    key: [u8; 32],
    next_seq: u32,
}

/// Opens the frames of one direction.
pub struct FrameReader {
    key: [u8; 32],
    next_seq: u32,
}

impl FrameWriter {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, next_seq: 0 }
    }

    /// Returns the frame with the given payload.
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, PeerFault> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(PeerFault::Oversized);
        }
        let length = u32::try_from(payload.len()).map_err(|_| PeerFault::Oversized)?.to_le_bytes();
        let seq = self.next_seq.to_le_bytes();
        self.next_seq = self.next_seq.checked_add(1).ok_or(PeerFault::Exhausted)?;
        let code = authenticator(&self.key, &[&length, &seq, payload]).finalize().into_bytes();
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&length);
        frame.extend_from_slice(&seq);
        frame.extend_from_slice(&code[..HEADER_BYTES - MAC_START]);
        frame.extend_from_slice(payload);
        Ok(frame)
    }
}

impl FrameReader {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, next_seq: 0 }
    }

    /// Returns the length of the payload, before it is read.
    pub fn payload_bytes(header: &Header) -> Result<usize, PeerFault> {
        let length = usize::try_from(number(header, 0)).map_err(|_| PeerFault::Oversized)?;
        if length > MAX_PAYLOAD_BYTES {
            return Err(PeerFault::Oversized);
        }
        Ok(length)
    }

    /// Verifies a frame.
    pub fn open(&mut self, header: &Header, payload: &[u8]) -> Result<(), PeerFault> {
        let (numbers, code) = header.split_at(MAC_START);
        authenticator(&self.key, &[numbers, payload])
            .verify_truncated_left(code)
            .map_err(|_| PeerFault::Forged)?;
        match number(header, NUMBER_BYTES).cmp(&self.next_seq) {
            std::cmp::Ordering::Less => Err(PeerFault::Replayed),
            std::cmp::Ordering::Greater => Err(PeerFault::Reordered),
            std::cmp::Ordering::Equal => {
                self.next_seq = self.next_seq.checked_add(1).ok_or(PeerFault::Exhausted)?;
                Ok(())
            }
        }
    }
}

impl std::fmt::Debug for FrameWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameWriter").field("next_seq", &self.next_seq).finish_non_exhaustive()
    }
}

impl std::fmt::Debug for FrameReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameReader").field("next_seq", &self.next_seq).finish_non_exhaustive()
    }
}

fn number(header: &Header, at: usize) -> u32 {
    let mut bytes = [0; NUMBER_BYTES];
    bytes.copy_from_slice(&header[at..at + NUMBER_BYTES]);
    u32::from_le_bytes(bytes)
}
