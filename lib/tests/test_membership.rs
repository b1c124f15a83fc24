//! Tests of a process's view of the other VMs.

use googletest::prelude::*;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::ListedVm;
use pomeloramp_lib::Member;
use pomeloramp_lib::MemberReport;
use pomeloramp_lib::MemberState;
use pomeloramp_lib::Membership;
use pomeloramp_lib::MembershipSettings;
use pomeloramp_lib::ReportEffect;

fn vm(name: &str, leaving: bool) -> ListedVm {
    ListedVm {
        vm_name: name.to_owned(),
        availability_zone: "heredia".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        service: "quote-draft".to_owned(),
        leaving,
    }
}

fn report(name: &str, incarnation: u64) -> MemberReport {
    MemberReport {
        vm_name: name.to_owned(),
        incarnation: Incarnation(incarnation),
        clock_ms: 1,
        leaving: false,
        endpoint_up: true,
        config_revision: 1,
    }
}

fn membership(vms: &[ListedVm]) -> Membership {
    let settings = MembershipSettings::builder()
        .vm_name("entry-1".to_owned())
        .build();
    let mut membership = Membership::new(settings);
    membership.observe_list(vms, 0);
    membership
}

#[googletest::test]
fn a_listed_vm_is_alive_after_its_first_report() {
    let mut members = membership(&[vm("a", false), vm("entry-1", false)]);
    expect_that!(members.state("entry-1", 0), none());
    expect_that!(members.state("a", 0), some(eq(MemberState::Unheard)));
    let effect = members.observe_report(&report("a", 5), 100, 110);
    expect_that!(effect, eq(ReportEffect::NewIncarnation));
    expect_that!(members.state("a", 3_100), some(eq(MemberState::Alive)));
    expect_that!(members.state("a", 3_101), some(eq(MemberState::Suspected)));
    let effect = members.observe_report(&report("b", 5), 100, 110);
    expect_that!(effect, eq(ReportEffect::Ignored));
}

/// A report counts from its request: an answer that was buffered for 20 s does not show that the
/// process is alive.
#[googletest::test]
fn a_late_answer_does_not_refresh() {
    let mut members = membership(&[vm("a", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    members.observe_report(&report("a", 5), 200, 20_200);
    expect_that!(members.state("a", 20_200), some(eq(MemberState::Suspected)));
}

#[googletest::test]
fn the_own_report_of_leaving_counts_while_the_list_lags() {
    let mut members = membership(&[vm("a", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    let mut leaving = report("a", 5);
    leaving.leaving = true;
    members.observe_report(&leaving, 1_100, 1_110);
    members.observe_list(&[vm("a", false)], 1_200);
    members.observe_report(&report("a", 5), 900, 1_300);
    expect_that!(members.state("a", 1_300), some(eq(MemberState::Leaving)));
}

#[googletest::test]
fn a_relayed_report_counts_for_its_incarnation_only() {
    let mut members = membership(&[vm("a", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    members.observe_relayed_leaving("a", Incarnation(4));
    expect_that!(members.state("a", 200), some(eq(MemberState::Alive)));
    members.observe_relayed_leaving("a", Incarnation(5));
    expect_that!(members.state("a", 200), some(eq(MemberState::Leaving)));
}

#[googletest::test]
fn the_list_marks_an_incarnation_not_its_successor() {
    let mut members = membership(&[vm("a", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    members.observe_list(&[vm("a", true)], 150);
    expect_that!(members.state("a", 200), some(eq(MemberState::Leaving)));
    members.observe_report(&report("a", 6), 300, 310);
    members.observe_list(&[vm("a", true)], 350);
    expect_that!(members.state("a", 400), some(eq(MemberState::Alive)));
    members.observe_list(&[vm("a", false)], 500);
    members.observe_list(&[vm("a", true)], 600);
    expect_that!(members.state("a", 600), some(eq(MemberState::Leaving)));
}

#[googletest::test]
fn an_older_incarnation_is_not_taken_for_a_newer_one() {
    let mut members = membership(&[vm("a", false)]);
    members.observe_report(&report("a", 6), 300, 310);
    let overlapping = members.observe_report(&report("a", 5), 305, 400);
    expect_that!(overlapping, eq(ReportEffect::Ignored));
    members.observe_report(&report("a", 7), 500, 510);
    let former = members.observe_report(&report("a", 6), 600, 610);
    expect_that!(former, eq(ReportEffect::Ignored));
}

#[googletest::test]
fn a_vm_that_left_the_list_is_kept_while_it_answers() {
    let mut members = membership(&[vm("a", false), vm("b", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    members.observe_list(&[], 200);
    expect_that!(members.state("a", 200), some(eq(MemberState::Alive)));
    expect_that!(members.state("b", 200), none());
    members.observe_list(&[], 60_101);
    expect_that!(members.state("a", 60_101), none());
}

#[googletest::test]
fn heartbeats_are_due_without_other_reports() {
    let mut members = membership(&[vm("a", false), vm("b", false), vm("c", false)]);
    expect_that!(members.due_heartbeats(&["a", "b"], 1_000), len(eq(2)));
    expect_that!(members.due_heartbeats(&["a", "b"], 1_999), is_empty());
    members.observe_report(&report("a", 5), 1_900, 1_910);
    let due = members.due_heartbeats(&["a", "b"], 2_000);
    expect_that!(due, elements_are![eq("b")]);
    expect_that!(members.due_heartbeats(&["a"], 2_900), len(eq(1)));
}

/// The report at the end of a long answer was made at that end, as the process's own clock shows.
#[googletest::test]
fn a_report_counts_by_the_clock_of_its_process() {
    let mut members = membership(&[vm("a", false)]);
    let at = |clock_ms| MemberReport {
        clock_ms,
        ..report("a", 5)
    };
    members.observe_report(&at(50_000), 100, 110);
    members.observe_report(&at(58_000), 200, 8_130);
    let latest_report_ms = |members: &Membership| members.member("a").map(Member::latest_report_ms);
    expect_that!(latest_report_ms(&members), some(eq(8_092)));
    // A report can't have been made after its receipt, even if the clock of the process has jumped.
    members.observe_report(&at(90_000), 8_200, 8_210);
    expect_that!(latest_report_ms(&members), some(eq(8_210)));
    members.observe_report(&at(60_000), 8_300, 9_000);
    expect_that!(latest_report_ms(&members), some(eq(8_300)));
}

#[googletest::test]
fn a_failed_request_suspects_a_vm_until_a_report_made_after_it() {
    let mut members = membership(&[vm("a", false)]);
    members.due_heartbeats(&["a"], 1_000);
    members.observe_report(&report("a", 5), 1_000, 1_010);
    members.observe_failure("a", 1_200);
    expect_that!(members.state("a", 1_200), some(eq(MemberState::Suspected)));
    members.observe_report(&report("a", 5), 1_150, 1_210);
    expect_that!(members.state("a", 1_210), some(eq(MemberState::Suspected)));
    expect_that!(members.due_heartbeats(&["a"], 1_210), len(eq(1)));
    // Another failure does not make a heartbeat due at once again.
    members.observe_failure("a", 1_220);
    expect_that!(members.due_heartbeats(&["a"], 1_230), is_empty());
    members.observe_report(&report("a", 5), 1_221, 1_240);
    expect_that!(members.state("a", 1_240), some(eq(MemberState::Alive)));
}

#[googletest::test]
fn a_heartbeat_with_an_update_is_not_postponed_and_any_other_not_without_limit() {
    let mut members = membership(&[vm("a", false)]);
    members.set_update_digest(7);
    expect_that!(members.due_heartbeats(&["a"], 1_000), len(eq(1)));
    members.observe_report(&report("a", 5), 1_000, 1_010);
    let digest = members.member("a").map_or(0, |a| members.update_digest(a));
    members.observe_acknowledged_digest("a", digest);
    let mut heartbeats_ms = Vec::new();
    for now_ms in (1_100..12_000).step_by(100) {
        if now_ms == 8_100 {
            members.set_update_digest(8);
        }
        members.observe_report(&report("a", 5), now_ms, now_ms);
        if !members.due_heartbeats(&["a"], now_ms).is_empty() {
            heartbeats_ms.push(now_ms);
        }
    }
    expect_that!(
        heartbeats_ms,
        elements_are![eq(&5_000), eq(&8_100), eq(&9_100), eq(&10_100), eq(&11_100)]
    );
}

#[googletest::test]
fn endpoints_are_found_by_service_and_state() {
    let mut members = membership(&[vm("a", false), vm("b", false)]);
    members.observe_report(&report("a", 5), 100, 110);
    let mut down = report("b", 6);
    down.endpoint_up = false;
    down.config_revision = 9;
    members.observe_report(&down, 100, 110);
    let alive = members.endpoints_in_state("quote-draft", MemberState::Alive, 200);
    let names: Vec<_> = alive.map(|m| m.listed().vm_name.clone()).collect();
    expect_that!(names, elements_are![eq("a")]);
    expect_that!(members.state("b", 200), some(eq(MemberState::EndpointDown)));
    expect_that!(members.highest_config_revision(), eq(9));
}

#[googletest::test]
fn a_failed_request_to_a_vm_that_had_left_the_list_was_forgotten() {
    for is_listed_at_failure in [true, false] {
        let mut members = membership(&[vm("a", false)]);
        if is_listed_at_failure {
            members.observe_failure("a", 500);
        }
        members.observe_list(&[], 600);
        if !is_listed_at_failure {
            members.observe_failure("a", 700);
        }
        members.observe_list(&[vm("a", false)], 800);
        // The answer was made before the failure.
        members.observe_report(&report("a", 5), 400, 900);
        expect_that!(members.state("a", 900), some(eq(MemberState::Suspected)));
        members.observe_report(&report("a", 5), 1_000, 1_010);
        expect_that!(members.state("a", 1_010), some(eq(MemberState::Alive)));
    }
}
