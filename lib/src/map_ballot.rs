//! Ballot numbers of the agreement on expert maps.

const ROUND_SHIFT_BITS: u32 = 32;

/// Returns a ballot that is higher than `highest_ballot` and that no other coordinator picks.
///
/// The upper 32 bits count rounds; the lower 32 bits are the random `nonce` of the coordinator.
pub(crate) fn next_ballot(highest_ballot: u64, nonce: u32) -> u64 {
    let round = (highest_ballot >> ROUND_SHIFT_BITS) + 1;
    (round << ROUND_SHIFT_BITS) | u64::from(nonce)
}
