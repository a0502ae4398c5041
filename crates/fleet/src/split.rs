//! Traffic split of a route between services.

use cactustrack_types::{ServiceId, SplitPart};

/// Returns the service that receives a request. `draw` is a random number, uniform from 0 to 1.
///
/// The choice does not depend on the state of the services. A service with too little capacity
/// rejects the excess requests, since they must not be moved to the other services of the split.
pub fn choose(parts: &[SplitPart], draw: f64) -> Option<&ServiceId> {
    let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
    let mut left = draw * total as f64;
    for part in parts {
        left -= f64::from(part.weight);
        if left < 0.0 {
            return Some(&part.service);
        }
    }
    parts.iter().rfind(|part| part.weight > 0).map(|part| &part.service)
}
