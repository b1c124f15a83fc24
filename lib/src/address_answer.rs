//! Decision on which entry addresses a caller is told.

use std::cmp::Reverse;

use pomeloramp_proc_macros::value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::AddressRequest;
use crate::EntryRecord;

/// Shortest lifetime of an answer, in percent of the longest; callers are spread between the two.
const MIN_LIFETIME_PERCENT: u64 = 75;

/// Lifetime of an answer that holds no open entry, in percent of an ordinary one.
const LAST_RESORT_LIFETIME_PERCENT: u64 = 25;

/// Entry addresses that a caller is told, to be tried in this order.
#[value]
pub struct AddressAnswer {
    /// IP addresses and ports.
    pub addresses: Vec<String>,
    /// Time for which the caller may keep the answer.
    pub lifetime_ms: u64,
}

impl AddressAnswer {
    /// Selects addresses for a caller; the list is empty only if no entry is known.
    ///
    /// Each caller ranks the entries by rendezvous hashing, those of its availability zone first,
    /// so that the callers of a killed entry spread evenly over the others. Leaving and suspected
    /// entries are left out while open ones are known; suspected ones go before leaving ones. The
    /// last address is of another availability zone than the caller's, if there is one.
    #[must_use]
    pub fn choose(entries: &[EntryRecord], request: &AddressRequest) -> Self {
        let open = |entry: &&EntryRecord| !entry.leaving && !entry.suspected;
        let suspected = |entry: &&EntryRecord| !entry.leaving && entry.suspected;
        let mut ranked: Vec<&EntryRecord> = entries.iter().filter(open).collect();
        let has_open = !ranked.is_empty();
        if ranked.is_empty() {
            ranked = entries.iter().filter(suspected).collect();
        }
        if ranked.is_empty() {
            ranked = entries.iter().collect();
        }
        ranked.sort_by_key(|entry| (!is_local(entry, request), Reverse(score(entry, request))));
        keep_one_remote(&mut ranked, request);
        Self {
            addresses: ranked
                .into_iter()
                .map(|entry| entry.caller_address.to_owned())
                .collect(),
            lifetime_ms: lifetime_ms(request, has_open),
        }
    }
}

/// Cuts the list; its last address is replaced by the best one of another availability zone.
fn keep_one_remote(ranked: &mut Vec<&EntryRecord>, request: &AddressRequest) {
    let count = request.max_addresses.max(1);
    let first_remote = ranked.iter().position(|entry| !is_local(entry, request));
    if let Some(position) = first_remote
        && count > 1
        && position >= count
    {
        ranked.swap(count - 1, position);
    }
    ranked.truncate(count);
}

fn is_local(entry: &EntryRecord, request: &AddressRequest) -> bool {
    request.availability_zone == Some(entry.availability_zone)
}

/// Score by which a caller ranks an entry; the highest goes first.
fn score(entry: &EntryRecord, request: &AddressRequest) -> u64 {
    xxh3_64_with_seed(entry.vm_name.as_bytes(), xxh3_64(request.caller.as_bytes()))
}

/// Spreads callers over time, so that they don't all ask again at once.
fn lifetime_ms(request: &AddressRequest, has_open: bool) -> u64 {
    let spread = 100 - MIN_LIFETIME_PERCENT;
    let percent = MIN_LIFETIME_PERCENT + xxh3_64(request.caller.as_bytes()) % (spread + 1);
    let lifetime_ms = request.max_lifetime_ms.saturating_mul(percent) / 100;
    if has_open {
        return lifetime_ms;
    }
    lifetime_ms.saturating_mul(LAST_RESORT_LIFETIME_PERCENT) / 100
}
