//! Changes to the list of upstreams, as they arrive from the store and from relays.

use std::time::Instant;

use cactustrack_fleet::catalog::{AppliedChange, MissingChange};
use cactustrack_fleet::discovery::{Change, Revision, Snapshot};
use cactustrack_fleet::message::{Delta, ListDifference, PackedChanges, from_ms, to_ms};
use cactustrack_fleet::relay::{self, WholeListReading};

use super::state::{ChangeSource, State};

impl State {
    /// Applies changes of the upstream list sent by a relay. They are ignored if earlier changes
    /// are missing; the topic is then read from the store.
    ///
    /// # Errors
    ///
    /// States the newest change that is missing here.
    pub(crate) fn on_upstreams(
        &mut self,
        now: Instant,
        delta: &Delta<PackedChanges>,
    ) -> Result<(), MissingChange> {
        let known = self.catalog.revision();
        if delta.revision <= known && !self.catalog.has_pending_removals() {
            return Ok(());
        }
        let Some(changes) = self.unpack(now, &delta.content) else { return Ok(()) };
        if delta.revision <= known {
            self.confirm_removals(now, delta.recovery_ms, &changes);
            return Ok(());
        }
        if delta.after > known {
            let newest = changes.iter().filter_map(Change::upstream_revision).max();
            return newest.map_or(Ok(()), |revision| Err(MissingChange { revision }));
        }
        self.catalog.outages_mut().on_relayed(now, from_ms(delta.recovery_ms));
        let source = ChangeSource::Relay;
        self.apply_upstream_changes(now, source, delta.after, delta.revision, changes.clone());
        self.confirm_removals(now, delta.recovery_ms, &changes);
        Ok(())
    }

    /// Applies removals that were delayed because of an outage that one relay or this instance noticed,
    /// if another relay has noticed none: the first one, or this instance, is cut off from the store.
    fn confirm_removals(&mut self, now: Instant, recovery_ms: u32, changes: &[Change]) {
        if recovery_ms > 0 || !self.catalog.has_pending_removals() {
            return;
        }
        for id in self.catalog.confirm_removals(now, changes) {
            slog::info!(self.log, "members: delayed removal is confirmed"; "upstream" => &*id);
        }
    }

    /// Applies what a relay that has read the whole list of upstreams found to differ from what it
    /// knew. It is ignored if this instance knew another list.
    ///
    /// # Errors
    ///
    /// States the revision of the list if it has to be read from the store.
    pub(crate) fn on_list_difference(
        &mut self,
        now: Instant,
        difference: &ListDifference,
    ) -> Result<(), MissingChange> {
        let Some(changes) = self.unpack(now, &difference.content) else { return Ok(()) };
        let applied = self.catalog.apply_difference(now, difference, changes.clone())?;
        self.on_applied(now, ChangeSource::Relay, &applied);
        self.confirm_removals(now, difference.recovery_ms, &changes);
        Ok(())
    }

    /// Unpacks relayed changes, and logs if they are malformed.
    fn unpack(&self, now: Instant, content: &PackedChanges) -> Option<Vec<Change>> {
        match content.unpack() {
            Ok(changes) => {
                let changes = changes.into_iter();
                Some(changes.map(|change| relay::from_upstream_change(now, change)).collect())
            }
            Err(error) => {
                slog::warn!(self.log, "members: relayed changes ignored"; "error" => %error);
                None
            }
        }
    }

    /// Replaces the list of upstreams, unless newer changes are known. Returns what differs from
    /// the list before, which other instances may know. `None` if nothing was known before.
    pub(crate) fn replace_upstreams(
        &mut self,
        now: Instant,
        snapshot: Snapshot,
    ) -> Option<WholeListReading> {
        let Snapshot { changes, revision } = snapshot;
        let listed = changes.into_iter().filter_map(|change| match change {
            Change::Listed(upstream) => Some(upstream),
            _ => None,
        });
        let list: Vec<_> = listed.collect();
        let (count, before) = (list.len(), self.catalog.state());
        let Some(differences) = self.catalog.replace(now, list, revision) else {
            slog::info!(self.log, "members: upstream list ignored, newer changes are known";
                "revision" => %revision, "known" => %before.revision);
            return None;
        };
        slog::info!(self.log, "members: upstream list read";
            "count" => count, "differences" => differences.len(), "revision" => %revision);
        let is_first = before.revision.is_none();
        for change in &differences {
            self.set_incarnation(change);
            if !is_first {
                self.log_applied(now, ChangeSource::Read, change);
            }
        }
        (!is_first).then(|| WholeListReading {
            base: before.digest,
            state: self.catalog.state(),
            recovery_ms: to_ms(self.catalog.outages().own_recovery_left(now)),
            changes: differences.into_iter().map(Change::from).collect(),
        })
    }

    /// Applies changes after one revision, up to another one. Those that newer readings have
    /// superseded have no effect.
    pub(super) fn apply_upstream_changes(
        &mut self,
        now: Instant,
        source: ChangeSource,
        after: Revision,
        until: Revision,
        changes: Vec<Change>,
    ) {
        let known = self.catalog.revision();
        if until < known {
            slog::info!(self.log, "members: changes ignored, newer ones are known";
                "after" => %after, "revision" => %until, "known" => %known, "source" => %source);
        }
        let applied = self.catalog.apply(now, after, until, changes);
        self.on_applied(now, source, &applied);
    }

    fn on_applied(&mut self, now: Instant, source: ChangeSource, changes: &[AppliedChange]) {
        for change in changes {
            self.log_applied(now, source, change);
            self.set_incarnation(change);
        }
    }

    fn set_incarnation(&mut self, change: &AppliedChange) {
        let AppliedChange::Listed(upstream) = change else { return };
        if let Some(upstream) = self.catalog.get(&upstream.id) {
            self.view.set_incarnation(&upstream.id, upstream.incarnation);
        }
    }

    fn log_applied(&self, now: Instant, source: ChangeSource, change: &AppliedChange) {
        match change {
            AppliedChange::Listed(upstream) => {
                slog::info!(self.log, "members: upstream is listed";
                    "upstream" => &*upstream.id, "service" => &*upstream.service,
                    "leaving" => upstream.leaving, "incarnation" => upstream.incarnation.0,
                    "sequence" => upstream.sequence, "revision" => %upstream.revision,
                    "source" => %source,
                    "is_superseded" => self.catalog.is_superseded(&upstream.id));
            }
            AppliedChange::Removed { upstream, revision } => {
                let delay = self.catalog.removal_delay(now, &upstream.id);
                slog::info!(self.log, "members: upstream is no longer listed";
                    "upstream" => &*upstream.id, "service" => &*upstream.service,
                    "incarnation" => upstream.incarnation.0, "sequence" => upstream.sequence,
                    "revision" => %revision, "source" => %source, "delay_ms" => to_ms(delay));
            }
        }
    }
}
