//! Tests of placements: signing, rejection and the choice of the home.

use std::collections::HashMap;

use googletest::prelude::*;
use pomeloramp_lib::Placement;
use pomeloramp_lib::PlacementError;
use pomeloramp_lib::protos::control::PlacementHome;
use proptest::prelude::*;

const PEER_KEY: &[u8] = b"peer key";
const SERVICE: &str = "order-commit";

fn home(incarnation: u64, stamp_ms: u64) -> PlacementHome {
    PlacementHome {
        vm_name: format!("vm-{incarnation}"),
        peer_address: format!("127.0.0.1:{incarnation}"),
        incarnation,
        stamp_ms,
    }
}

fn placement(incarnations: &[u64]) -> Placement {
    let homes = incarnations.iter().map(|id| home(*id, 5)).collect();
    Placement::new(SERVICE, 3, homes)
}

#[googletest::test]
fn a_placement_decodes_to_what_was_encoded() {
    let placed = placement(&[1, 2, 3]);
    let decoded = Placement::decode(&placed.encode(PEER_KEY), PEER_KEY, SERVICE);
    assert_that!(decoded, ok(eq(&placed)));
}

#[googletest::test]
fn invalid_placements_and_those_of_another_system_or_service_are_rejected() {
    let text = placement(&[1, 2, 3]).encode(b"other key");
    let decoded = Placement::decode(&text, PEER_KEY, SERVICE);
    expect_that!(decoded, err(eq(&PlacementError::Signature)));
    let text = placement(&[1, 2, 3]).encode(PEER_KEY);
    let decoded = Placement::decode(&text, PEER_KEY, "other");
    expect_that!(
        decoded,
        err(matches_pattern!(PlacementError::OtherService { .. }))
    );
    let text = placement(&[]).encode(PEER_KEY);
    let decoded = Placement::decode(&text, PEER_KEY, SERVICE);
    expect_that!(
        decoded,
        err(matches_pattern!(PlacementError::NoHome { .. }))
    );
    let decoded = Placement::decode(&"A".repeat(7_000), PEER_KEY, SERVICE);
    expect_that!(
        decoded,
        err(matches_pattern!(PlacementError::TooLong { .. }))
    );
    let decoded = Placement::decode("not base64!", PEER_KEY, SERVICE);
    expect_that!(
        decoded,
        err(matches_pattern!(PlacementError::Encoding { .. }))
    );
}

#[googletest::test]
fn calls_spread_evenly_and_a_removed_home_moves_only_its_own_calls() {
    const CALLS: u32 = 3_000;
    let all = placement(&[11, 12, 13]);
    let fewer = placement(&[11, 13]);
    let mut counts = HashMap::new();
    for id in 0..CALLS {
        let key = format!("key-{id}");
        let before = all
            .home("org", &key)
            .expect("placement has homes")
            .incarnation;
        let after = fewer
            .home("org", &key)
            .expect("placement has homes")
            .incarnation;
        *counts.entry(before).or_insert(0_u32) += 1;
        expect_true!(before == 12 || before == after);
    }
    expect_that!(counts.len(), eq(3));
    for calls in counts.into_values() {
        expect_that!(calls, all![ge(800), le(1200)]);
    }
}

proptest! {
    #[test]
    fn the_home_depends_on_nothing_but_call_and_placement(
        mut incarnations in prop::collection::hash_set(any::<u64>(), 1..12)
            .prop_map(|set| set.into_iter().collect::<Vec<_>>()),
        organisation in "[a-z]{1,8}",
        key in "[a-z0-9-]{1,40}",
        rotation in any::<prop::sample::Index>(),
    ) {
        let placed = placement(&incarnations);
        let chosen = placed.home(&organisation, &key).cloned();
        let middle = rotation.index(incarnations.len());
        incarnations.rotate_left(middle);
        let text = placement(&incarnations).encode(PEER_KEY);
        let decoded = Placement::decode(&text, PEER_KEY, SERVICE).expect("decodes");
        prop_assert_eq!(decoded.home(&organisation, &key).cloned(), chosen);
    }

    #[test]
    fn a_modified_placement_is_rejected_or_equal(
        position in any::<prop::sample::Index>(),
        replacement in "[A-Za-z0-9_-]",
    ) {
        let placed = placement(&[21, 22, 23]);
        let mut text = placed.encode(PEER_KEY);
        let position = position.index(text.len());
        text.replace_range(position..=position, &replacement);
        if let Ok(decoded) = Placement::decode(&text, PEER_KEY, SERVICE) {
            prop_assert_eq!(decoded, placed);
        }
    }

    #[test]
    fn any_text_is_rejected_without_panic(text in ".{0,200}") {
        prop_assert!(Placement::decode(&text, PEER_KEY, SERVICE).is_err());
    }
}
