//! Tests of the election of configuration readers.

use googletest::prelude::*;
use pomeloramp_lib::ReaderElection;
use pomeloramp_lib::ReaderElectionSettings;
use pomeloramp_lib::StartupReadSchedule;
use pomeloramp_lib::VmListReadRate;

fn election(vm_name: &str, seed: u64) -> ReaderElection {
    let settings = ReaderElectionSettings::builder()
        .vm_name(vm_name.to_owned())
        .availability_zone("heredia".to_owned())
        .build();
    ReaderElection::new(settings, seed, 0)
}

fn readers(live_vms: &[&str]) -> Vec<String> {
    let is_reader = |vm: &&&str| election(vm, 0).is_reader(live_vms);
    let readers = live_vms.iter().filter(is_reader);
    readers.map(|vm| (*vm).to_owned()).collect()
}

#[googletest::test]
fn members_that_agree_elect_two_readers() {
    let names: Vec<String> = (0..30).map(|n| format!("entry-{n}")).collect();
    let live_vms: Vec<&str> = names.iter().map(String::as_str).collect();
    let elected = readers(&live_vms);
    expect_that!(elected, len(eq(2)));
    let rest: Vec<&str> = live_vms
        .iter()
        .copied()
        .filter(|vm| *vm != elected[0])
        .collect();
    let successors = readers(&rest);
    expect_that!(successors, len(eq(2)));
    expect_that!(successors, contains(eq(&elected[1])));
}

#[googletest::test]
fn a_process_that_sees_no_other_process_is_a_reader() {
    expect_that!(election("entry-1", 0).is_reader(&[]), eq(true));
    expect_that!(election("entry-1", 0).is_reader(&["entry-1"]), eq(true));
}

/// A reader receives every changed value in full, so over the revisions of a day the role must be
/// spread evenly over the processes of an availability zone.
#[googletest::test]
fn every_process_of_a_zone_is_a_reader_for_its_share_of_the_revisions() {
    let names: Vec<String> = (0..30).map(|n| format!("entry-{n}")).collect();
    let live_vms: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut election = election("entry-0", 0);
    let mut read_by = vec![0_u32; names.len()];
    let mut elections = 0;
    let mut former = Vec::new();
    for revision in 1..=7_400 {
        election.observe_revision(revision);
        let readers = election.readers(&live_vms);
        assert_that!(readers, len(eq(2)));
        for reader in &readers {
            read_by[live_vms.iter().position(|vm| vm == reader).unwrap()] += 1;
        }
        let readers: Vec<String> = readers.into_iter().map(str::to_owned).collect();
        elections += u32::from(readers != former);
        former = readers;
    }
    expect_that!(read_by.iter().max(), some(lt(&1_000)), "493 on average");
    expect_that!(elections, lt(500));
}

#[googletest::test]
fn contact_with_a_reader_postpones_the_fallback() {
    let mut election = election("entry-1", 7);
    let first_ms = election.next_fallback_read_ms();
    expect_that!(first_ms, all!(ge(3_000), lt(33_000)));
    election.observe_reader_contact(first_ms);
    expect_that!(election.take_due_fallback_read(first_ms), eq(false));
    expect_that!(election.next_fallback_read_ms(), ge(first_ms + 3_000));
}

#[googletest::test]
fn a_suspended_process_reads_once_when_it_is_resumed() {
    let mut election = election("entry-1", 7);
    expect_that!(election.take_due_fallback_read(3_600_000), eq(true));
    expect_that!(election.take_due_fallback_read(3_600_000), eq(false));
}

/// All 1,690 processes of a fleet of the design size lose their readers at the same time; their
/// fallback reads stay below the call limit in each second.
#[googletest::test]
fn fallback_reads_stay_below_the_call_limit() {
    let processes = 390 + 1_300;
    let spread_ms = ReaderElection::fallback_spread_ms(processes, 25, 1_000);
    expect_that!(spread_ms, eq(42_250));
    let mut calls_in_second = vec![0_u64; 300];
    let mut reads_of_process = Vec::new();
    for process in 0..processes {
        let settings = ReaderElectionSettings::builder()
            .vm_name(format!("vm-{process}"))
            .availability_zone("heredia".to_owned())
            .fallback_spread_ms(spread_ms)
            .build();
        let mut election = ReaderElection::new(settings, process, 0);
        let mut reads = 0;
        for now_ms in (0..220_000).step_by(100) {
            if election.take_due_fallback_read(now_ms) {
                reads += 1;
                calls_in_second[usize::try_from(now_ms / 1_000).unwrap()] += 25;
            }
        }
        reads_of_process.push(reads);
    }
    expect_that!(calls_in_second.iter().max(), some(lt(&2_000)));
    expect_that!(reads_of_process.iter().min(), some(ge(&5)));
}

/// A whole fleet of the design size starts at the same time while the service is down; each process
/// retries until the service answers.
#[googletest::test]
fn a_fleet_that_starts_simultaneously_stays_below_the_call_limit() {
    let entries = 390;
    let agents = 1_300;
    let mut calls_in_second = [0_u64; 20];
    calls_in_second[0] += agents;
    for entry in 0..entries {
        let mut reads = StartupReadSchedule::new(1_690, entry, 0);
        for now_ms in (0..20_000).step_by(50) {
            if reads.take_due(now_ms) {
                calls_in_second[usize::try_from(now_ms / 1_000).unwrap()] += 1;
            }
        }
        expect_that!(reads.take_due(30_000), eq(true), "it does not give up");
        reads.record_answer();
        expect_that!(reads.take_due(60_000), eq(false));
    }
    expect_that!(calls_in_second.iter().max(), some(lt(&2_000)));
}

#[googletest::test]
fn a_listed_fleet_spreads_its_fallback_reads_by_its_size() {
    let mut election = election("entry-1", 7);
    election.observe_processes(1_690);
    expect_that!(election.next_fallback_read_ms(), lt(33_000));
    let mut latest_ms = 0;
    for seed in 0..50 {
        let mut election = self::election("entry-1", seed);
        election.observe_processes(1_000_000);
        latest_ms = latest_ms.max(election.next_fallback_read_ms());
    }
    expect_that!(latest_ms, all!(gt(500_000), lt(1_003_000)));
}

#[googletest::test]
fn a_long_list_is_read_less_often() {
    let rate = VmListReadRate {
        interval_ms: 3_000,
        max_bytes_per_s: 2_000,
    };
    expect_that!(rate.delay_ms(0), eq(3_000));
    expect_that!(rate.delay_ms(6_000), eq(3_000));
    expect_that!(rate.delay_ms(331_249), eq(165_625));
}
