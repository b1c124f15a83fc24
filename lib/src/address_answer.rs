//! Selection of the entry addresses that a caller receives.

use std::cmp::Reverse;

use pomeloramp_proc_macros::value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::AddressRequest;
use crate::EntryRecord;

/// Shortest lifetime of an answer, in percent of the longest. Lifetimes are spread between the two.
const MIN_LIFETIME_PERCENT: u64 = 75;

/// Lifetime of an answer without an open entry, in percent of the usual lifetime.
const LAST_RESORT_LIFETIME_PERCENT: u64 = 25;

/// Entry addresses for a caller, in the order in which to try them.
#[value]
pub struct AddressAnswer {
    /// IP addresses with ports.
    pub addresses: Vec<String>,
    /// Time for which the caller may cache the answer.
    pub lifetime_ms: u64,
}

impl AddressAnswer {
    /// Selects addresses for a caller; the list is empty only if no entry is known.
    ///
    /// The entries are ranked for each caller by rendezvous hashing, those of its availability zone
    /// first, so that the callers of a failed entry spread evenly over the others. If no entry is
    /// open, suspected entries are selected instead, and leaving ones only if all are leaving. The
    /// last address is in another availability zone than the caller's, if such an entry exists.
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

/// Truncates the list to the requested length. If only entries of the caller's availability zone
/// would remain, the best entry of another one replaces the last.
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

/// Returns the rendezvous score of an entry for a caller; the highest score ranks first.
fn score(entry: &EntryRecord, request: &AddressRequest) -> u64 {
    xxh3_64_with_seed(entry.vm_name.as_bytes(), xxh3_64(request.caller.as_bytes()))
}

/// Returns the lifetime of an answer, spread over callers so that they don't all refresh at once.
fn lifetime_ms(request: &AddressRequest, has_open: bool) -> u64 {
    let spread = 100 - MIN_LIFETIME_PERCENT;
    let percent = MIN_LIFETIME_PERCENT + xxh3_64(request.caller.as_bytes()) % (spread + 1);
    let lifetime_ms = request.max_lifetime_ms.saturating_mul(percent) / 100;
    if has_open {
        return lifetime_ms;
    }
    lifetime_ms.saturating_mul(LAST_RESORT_LIFETIME_PERCENT) / 100
}
