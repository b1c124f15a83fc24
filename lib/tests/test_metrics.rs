//! Tests of the scraped measurements.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::Metrics;

#[googletest::test]
fn histograms_are_kept_for_each_organisation_and_class() {
    let metrics = Metrics::new();
    metrics.record_request("estimating-desk", "ran", Duration::from_millis(30));
    metrics.record_request("shop-floor", "not-run", Duration::from_millis(3));
    metrics.record_first_token("quote-draft", 5, Duration::from_millis(400));
    let text = metrics.scrape();
    expect_that!(
        text,
        contains_substring(
            "organisation=\"estimating-desk\",outcome=\"ran\",otel_scope_name=\"pomeloramp\",le=\"50\"} 1"
        )
    );
    expect_that!(text, contains_substring("outcome=\"not-run\""));
    expect_that!(text, contains_substring("service=\"quote-draft\""));
}

#[googletest::test]
fn every_organisation_of_the_design_size_has_a_series_of_its_own() {
    let metrics = Metrics::new();
    for number in 0..3_800 {
        let organisation = format!("organisation-{number}");
        metrics.record_queue(&organisation, Duration::from_millis(1));
    }
    let text = metrics.scrape();
    let is_count = |line: &&str| line.starts_with("pomeloramp_queue_ms_count{");
    expect_that!(text.lines().filter(is_count).count(), eq(3_800));
}
