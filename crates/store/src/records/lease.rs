//! Lease shared by the records of an instance.

use std::cell::Cell;
use std::time::{Instant, SystemTime};

use futures::lock::Mutex;

use super::{LEASE_SHARING_PERIOD, MIN_RECORD_TTL};
use crate::{LeaseId, Store, StoreError};

/// A lease shared by all records written within an hour, so that a record needs no lease of its
/// own.
#[derive(Debug, Default)]
pub(super) struct SharedLease {
    /// Locked while a lease is requested, so that concurrent claims wait for the same lease.
    granted: Mutex<Cell<Option<GrantedLease>>>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: LeaseId,
    granted_at: Instant,
    granted_at_wall: SystemTime,
}

impl SharedLease {
    /// Returns a lease that lasts at least [`MIN_RECORD_TTL`].
    pub(super) async fn get(
        &self,
        store: &dyn Store,
        now_wall: SystemTime,
    ) -> Result<LeaseId, StoreError> {
        let granted = self.granted.lock().await;
        if let Some(lease) = granted.get()
            && lease.is_fresh(now_wall)
        {
            return Ok(lease.id);
        }
        // Taken before the call, since the lease starts at some time during the call.
        let granted_at = Instant::now();
        let id = store.grant_lease(MIN_RECORD_TTL + LEASE_SHARING_PERIOD).await?;
        granted.set(Some(GrantedLease { id, granted_at, granted_at_wall: now_wall }));
        Ok(id)
    }

    /// Discards the lease, so that the next record gets a new one.
    pub(super) async fn invalidate(&self) {
        self.granted.lock().await.set(None);
    }
}

impl GrantedLease {
    /// Returns whether new records may still use the lease. If the wall clock was set back, the age
    /// is unknown and the lease is not used.
    fn is_fresh(&self, now_wall: SystemTime) -> bool {
        let wall_age =
            now_wall.duration_since(self.granted_at_wall).unwrap_or(LEASE_SHARING_PERIOD);
        self.granted_at.elapsed().max(wall_age) < LEASE_SHARING_PERIOD
    }
}
