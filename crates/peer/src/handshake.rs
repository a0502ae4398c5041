//! Mutual challenge-response authentication at the start of each connection. This module does no
//! I/O.
//!
//! The client sends a greeting and a nonce, the server replies with a nonce and a proof, and the
//! client sends a proof. A proof is an HMAC under the shared key over the role of its sender
//! and both nonces, so that neither a replayed nor a reflected proof is accepted. Both sides derive
//! a session key for each direction from the shared key and the nonces.

use hmac::Mac;

use crate::fault::PeerFault;
use crate::frame::{FrameReader, FrameWriter};
use crate::key::PeerKey;

/// Size of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;
/// Size of a proof in bytes.
pub const PROOF_BYTES: usize = 32;
/// First bytes of each connection: name and version of the protocol.
pub const GREETING: [u8; 8] = *b"ctpeer\x00\x01";
/// Size in bytes of the first message: greeting and nonce of the client.
pub const CLIENT_HELLO_BYTES: usize = GREETING.len() + NONCE_BYTES;
/// Size in bytes of the second message: nonce and proof of the server.
pub const SERVER_HELLO_BYTES: usize = NONCE_BYTES + PROOF_BYTES;

/// Random bytes that are used for one handshake only.
pub type Nonce = [u8; NONCE_BYTES];

/// Frame writer and reader of an authenticated connection.
#[derive(Debug)]
pub struct Session {
    /// Encodes outgoing frames.
    pub writer: FrameWriter,
    /// Verifies incoming frames.
    pub reader: FrameReader,
}

/// Client side of the handshake.
#[derive(Debug)]
pub struct ClientHandshake {
    key: PeerKey,
    nonce: Nonce,
}

impl ClientHandshake {
    /// Starts a handshake. The nonce must come from a cryptographically secure generator.
    pub fn new(key: PeerKey, nonce: Nonce) -> Self {
        Self { key, nonce }
    }

    /// Returns the first message, for the server.
    pub fn hello(&self) -> [u8; CLIENT_HELLO_BYTES] {
        let mut message = [0; CLIENT_HELLO_BYTES];
        let (greeting, nonce) = message.split_at_mut(GREETING.len());
        greeting.copy_from_slice(&GREETING);
        nonce.copy_from_slice(&self.nonce);
        message
    }

    /// Verifies the reply of the server. Returns the proof of the client, to be sent as the third
    /// message, and the session.
    pub fn finish(
        self,
        message: &[u8; SERVER_HELLO_BYTES],
    ) -> Result<([u8; PROOF_BYTES], Session), PeerFault> {
        let (nonce, proof) = message.split_at(NONCE_BYTES);
        if nonce == self.nonce {
            return Err(PeerFault::ReflectedChallenge);
        }
        let transcript =
            Transcript { key: &self.key, client_nonce: &self.nonce, server_nonce: nonce };
        transcript.verify(Label::ServerProof, proof)?;
        let session = Session {
            writer: FrameWriter::new(transcript.derive(Label::ClientFrames)),
            reader: FrameReader::new(transcript.derive(Label::ServerFrames)),
        };
        Ok((transcript.derive(Label::ClientProof), session))
    }
}

/// Server side of the handshake.
#[derive(Debug)]
pub struct ServerHandshake {
    key: PeerKey,
    client_nonce: Nonce,
    nonce: Nonce,
}

impl ServerHandshake {
    /// Handles the first message of the client and returns the reply. The nonce must come from a
    /// cryptographically secure generator.
    pub fn new(
        key: PeerKey,
        nonce: Nonce,
        message: &[u8; CLIENT_HELLO_BYTES],
    ) -> Result<(Self, [u8; SERVER_HELLO_BYTES]), PeerFault> {
        let (greeting, client_nonce) = message.split_at(GREETING.len());
        if greeting != GREETING {
            return Err(PeerFault::UnknownProtocol);
        }
        let client_nonce = Nonce::try_from(client_nonce).map_err(|_| PeerFault::UnknownProtocol)?;
        let this = Self { key, client_nonce, nonce };
        let mut reply = [0; SERVER_HELLO_BYTES];
        let (own_nonce, proof) = reply.split_at_mut(NONCE_BYTES);
        own_nonce.copy_from_slice(&nonce);
        proof.copy_from_slice(&this.transcript().derive(Label::ServerProof));
        Ok((this, reply))
    }

    /// Verifies the proof of the client and returns the session.
    pub fn finish(self, proof: &[u8; PROOF_BYTES]) -> Result<Session, PeerFault> {
        let transcript = self.transcript();
        transcript.verify(Label::ClientProof, proof)?;
        Ok(Session {
            writer: FrameWriter::new(transcript.derive(Label::ServerFrames)),
            reader: FrameReader::new(transcript.derive(Label::ClientFrames)),
        })
    }

    fn transcript(&self) -> Transcript<'_> {
        Transcript { key: &self.key, client_nonce: &self.client_nonce, server_nonce: &self.nonce }
    }
}

/// Purpose of a value derived from the shared key and the nonces.
#[derive(Clone, Copy)]
enum Label {
    ServerProof,
    ClientProof,
    ServerFrames,
    ClientFrames,
}

impl Label {
    /// Returns the bytes that enter the hash. All labels have the same length, so that hash inputs
    /// with different labels are never equal.
    fn bytes(self) -> &'static [u8; 12] {
        match self {
            Self::ServerProof => b"server-proof",
            Self::ClientProof => b"client-proof",
            Self::ServerFrames => b"server-frame",
            Self::ClientFrames => b"client-frame",
        }
    }
}

/// Inputs of the proofs and session keys of a handshake.
struct Transcript<'a> {
    key: &'a PeerKey,
    client_nonce: &'a [u8],
    server_nonce: &'a [u8],
}

impl Transcript<'_> {
    fn derive(&self, label: Label) -> [u8; 32] {
        let parts: [&[u8]; 4] = [&GREETING, label.bytes(), self.client_nonce, self.server_nonce];
        self.key.start_mac(&parts).finalize().into_bytes().into()
    }

    fn verify(&self, label: Label, proof: &[u8]) -> Result<(), PeerFault> {
        let parts: [&[u8]; 4] = [&GREETING, label.bytes(), self.client_nonce, self.server_nonce];
        self.key.start_mac(&parts).verify_slice(proof).map_err(|_| PeerFault::WrongKey)
    }
}
