//! The lease that the records of an instance share.

use std::cell::Cell;
use std::time::{Instant, SystemTime};

use futures::lock::Mutex;

use super::{LEASE_SHARING_PERIOD, RECORD_LIFE};
use crate::{LeaseId, Store, StoreError};

/// A lease that all records written within an hour share, so that a record costs no lease of its
/// own.
#[derive(Debug, Default)]
pub(super) struct SharedLease {
    /// Locked while a lease is granted, so that concurrent claims wait for the same one.
    granted: Mutex<Cell<Option<Granted>>>,
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    id: LeaseId,
    at: Instant,
    at_wall: SystemTime,
}

impl SharedLease {
    /// Returns a lease that lasts at least [`RECORD_LIFE`].
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
        // Dated before the call, since the lease starts some time during it.
        let at = Instant::now();
        let id = store.grant_lease(RECORD_LIFE + LEASE_SHARING_PERIOD).await?;
        granted.set(Some(Granted { id, at, at_wall: now_wall }));
        Ok(id)
    }

    /// Makes the next record get a new lease.
    pub(super) async fn forget(&self) {
        self.granted.lock().await.set(None);
    }
}

impl Granted {
    /// A wall clock that went back counts as time passed, since its age is unknown then.
    fn is_fresh(&self, now_wall: SystemTime) -> bool {
        let wall_age = now_wall.duration_since(self.at_wall).unwrap_or(LEASE_SHARING_PERIOD);
        self.at.elapsed().max(wall_age) < LEASE_SHARING_PERIOD
    }
}
