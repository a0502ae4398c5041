//! Encoding of the messages that synchronize membership and configuration.

use capnp::Result;

use super::config::{read_chunk, read_head, read_want, write_chunk, write_head, write_want};
use super::impl_message;
use super::members::{read_delta, read_identity, write_delta, write_identity};
use crate::messages::{SyncReply, SyncRequest};
use crate::peer_capnp::{sync_reply, sync_request};

impl_message!(SyncRequest, sync_request, write_sync_request, read_sync_request);
impl_message!(SyncReply, sync_reply, write_sync_reply, read_sync_reply);

pub(crate) fn write_sync_request(value: &SyncRequest, mut to: sync_request::Builder<'_>) {
    write_identity(&value.sender, to.reborrow().init_sender());
    if let Some(head) = &value.config {
        write_head(head, to.reborrow().init_config());
    }
    if let Some(want) = &value.want {
        write_want(want, to.reborrow().init_want());
    }
    write_delta(&value.members, to.init_members());
}

pub(crate) fn read_sync_request(from: sync_request::Reader<'_>) -> Result<SyncRequest> {
    Ok(SyncRequest {
        sender: read_identity(from.get_sender()?)?,
        config: from.has_config().then(|| read_head(from.get_config()?)).transpose()?,
        want: from.has_want().then(|| read_want(from.get_want()?)).transpose()?,
        members: read_delta(from.get_members()?)?,
    })
}

pub(crate) fn write_sync_reply(value: &SyncReply, mut to: sync_reply::Builder<'_>) {
    write_identity(&value.responder, to.reborrow().init_responder());
    if let Some(head) = &value.config {
        write_head(head, to.reborrow().init_config());
    }
    if let Some(chunk) = &value.chunk {
        write_chunk(chunk, to.reborrow().init_chunk());
    }
    write_delta(&value.members, to.init_members());
}

pub(crate) fn read_sync_reply(from: sync_reply::Reader<'_>) -> Result<SyncReply> {
    Ok(SyncReply {
        responder: read_identity(from.get_responder()?)?,
        config: from.has_config().then(|| read_head(from.get_config()?)).transpose()?,
        chunk: from.has_chunk().then(|| read_chunk(from.get_chunk()?)).transpose()?,
        members: read_delta(from.get_members()?)?,
    })
}
