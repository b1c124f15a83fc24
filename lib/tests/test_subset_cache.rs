//! Tests of the cache of endpoint subsets.

use googletest::prelude::*;
use pomeloramp_lib::EndpointSubset;
use pomeloramp_lib::SubsetCache;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;

const SERVICES: [&str; 2] = ["quote-draft", "order-commit"];

#[googletest::test]
fn unchanged_names_hit_the_cache() {
    let mut cache = SubsetCache::new("entry-1".to_owned(), 2);
    for _ in 0..5 {
        cache.choose("quote-draft", &["entry-1"], &["a", "b", "c"]);
    }
    expect_that!(cache.choices_made(), eq(1));
    cache.choose("quote-draft", &["entry-1", "a"], &["b", "c"]);
    expect_that!(cache.choices_made(), eq(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A cached subset equals the subset that would be computed now.
    #[test]
    fn cached_subsets_are_current(
        changes in prop::collection::vec(
            (0_usize..2, prop::collection::vec(0_usize..12, 1..3), any::<bool>()),
            1..60,
        ),
    ) {
        let mut cache = SubsetCache::new("entry-0".to_owned(), 3);
        let names: Vec<String> = (0..12).map(|n| format!("vm-{n}")).collect();
        let mut lists: [Vec<&str>; 2] = [Vec::new(), Vec::new()];
        for (list, changed, drops_service) in changes {
            for name in changed {
                match lists[list].iter().position(|listed| *listed == names[name]) {
                    Some(position) => drop(lists[list].remove(position)),
                    None => lists[list].push(&names[name]),
                }
            }
            for service in SERVICES {
                let subset = EndpointSubset { service, size: 3 };
                let expected = subset.choose("entry-0", &lists[0], &lists[1]);
                let chosen = cache.choose(service, &lists[0], &lists[1]).to_vec();
                assert_that!(chosen, eq(&expected));
            }
            cache.retain(|service| !drops_service || service == SERVICES[0]);
        }
    }
}
