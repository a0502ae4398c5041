//! The mutual challenge that opens each connection, without I/O.
//!
//! The client sends a greeting and a nonce, the server its nonce and a proof, the client a proof.
//! A proof is an HMAC under the shared key over the role of its sender and both nonces, so that
//! neither a recorded nor a reflected proof is accepted. Both sides derive a key for each
//! direction from the shared key and the nonces.

use hmac::Mac;

use crate::fault::PeerFault;
use crate::frame::{FrameReader, FrameWriter};
use crate::key::PeerKey;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
pub const PROOF_BYTES: usize = 32;
/// Start of each connection: name and version of the protocol.
pub const GREETING: [u8; 8] = *b"ctpeer\x00\x01";
/// Bytes of the first message: greeting and nonce of the client.
pub const CLIENT_HELLO_BYTES: usize = GREETING.len() + NONCE_BYTES;
/// Bytes of the second message: nonce and proof of the server.
pub const SERVER_HELLO_BYTES: usize = NONCE_BYTES + PROOF_BYTES;

/// A random number that is used once.
pub type Nonce = [u8; NONCE_BYTES];

/// The framing of an authenticated connection.
#[derive(Debug)]
pub struct Session {
    /// Seals outgoing frames.
    pub writer: FrameWriter,
    /// Opens incoming frames.
    pub reader: FrameReader,
}

/// The client's side of the challenge.
#[derive(Debug)]
pub struct ClientHandshake {
    key: PeerKey,
    nonce: Nonce,
}

impl ClientHandshake {
    /// Starts a handshake. The nonce must come from a cryptographic generator.
    pub fn new(key: PeerKey, nonce: Nonce) -> Self {
        Self { key, nonce }
    }

    /// Returns the first message.
    pub fn hello(&self) -> [u8; CLIENT_HELLO_BYTES] {
        let mut message = [0; CLIENT_HELLO_BYTES];
        let (greeting, nonce) = message.split_at_mut(GREETING.len());
        greeting.copy_from_slice(&GREETING);
        nonce.copy_from_slice(&self.nonce);
        message
    }

    /// Verifies the server's message and returns the third message and the session.
    pub fn finish(
        self,
        message: &[u8; SERVER_HELLO_BYTES],
    ) -> Result<([u8; PROOF_BYTES], Session), PeerFault> {
        let (nonce, proof) = message.split_at(NONCE_BYTES);
        if nonce == self.nonce {
            return Err(PeerFault::ReflectedChallenge);
        }
        let transcript = Transcript { key: &self.key, client: &self.nonce, server: nonce };
        transcript.verify(Label::ServerProof, proof)?;
        let session = Session {
            writer: FrameWriter::new(transcript.derive(Label::ClientFrames)),
            reader: FrameReader::new(transcript.derive(Label::ServerFrames)),
        };
        Ok((transcript.derive(Label::ClientProof), session))
    }
}

/// The server's side of the challenge.
#[derive(Debug)]
pub struct ServerHandshake {
    key: PeerKey,
    client: Nonce,
    nonce: Nonce,
}

impl ServerHandshake {
    /// Handles the client's first message and returns the reply. The nonce must come from a
    /// cryptographic generator.
    pub fn new(
        key: PeerKey,
        nonce: Nonce,
        message: &[u8; CLIENT_HELLO_BYTES],
    ) -> Result<(Self, [u8; SERVER_HELLO_BYTES]), PeerFault> {
        let (greeting, client) = message.split_at(GREETING.len());
        if greeting != GREETING {
            return Err(PeerFault::UnknownProtocol);
        }
        let client = Nonce::try_from(client).map_err(|_| PeerFault::UnknownProtocol)?;
        let this = Self { key, client, nonce };
        let mut reply = [0; SERVER_HELLO_BYTES];
        let (own, proof) = reply.split_at_mut(NONCE_BYTES);
        own.copy_from_slice(&nonce);
        proof.copy_from_slice(&this.transcript().derive(Label::ServerProof));
        Ok((this, reply))
    }

    /// Verifies the client's proof and returns the session.
    pub fn finish(self, proof: &[u8; PROOF_BYTES]) -> Result<Session, PeerFault> {
        let transcript = self.transcript();
        transcript.verify(Label::ClientProof, proof)?;
        Ok(Session {
            writer: FrameWriter::new(transcript.derive(Label::ServerFrames)),
            reader: FrameReader::new(transcript.derive(Label::ClientFrames)),
        })
    }

    fn transcript(&self) -> Transcript<'_> {
        Transcript { key: &self.key, client: &self.client, server: &self.nonce }
    }
}

/// Purpose of a value derived from the key and the nonces.
#[derive(Clone, Copy)]
enum Label {
    ServerProof,
    ClientProof,
    ServerFrames,
    ClientFrames,
}

impl Label {
    /// Labels have equal lengths, so that no two inputs of the hash are equal.
    fn bytes(self) -> &'static [u8; 12] {
        match self {
            Self::ServerProof => b"server-proof",
            Self::ClientProof => b"client-proof",
            Self::ServerFrames => b"server-frame",
            Self::ClientFrames => b"client-frame",
        }
    }
}

struct Transcript<'a> {
    key: &'a PeerKey,
    client: &'a [u8],
    server: &'a [u8],
}

impl Transcript<'_> {
    fn derive(&self, label: Label) -> [u8; 32] {
        let pieces: [&[u8]; 4] = [&GREETING, label.bytes(), self.client, self.server];
        self.key.authenticate(&pieces).finalize().into_bytes().into()
    }

    fn verify(&self, label: Label, proof: &[u8]) -> Result<(), PeerFault> {
        let pieces: [&[u8]; 4] = [&GREETING, label.bytes(), self.client, self.server];
        self.key.authenticate(&pieces).verify_slice(proof).map_err(|_| PeerFault::WrongKey)
    }
}
