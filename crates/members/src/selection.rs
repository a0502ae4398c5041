//! Assignment of roles to members by rendezvous hashing over the live members.
//!
//! Instances with equal views select the same members without coordination, and a change of one
//! member moves only the roles that this member loses or gains.

use std::collections::HashSet;
use std::time::Instant;

use cactustrack_types::InstanceId;
use rand::Rng;
use rand::seq::IteratorRandom;
use rapidhash::v3::rapidhash_v3;

use crate::membership::{MemberState, MemberView, Membership};

/// Number of collectors of a service.
pub const COLLECTORS_PER_SERVICE: usize = 3;
/// Number of members of a region that watch the store.
pub const WATCHERS_PER_REGION: usize = 2;

impl Membership {
    /// Returns the collectors of a service: live members, each from a different failure domain as
    /// long as there are enough domains.
    pub fn collectors(&self, service: &str) -> Vec<InstanceId> {
        let ranked = self.rank("collector", service, |_| true);
        select_across_domains(&ranked, COLLECTORS_PER_SERVICE)
    }

    /// Returns the members of a region that watch the store.
    pub fn watchers(&self, region: &str) -> Vec<InstanceId> {
        let ranked = self.rank("watcher", region, |view| &*view.identity.region == region);
        select_across_domains(&ranked, WATCHERS_PER_REGION)
    }

    /// Returns true if this instance watches the store for its region.
    pub fn is_watcher(&self) -> bool {
        let own = self.own();
        self.watchers(&own.region).contains(&own.id)
    }

    /// Returns up to `count` members to synchronize membership and configuration with.
    ///
    /// Members that respond are sampled at random. One of the places goes to a member that needs a
    /// probe, if one is due.
    pub fn sync_partners(&self, rng: &mut impl Rng, count: usize, now: Instant) -> Vec<InstanceId> {
        let due = self.others().filter(|known| known.needs_probe() && known.probe_is_due(now));
        let probe = due.min_by_key(|known| (known.next_probe, &known.entry.identity.id));
        let mut partners: Vec<InstanceId> =
            probe.map(|known| known.entry.identity.id.clone()).into_iter().take(count).collect();
        let usable =
            self.others().filter(|known| !known.needs_probe() && known.state.may_respond());
        let sampled = usable.sample(rng, count - partners.len());
        partners.extend(sampled.into_iter().map(|known| known.entry.identity.id.clone()));
        partners
    }

    /// Returns the number of members, including this instance, for which `uses` returns true and
    /// which may have open connections. Suspect and leaving members count, because they may still
    /// have some.
    pub fn instances_using(&self, uses: impl Fn(&MemberView<'_>) -> bool) -> usize {
        self.members().filter(|view| view.state.may_respond() && uses(view)).count()
    }

    /// Returns the eligible live members in the order of their hash weight for a role.
    fn rank<'a>(
        &'a self,
        role: &str,
        key: &str,
        eligible: impl Fn(&MemberView<'a>) -> bool,
    ) -> Vec<MemberView<'a>> {
        let prefix = rapidhash_v3(format!("{role}/{key}").as_bytes());
        let mut ranked: Vec<_> = self
            .members()
            .filter(|view| view.state == MemberState::Live && eligible(view))
            .map(|view| (rendezvous_weight(prefix, &view.identity.id), view))
            .collect();
        ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.identity.id.cmp(&y.identity.id)));
        ranked.into_iter().map(|(_, view)| view).collect()
    }
}

fn rendezvous_weight(prefix: u64, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(8 + id.len());
    bytes.extend_from_slice(&prefix.to_le_bytes());
    bytes.extend_from_slice(id.as_bytes());
    rapidhash_v3(&bytes)
}

/// Selects the highest-ranked member of each failure domain, then the highest-ranked of the others,
/// up to `count` members.
fn select_across_domains(ranked: &[MemberView<'_>], count: usize) -> Vec<InstanceId> {
    let mut domains = HashSet::new();
    let (first, rest): (Vec<&MemberView<'_>>, Vec<_>) =
        ranked.iter().partition(|view| domains.insert(&view.identity.failure_domain));
    first.into_iter().chain(rest).take(count).map(|view| view.identity.id.clone()).collect()
}
