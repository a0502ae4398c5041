//! Encoding of requests and replies in the schema of the peer interface.
//!
//! Decoders accept any input: every text and list has a bound, and a message that exceeds one is
//! rejected as a whole.

mod config;
mod members;
mod report;
mod sync;

use std::sync::Arc;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp::{Error, Result, serialize_packed, text};

use crate::frame::MAX_FRAME_BYTES;

/// Largest message in bytes before packing. Packing lengthens a message by at most a quarter, so
/// that every message within this bound fits into a frame.
pub const MAX_MESSAGE_BYTES: usize = 192 * 1024;

pub(crate) const WORD_BYTES: usize = 8;
/// Bound of the memory that a received message takes before it is read.
const MAX_RECEIVED_WORDS: usize = MAX_FRAME_BYTES / WORD_BYTES;
/// Bound of the reads from one message. RPC and decoder read the same objects more than once.
const TRAVERSAL_WORDS: usize = 4 * MAX_RECEIVED_WORDS;
/// The schema nests to a depth of 6, inside of about 4 levels of the RPC protocol.
const NESTING_LIMIT: i32 = 24;
/// Longest id, address, or name of a domain or region in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Longest list in a message. A report to a collector of all of 6,600 upstreams is split.
const MAX_LIST_ITEMS: u32 = 4096;

/// A message that can be sent to another instance.
pub trait Message: Sized {
    /// Encodes the message as it is sent, without the envelope of a call.
    fn encode(&self) -> Result<Vec<u8>>;
    /// Decodes a message.
    fn decode(bytes: &[u8]) -> Result<Self>;
}

/// Returns the packed encoding of a message.
pub(crate) fn pack(message: &Builder<HeapAllocator>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, message)?;
    Ok(bytes)
}

/// Reads a packed message within the limits.
pub(crate) fn unpack(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>> {
    // The limit of this step bounds the allocation for the unpacked message.
    let allocation = ReaderOptions {
        traversal_limit_in_words: Some(MAX_RECEIVED_WORDS),
        nesting_limit: NESTING_LIMIT,
    };
    let message = serialize_packed::read_message(&mut bytes, allocation)?;
    let reads = ReaderOptions {
        traversal_limit_in_words: Some(TRAVERSAL_WORDS),
        nesting_limit: NESTING_LIMIT,
    };
    Ok(Reader::new(message.into_segments(), reads))
}

/// Implements [`Message`] by a pair of functions on generated types.
macro_rules! impl_message {
    ($type:ty, $module:ident, $write:path, $read:path) => {
        impl crate::codec::Message for $type {
            fn encode(&self) -> ::capnp::Result<Vec<u8>> {
                let mut message = ::capnp::message::Builder::new_default();
                $write(self, message.init_root::<$module::Builder<'_>>());
                crate::codec::pack(&message)
            }

            fn decode(bytes: &[u8]) -> ::capnp::Result<Self> {
                let message = crate::codec::unpack(bytes)?;
                $read(message.get_root::<$module::Reader<'_>>()?)
            }
        }
    };
}
pub(crate) use impl_message;

pub(crate) use members::{read_identity, write_identity};
pub(crate) use report::{read_reply, read_report, write_reply, write_report};
pub(crate) use sync::{read_sync_reply, read_sync_request, write_sync_reply, write_sync_request};

fn read_text(text: text::Reader<'_>) -> Result<Arc<str>> {
    let text = text.to_str()?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::failed("text is too long".into()));
    }
    Ok(text.into())
}

/// Checks the length of a list before anything is allocated for it.
fn check_length(length: u32, limit: u32) -> Result<u32> {
    if length > limit {
        return Err(Error::failed(format!("list has {length} items, the limit is {limit}")));
    }
    Ok(length)
}

/// Converts a length that the sender keeps within [`MAX_LIST_ITEMS`].
fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX).min(MAX_LIST_ITEMS)
}
