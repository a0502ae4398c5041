//! Authenticated frames of limited size with sequence numbers. This module does no I/O.
//!
//! A frame consists of the length of its payload and its sequence number (4 bytes each, little
//! endian), a message authentication code over length, sequence number and payload (the first 16
//! bytes of an HMAC-SHA-256), and the payload.

use hmac::Mac;

use crate::fault::PeerFault;
use crate::key::start_mac;

/// Largest frame in bytes, including the header.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of the header in bytes.
pub const HEADER_BYTES: usize = 24;
/// Largest payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_FRAME_BYTES - HEADER_BYTES;

/// Size in bytes of the length and of the sequence number.
const FIELD_BYTES: usize = 4;
/// Offset of the message authentication code in the header.
const MAC_OFFSET: usize = 2 * FIELD_BYTES;

/// The header of a frame as received.
pub type Header = [u8; HEADER_BYTES];

/// Encodes and authenticates the frames of one direction.
pub struct FrameWriter {
    key: [u8; 32],
    next_seq: u32,
}

/// Verifies the frames of one direction.
pub struct FrameReader {
    key: [u8; 32],
    next_seq: u32,
}

impl FrameWriter {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, next_seq: 0 }
    }

    /// Returns the next frame, with the given payload. Fails if the payload is too large or all
    /// sequence numbers have been used.
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, PeerFault> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(PeerFault::Oversized);
        }
        let length = u32::try_from(payload.len()).map_err(|_| PeerFault::Oversized)?.to_le_bytes();
        let seq = self.next_seq.to_le_bytes();
        self.next_seq = self.next_seq.checked_add(1).ok_or(PeerFault::Exhausted)?;
        let mac = start_mac(&self.key, &[&length, &seq, payload]).finalize().into_bytes();
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&length);
        frame.extend_from_slice(&seq);
        frame.extend_from_slice(&mac[..HEADER_BYTES - MAC_OFFSET]);
        frame.extend_from_slice(payload);
        Ok(frame)
    }
}

impl FrameReader {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, next_seq: 0 }
    }

    /// Returns the length of the payload that follows a header. Fails if it exceeds
    /// [`MAX_PAYLOAD_BYTES`].
    pub fn payload_bytes(header: &Header) -> Result<usize, PeerFault> {
        let length = usize::try_from(read_u32(header, 0)).map_err(|_| PeerFault::Oversized)?;
        if length > MAX_PAYLOAD_BYTES {
            return Err(PeerFault::Oversized);
        }
        Ok(length)
    }

    /// Verifies the authentication code of a frame and that its sequence number is the next one.
    pub fn open(&mut self, header: &Header, payload: &[u8]) -> Result<(), PeerFault> {
        let (length_and_seq, mac) = header.split_at(MAC_OFFSET);
        start_mac(&self.key, &[length_and_seq, payload])
            .verify_truncated_left(mac)
            .map_err(|_| PeerFault::Forged)?;
        match read_u32(header, FIELD_BYTES).cmp(&self.next_seq) {
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

fn read_u32(header: &Header, offset: usize) -> u32 {
    let mut bytes = [0; FIELD_BYTES];
    bytes.copy_from_slice(&header[offset..offset + FIELD_BYTES]);
    u32::from_le_bytes(bytes)
}
