//! Shares of a route between services.

use cactustrack_types::{ServiceId, SplitPart};

/// Returns the service that takes a request. `draw` is uniform from 0 to 1.
///
/// The choice does not depend on the state of the services: a part that is short of room rejects
/// what does not fit, since its requests are not for the other parts.
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
