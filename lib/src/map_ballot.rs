//! Ballots of the agreement on expert maps.

const ROUND_SHIFT_BITS: u32 = 32;

/// Returns a ballot higher than `highest_ballot` that no other coordinator's run picks.
///
/// The upper half counts rounds, the lower half is the random `nonce` of the coordinator's run.
pub(crate) fn next_ballot(highest_ballot: u64, nonce: u32) -> u64 {
    let round = (highest_ballot >> ROUND_SHIFT_BITS) + 1;
    (round << ROUND_SHIFT_BITS) | u64::from(nonce)
}
