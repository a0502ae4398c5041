//! Encoding of identities and of changes to the membership.

use cactustrack_members::{Doubt, Heard, Identity, MemberEntry, MemberStatus, MembersDelta};
use cactustrack_types::Incarnation;
use capnp::{Error, Result};

use super::{check_length, impl_message, list_length, read_text};
use crate::peer_capnp::{MemberStatus as WireStatus, identity, member_entry, members_delta};

/// Largest number of entries, of doubts and of replies to doubts in one message.
const MAX_ENTRIES: u32 = 256;
/// Largest number of digest buckets in one message.
const MAX_BUCKETS: u32 = 256;

impl_message!(Identity, identity, write_identity, read_identity);

pub(crate) fn write_identity(value: &Identity, mut to: identity::Builder<'_>) {
    to.set_id(&value.id);
    to.set_incarnation(value.incarnation.0);
    to.set_seq(value.seq);
    to.set_leaving(value.leaving);
    to.set_address(value.address.to_string());
    to.set_failure_domain(&value.failure_domain);
    to.set_region(&value.region);
}

pub(crate) fn read_identity(from: identity::Reader<'_>) -> Result<Identity> {
    let address = read_text(from.get_address()?)?;
    Ok(Identity {
        id: read_text(from.get_id()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        seq: from.get_seq(),
        leaving: from.get_leaving(),
        address: address.parse().map_err(|_| Error::failed("invalid instance address".into()))?,
        failure_domain: read_text(from.get_failure_domain()?)?,
        region: read_text(from.get_region()?)?,
    })
}

pub(super) fn write_delta(value: &MembersDelta, mut to: members_delta::Builder<'_>) {
    to.set_root(value.root);
    to.set_unreachable(value.unreachable);
    if !value.buckets.is_empty() {
        let mut buckets = to.reborrow().init_buckets(list_length(value.buckets.len()));
        for (i, bucket) in (0..buckets.len()).zip(&value.buckets) {
            buckets.set(i, *bucket);
        }
    }
    if !value.entries.is_empty() {
        let mut entries = to.reborrow().init_entries(list_length(value.entries.len()));
        for (i, entry) in (0..entries.len()).zip(&value.entries) {
            write_entry(entry, entries.reborrow().get(i));
        }
    }
    if !value.doubts.is_empty() {
        let mut doubts = to.reborrow().init_doubts(list_length(value.doubts.len()));
        for (i, doubt) in (0..doubts.len()).zip(&value.doubts) {
            let mut item = doubts.reborrow().get(i);
            item.set_id(&doubt.id);
            item.set_incarnation(doubt.incarnation.0);
        }
    }
    if !value.heard.is_empty() {
        let mut replies = to.reborrow().init_heard(list_length(value.heard.len()));
        for (i, heard) in (0..replies.len()).zip(&value.heard) {
            let mut item = replies.reborrow().get(i);
            item.set_id(&heard.id);
            item.set_incarnation(heard.incarnation.0);
            item.set_age_ms(heard.age_ms);
        }
    }
}

pub(super) fn read_delta(from: members_delta::Reader<'_>) -> Result<MembersDelta> {
    let buckets = from.get_buckets()?;
    check_length(buckets.len(), MAX_BUCKETS)?;
    let entries = from.get_entries()?;
    check_length(entries.len(), MAX_ENTRIES)?;
    let doubts = from.get_doubts()?;
    check_length(doubts.len(), MAX_ENTRIES)?;
    let replies = from.get_heard()?;
    check_length(replies.len(), MAX_ENTRIES)?;
    let doubt = |doubt: crate::peer_capnp::doubt::Reader<'_>| {
        let id = read_text(doubt.get_id()?)?;
        Ok(Doubt { id, incarnation: Incarnation(doubt.get_incarnation()) })
    };
    let heard = |heard: crate::peer_capnp::heard::Reader<'_>| {
        let id = read_text(heard.get_id()?)?;
        let incarnation = Incarnation(heard.get_incarnation());
        Ok(Heard { id, incarnation, age_ms: heard.get_age_ms() })
    };
    Ok(MembersDelta {
        root: from.get_root(),
        buckets: buckets.iter().collect(),
        entries: entries.iter().map(read_entry).collect::<Result<_>>()?,
        doubts: doubts.iter().map(doubt).collect::<Result<_>>()?,
        heard: replies.iter().map(heard).collect::<Result<_>>()?,
        unreachable: from.get_unreachable(),
    })
}

fn write_entry(value: &MemberEntry, mut to: member_entry::Builder<'_>) {
    to.set_status(match value.status {
        MemberStatus::Live => WireStatus::Live,
        MemberStatus::Suspect => WireStatus::Suspect,
        MemberStatus::Gone => WireStatus::Gone,
    });
    write_identity(&value.identity, to.init_identity());
}

fn read_entry(from: member_entry::Reader<'_>) -> Result<MemberEntry> {
    let status = match from.get_status()? {
        WireStatus::Live => MemberStatus::Live,
        WireStatus::Suspect => MemberStatus::Suspect,
        WireStatus::Gone => MemberStatus::Gone,
    };
    Ok(MemberEntry { identity: read_identity(from.get_identity()?)?, status })
}
