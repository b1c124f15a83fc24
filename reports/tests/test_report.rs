//! Tests of the rows that a report draws, and of its files.

use std::fs;

use googletest::prelude::*;
use pomeloramp_lib::CapacityAccount;
use pomeloramp_reports::BalanceComparison;
use pomeloramp_reports::BalanceResult;
use pomeloramp_reports::Discipline;
use pomeloramp_reports::Drift;
use pomeloramp_reports::Plot;
use pomeloramp_reports::ReportDirectory;
use pomeloramp_reports::RoutePolicy;
use pomeloramp_reports::RoutingComparison;
use pomeloramp_reports::Scenario;
use pomeloramp_reports::Section;
use pomeloramp_reports::SharingLoad;
use pomeloramp_reports::balance_plots;
use pomeloramp_reports::routing_plots;

const SEED: u64 = 7;

fn balance() -> BalanceResult {
    let comparison = BalanceComparison::builder()
        .drift(Drift::Flip)
        .slots_per_rank(2)
        .layers(1)
        .seed(SEED)
        .build();
    comparison.run()
}

fn shown_in_all(plots: &[Plot], name: &str) -> bool {
    !plots.is_empty() && plots.iter().all(|plot| plot.svg.contains(name))
}

fn section() -> Section {
    let plot = Plot {
        file_name: "one.svg".to_owned(),
        caption: "lower & better".to_owned(),
        svg: "<svg/>".to_owned(),
    };
    Section {
        heading: "A heading",
        run: "seed 7".to_owned(),
        plots: vec![plot],
    }
}

#[googletest::test]
fn routing_rows_are_the_same_twice() -> Result<()> {
    let comparison = RoutingComparison::builder()
        .seed(SEED)
        .entries(2)
        .endpoints(2)
        .build();
    let rows = comparison.rows(Scenario::Outage);
    expect_that!(comparison.rows(Scenario::Outage), eq(&rows));
    expect_that!(rows.len(), eq(RoutePolicy::ALL.len()));
    let plots = routing_plots(&rows).or_fail()?;
    for policy in RoutePolicy::ALL {
        expect_that!(shown_in_all(&plots, policy.name()), eq(true));
    }
    Ok(())
}

#[googletest::test]
fn balance_rows_are_the_same_twice() -> Result<()> {
    let (result, again) = (balance(), balance());
    expect_that!(again.bounds, eq(&result.bounds));
    for (series, again) in result.methods.iter().zip(&again.methods) {
        expect_that!(again.skews, eq(&series.skews), "{}", series.method);
        expect_that!(again.moves, eq(&series.moves), "{}", series.method);
    }
    let plots = balance_plots(Drift::Flip, &result).or_fail()?;
    for series in &result.methods {
        expect_that!(shown_in_all(&plots, series.method), eq(true));
    }
    Ok(())
}

#[googletest::test]
fn sharing_rows_are_the_same_twice_and_split_the_whole_capacity() {
    for load in &SharingLoad::ALL {
        let result = load.run(Discipline::Fair, SEED);
        expect_that!(load.run(Discipline::Fair, SEED), eq(&result));
        let accounts = result.accounts.iter();
        let owned_ms: u64 = accounts.clone().map(CapacityAccount::owned_ms).sum();
        expect_that!(
            owned_ms,
            eq(16 * 599_999),
            "16 slots until the last millisecond"
        );
        let lent_ms: u64 = accounts.clone().map(|account| account.lent_ms).sum();
        let borrowed_ms: u64 = accounts.map(|account| account.borrowed_ms).sum();
        expect_that!(borrowed_ms, eq(lent_ms));
    }
}

#[googletest::test]
fn the_page_shows_every_plot_without_scripts() -> Result<()> {
    let parent = tempfile::tempdir().or_fail()?;
    let directory = ReportDirectory::create(&parent.path().join("new/report")).or_fail()?;
    directory.write_plots(&section()).or_fail()?;
    let page = directory.write_page(&[section()]).or_fail()?;
    let text = fs::read_to_string(&page).or_fail()?;
    expect_that!(text, contains_substring("<img src=\"one.svg\""));
    expect_that!(text, contains_substring("lower &amp; better"));
    expect_that!(text, contains_substring("seed 7"));
    expect_that!(text, not(contains_substring("<script")));
    let plot = fs::read_to_string(page.with_file_name("one.svg")).or_fail()?;
    expect_that!(plot, eq("<svg/>"));
    Ok(())
}

#[googletest::test]
fn a_directory_that_cannot_be_made_is_named() -> Result<()> {
    let parent = tempfile::tempdir().or_fail()?;
    let file = parent.path().join("taken");
    fs::write(&file, "a file").or_fail()?;
    let error = ReportDirectory::create(&file.join("report"))
        .err()
        .or_fail()?;
    let text = error.to_string();
    expect_that!(text, contains_substring("could not be created"));
    expect_that!(text, contains_substring(file.to_string_lossy()));
    Ok(())
}

#[googletest::test]
fn a_file_that_cannot_be_written_is_named() -> Result<()> {
    let parent = tempfile::tempdir().or_fail()?;
    let directory = ReportDirectory::create(parent.path()).or_fail()?;
    fs::create_dir(parent.path().join("one.svg")).or_fail()?;
    let error = directory.write_plots(&section()).err().or_fail()?;
    expect_that!(error.to_string(), contains_substring("one.svg"));
    expect_that!(
        error.to_string(),
        contains_substring("could not be written")
    );
    Ok(())
}
