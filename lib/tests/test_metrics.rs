//! Tests of the scraped metrics.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::IdleTimeTracker;
use pomeloramp_lib::Metrics;
use pomeloramp_lib::idle_report;
use pomeloramp_lib::protos::template::OrganisationParameters;

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
        metrics.record_queue_wait(&organisation, Duration::from_millis(1));
    }
    let text = metrics.scrape();
    let is_count = |line: &&str| line.starts_with("pomeloramp_queue_ms_count{");
    expect_that!(text.lines().filter(is_count).count(), eq(3_800));
}

#[googletest::test]
fn idle_time_is_shown_for_each_organisation() {
    let metrics = Metrics::new();
    let mut tracker = IdleTimeTracker::new(2, 0);
    tracker.set_parameters(&[parameters("desk"), parameters("floor")], 0);
    tracker.observe_start("desk", 0);
    tracker.observe_start("desk", 0);
    tracker.advance(10);
    metrics.record_idle_times(&idle_report(&tracker, "quote-draft"));
    let text = metrics.scrape();
    for series in [
        "pomeloramp_used_ms{organisation=\"desk\",service=\"quote-draft\",otel_scope_name=\"pomeloramp\"} 10",
        "pomeloramp_borrowed_ms{organisation=\"desk\",service=\"quote-draft\",otel_scope_name=\"pomeloramp\"} 10",
        "pomeloramp_lent_ms{organisation=\"floor\",service=\"quote-draft\",otel_scope_name=\"pomeloramp\"} 10",
        "pomeloramp_idle_ms{organisation=\"floor\",service=\"quote-draft\",otel_scope_name=\"pomeloramp\"} 0",
    ] {
        expect_that!(text, contains_substring(series));
    }
}

fn parameters(name: &str) -> OrganisationParameters {
    OrganisationParameters {
        organisation: name.to_owned(),
        share_weight: 1,
        ..OrganisationParameters::default()
    }
}
