//! Tests of remembered choices of endpoints.

use googletest::prelude::*;
use pomeloramp_lib::EndpointSubset;
use pomeloramp_lib::SubsetCache;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;

const SERVICES: [&str; 2] = ["quote-draft", "order-commit"];

#[googletest::test]
fn unchanged_names_cost_no_choice() {
    let mut memo = SubsetCache::new("entry-1".to_owned(), 2);
    for _ in 0..5 {
        memo.choose("quote-draft", &["entry-1"], &["a", "b", "c"]);
    }
    expect_that!(memo.choices_made(), eq(1));
    memo.choose("quote-draft", &["entry-1", "a"], &["b", "c"]);
    expect_that!(memo.choices_made(), eq(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A remembered choice is the one that would be made now.
    #[test]
    fn remembered_choices_are_current(
        changes in prop::collection::vec(
            (0_usize..2, prop::collection::vec(0_usize..12, 1..3), any::<bool>()),
            1..60,
        ),
    ) {
        let mut memo = SubsetCache::new("entry-0".to_owned(), 3);
        let names: Vec<String> = (0..12).map(|n| format!("vm-{n}")).collect();
        let mut lists: [Vec<&str>; 2] = [Vec::new(), Vec::new()];
        for (list, changed, drops_service) in changes {
            for name in changed {
                match lists[list].iter().position(|known| *known == names[name]) {
                    Some(position) => drop(lists[list].remove(position)),
                    None => lists[list].push(&names[name]),
                }
            }
            for service in SERVICES {
                let subset = EndpointSubset { service, size: 3 };
                let expected = subset.choose("entry-0", &lists[0], &lists[1]);
                let chosen = memo.choose(service, &lists[0], &lists[1]).to_vec();
                assert_that!(chosen, eq(&expected));
            }
            memo.retain(|service| !drops_service || service == SERVICES[0]);
        }
    }
}
