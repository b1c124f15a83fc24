//! The list of endpoints of an entry that can't hear the platform, with what another entry tells.

use std::collections::HashMap;
use std::sync::Arc;

use crate::EndpointRecord;

/// Returns the list of an entry that can't hear the platform, with what another entry tells that can.
///
/// What the entry knows of endpoints that leave stays known, also when the other one is behind: one
/// that leaves does not come back, and one that the entry no longer lists is taken for new only when
/// it was started after all that it lists.
#[must_use]
pub fn merge_of_peer(
    known: Option<&[Arc<EndpointRecord>]>,
    told: Vec<EndpointRecord>,
) -> Vec<Arc<EndpointRecord>> {
    let known = known.unwrap_or_default();
    if told.is_empty() {
        return known.to_vec();
    }
    let newest_ms = known.iter().map(|record| record.born_ms).max();
    let by_id = known.iter().map(|record| (record.id.as_str(), record));
    let by_id: HashMap<&str, &Arc<EndpointRecord>> = by_id.collect();
    let merged = told.into_iter().filter_map(|record| {
        let Some(known) = by_id.get(record.id.as_str()) else {
            let is_new = newest_ms.is_none_or(|newest_ms| record.born_ms > newest_ms);
            return is_new.then(|| Arc::new(record));
        };
        let is_leaving = record.is_leaving || known.is_leaving;
        Some(Arc::new(EndpointRecord {
            is_leaving,
            ..record
        }))
    });
    merged.collect()
}
