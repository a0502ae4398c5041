//! Conversion of requests and replies to and from Cap'n Proto messages of the `Peer` schema.
//!
//! Decoders accept untrusted input: the length of each text and list is limited, and a message
//! that exceeds a limit is rejected as a whole.

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
/// a message within this limit always fits into a frame.
pub const MAX_MESSAGE_BYTES: usize = 192 * 1024;

/// Size of a Cap'n Proto word in bytes.
pub(crate) const WORD_BYTES: usize = 8;
/// Largest size of a received message after unpacking, in words.
const MAX_RECEIVED_WORDS: usize = MAX_FRAME_BYTES / WORD_BYTES;
/// Traversal limit of a received message in words. It exceeds the size of the message because the
/// RPC layer and the decoder read the same objects more than once.
const TRAVERSAL_WORDS: usize = 4 * MAX_RECEIVED_WORDS;
/// Largest nesting depth of pointers in a message. The schema nests to a depth of 6, within about
/// 4 levels of the RPC protocol.
const NESTING_LIMIT: i32 = 24;
/// Longest id, address, failure domain or region in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Longest list in a message. A report on all of 6,600 upstreams to a single collector exceeds it
/// and has to be split.
const MAX_LIST_ITEMS: u32 = 4096;

/// A message that can be sent to another instance.
pub trait Message: Sized {
    /// Returns the packed encoding of the message, without the envelope of an RPC call.
    fn encode(&self) -> Result<Vec<u8>>;
    /// Decodes a packed message. Returns an error if it is malformed or exceeds a limit.
    fn decode(bytes: &[u8]) -> Result<Self>;
}

/// Returns the packed encoding of a message.
pub(crate) fn pack(message: &Builder<HeapAllocator>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, message)?;
    Ok(bytes)
}

/// Unpacks a message, with limits on its size, traversal and nesting.
pub(crate) fn unpack(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>> {
    // Here the traversal limit bounds the memory allocated for the unpacked message.
    let unpack_options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_RECEIVED_WORDS),
        nesting_limit: NESTING_LIMIT,
    };
    let message = serialize_packed::read_message(&mut bytes, unpack_options)?;
    let read_options = ReaderOptions {
        traversal_limit_in_words: Some(TRAVERSAL_WORDS),
        nesting_limit: NESTING_LIMIT,
    };
    Ok(Reader::new(message.into_segments(), read_options))
}

/// Implements [`Message`] with a function that writes to the generated builder and one that reads
/// from the generated reader.
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
pub(crate) use report::{read_report, read_report_reply, write_report, write_report_reply};
pub(crate) use sync::{read_sync_reply, read_sync_request, write_sync_reply, write_sync_request};

/// Reads a text of at most [`MAX_TEXT_BYTES`].
fn read_text(text: text::Reader<'_>) -> Result<Arc<str>> {
    let text = text.to_str()?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::failed("text is too long".into()));
    }
    Ok(text.into())
}

/// Returns `length`, or an error if it exceeds `limit`. Lists are checked before anything is
/// allocated for them.
fn check_length(length: u32, limit: u32) -> Result<u32> {
    if length > limit {
        return Err(Error::failed(format!("list has {length} items, the limit is {limit}")));
    }
    Ok(length)
}

/// Returns the number of items of a list that are encoded. Senders keep their lists within
/// [`MAX_LIST_ITEMS`]; items beyond it are left out.
fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX).min(MAX_LIST_ITEMS)
}
