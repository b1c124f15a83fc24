//! Tests of the quarantine of contents and prompt parts that crash endpoints.

use googletest::prelude::*;
use pomeloramp_lib::ContentFingerprint;
use pomeloramp_lib::CrashSuspect;
use pomeloramp_lib::PromptPart;
use pomeloramp_lib::SuspectQuarantine;
use pomeloramp_lib::SuspectQuarantineSettings;
use pomeloramp_lib::protos::control::suspect_report::Suspect;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use prost::Message;

const CAUSE: CrashSuspect = part(1);
const COMPANION: CrashSuspect = part(2);
const OTHER: CrashSuspect = part(3);
const CONTENT: CrashSuspect = CrashSuspect::Content(ContentFingerprint(1));

const fn part(id: u64) -> CrashSuspect {
    CrashSuspect::Part(PromptPart(id))
}

/// Time after which a crash counts towards refusal.
const CONFIRMED_MS: u64 = 500;

fn quarantine() -> SuspectQuarantine {
    SuspectQuarantine::new(SuspectQuarantineSettings::builder().build())
}

fn is_refused(quarantine: &SuspectQuarantine, suspects: &[CrashSuspect], now_ms: u64) -> bool {
    quarantine.refusal(suspects, now_ms).is_some()
}

/// Reports all of `from` to `to`.
fn tell(from: &mut SuspectQuarantine, to: &mut SuspectQuarantine, now_ms: u64) {
    to.merge(&from.reports(true, now_ms), now_ms);
}

#[googletest::test]
fn a_part_is_refused_after_three_crashes_whatever_else_its_calls_hold() {
    let mut quarantine = quarantine();
    for (crash, parts) in [[CAUSE, COMPANION], [CAUSE, OTHER], [OTHER, CAUSE]]
        .iter()
        .enumerate()
    {
        expect_false!(is_refused(&quarantine, &[CAUSE], 10_000));
        quarantine.record_crash(parts, u32::try_from(crash).unwrap(), 5_000);
    }
    expect_false!(is_refused(&quarantine, &[CAUSE], 5_000 + CONFIRMED_MS - 1));
    expect_true!(is_refused(&quarantine, &[CAUSE], 5_000 + CONFIRMED_MS));
    expect_true!(is_refused(&quarantine, &[part(9), CAUSE], 6_000));
    expect_false!(is_refused(&quarantine, &[COMPANION, OTHER], 6_000));
}

#[googletest::test]
fn crashes_that_different_entries_see_at_the_same_time_add_up() {
    let mut entries = [quarantine(), quarantine(), quarantine(), quarantine()];
    for (number, entry) in entries.iter_mut().take(3).enumerate() {
        entry.record_crash(&[CAUSE], u32::try_from(number).unwrap(), 1_000);
        // The same crash, seen by two calls, counts once.
        entry.record_crash(&[CAUSE], u32::try_from(number).unwrap(), 1_050);
    }
    let [first, second, third, last] = &mut entries;
    for entry in [first, second, third] {
        expect_false!(is_refused(entry, &[CAUSE], 2_000));
        tell(entry, last, 1_200);
    }
    expect_true!(is_refused(last, &[CAUSE], 2_000));
}

#[googletest::test]
fn a_part_whose_calls_survive_is_never_refused() {
    let mut quarantine = quarantine();
    for crash in 0..20 {
        let now_ms = 1_000 + u64::from(crash) * 4_000;
        quarantine.record_survival(&[COMPANION], now_ms - 900);
        quarantine.record_crash(&[COMPANION, CAUSE], crash, now_ms);
        expect_false!(is_refused(&quarantine, &[COMPANION], now_ms + 3_000));
    }
    expect_true!(is_refused(&quarantine, &[CAUSE, COMPANION], 80_000));
}

#[googletest::test]
fn a_survival_that_another_entry_saw_lifts_a_refusal() {
    let mut crashed = quarantine();
    let mut survived = quarantine();
    survived.record_survival(&[COMPANION], 500);
    for crash in 0..3 {
        crashed.record_crash(&[COMPANION], crash, 1_000);
    }
    expect_true!(is_refused(&crashed, &[COMPANION], 1_500));
    tell(&mut crashed, &mut survived, 1_100);
    expect_false!(is_refused(&survived, &[COMPANION], 1_600));
    tell(&mut survived, &mut crashed, 1_300);
    expect_false!(is_refused(&crashed, &[COMPANION], 1_600));
    // Nobody brings the refusal back.
    tell(&mut crashed, &mut survived, 1_400);
    expect_false!(is_refused(&survived, &[COMPANION], 2_000));
}

#[googletest::test]
fn a_part_that_was_sound_before_is_refused_once_it_crashes_endpoints() {
    let mut quarantine = quarantine();
    quarantine.record_survival(&[CAUSE], 1_000);
    for crash in 0..6 {
        quarantine.record_crash(&[CAUSE], crash, 3_000 + u64::from(crash) * 4_000);
    }
    expect_true!(is_refused(&quarantine, &[CAUSE], 24_000));
}

#[googletest::test]
fn parts_that_were_at_the_same_crashes_are_refused_together_only() {
    let mut quarantine = quarantine();
    for crash in 0..3 {
        quarantine.record_crash(&[COMPANION, CAUSE], crash, 1_000);
        // A sound call that was at the endpoint by chance.
        quarantine.record_crash(&[COMPANION], crash, 1_000);
    }
    expect_true!(is_refused(&quarantine, &[COMPANION, CAUSE], 2_000));
    expect_false!(is_refused(&quarantine, &[COMPANION], 2_000));
    expect_false!(is_refused(&quarantine, &[CAUSE], 2_000));
    // A crash without the companion tells them apart.
    quarantine.record_crash(&[CAUSE], 3, 3_000);
    expect_true!(is_refused(&quarantine, &[CAUSE], 4_000));
    expect_false!(is_refused(&quarantine, &[COMPANION], 4_000));
}

#[googletest::test]
fn a_part_at_the_crashes_of_two_causes_is_served_once_it_survives() {
    let mut quarantine = quarantine();
    for crash in 0..6 {
        let cause = if crash % 2 == 0 { CAUSE } else { OTHER };
        quarantine.record_crash(&[COMPANION, cause], crash, 1_000);
    }
    // It alone was at all crashes.
    expect_true!(is_refused(&quarantine, &[COMPANION], 2_000));
    quarantine.record_survival(&[COMPANION], 2_100);
    expect_false!(is_refused(&quarantine, &[COMPANION], 2_200));
    expect_true!(is_refused(&quarantine, &[COMPANION, CAUSE], 2_200));
    expect_true!(is_refused(&quarantine, &[OTHER], 2_200));
}

#[googletest::test]
fn many_bystanders_of_a_wave_of_crashes_did_not_explain_it_away() {
    let mut quarantine = quarantine();
    let bystander = |number: u32| part(100 + u64::from(number % 4));
    for crash in 0..12 {
        quarantine.record_crash(&[CAUSE, bystander(crash)], crash, 1_000);
    }
    expect_true!(is_refused(&quarantine, &[CAUSE], 2_000));
    for number in 0..4 {
        expect_false!(is_refused(&quarantine, &[bystander(number)], 2_000));
    }
}

#[googletest::test]
fn a_refusal_ends_and_one_more_crash_brings_it_back() {
    let settings = SuspectQuarantineSettings::builder().build();
    let mut quarantine = quarantine();
    for crash in 0..3 {
        quarantine.record_crash(&[CAUSE], crash, 1_000);
    }
    let end_ms = 1_000 + settings.refusal_ms;
    let refusal = quarantine.refusal(&[CAUSE], 2_000);
    expect_that!(refusal, some(eq((CAUSE, end_ms - 2_000))));
    expect_false!(is_refused(&quarantine, &[CAUSE], end_ms));
    quarantine.record_crash(&[CAUSE], 3, end_ms + 1_000);
    expect_true!(is_refused(&quarantine, &[CAUSE], end_ms + 1_100));
    // In the end nothing is kept.
    quarantine.expire(end_ms + 1_000 + settings.evidence_ms);
    expect_that!(
        quarantine.reports(true, end_ms + 1_000 + settings.evidence_ms),
        is_empty()
    );
}

#[googletest::test]
fn a_refused_part_is_reported_again_and_again_until_the_refusal_ends() {
    let settings = SuspectQuarantineSettings::builder().build();
    let mut quarantine = quarantine();
    for crash in 0..3 {
        quarantine.record_crash(&[CAUSE], crash, 1_000);
    }
    let later_ms = 1_001 + settings.change_relay_ms;
    expect_that!(quarantine.reports(false, later_ms), is_empty());
    expect_that!(quarantine.reports(true, later_ms), len(eq(1)));
    expect_that!(
        quarantine.reports(true, 1_000 + settings.refusal_ms),
        is_empty()
    );
}

#[googletest::test]
fn entries_that_report_a_crash_to_each_other_do_not_prolong_it() {
    let settings = SuspectQuarantineSettings::builder().build();
    let mut first = quarantine();
    let mut second = quarantine();
    for crash in 0..3 {
        first.record_crash(&[CAUSE], crash, 1_000);
    }
    let mut now_ms = 1_000;
    while now_ms < 1_000 + settings.refusal_ms {
        let reports = first.reports(true, now_ms);
        now_ms += 300;
        second.merge(&reports, now_ms);
        let reports = second.reports(true, now_ms);
        now_ms += 300;
        first.merge(&reports, now_ms);
    }
    expect_false!(is_refused(&first, &[CAUSE], now_ms));
    expect_false!(is_refused(&second, &[CAUSE], now_ms + 600));
}

#[googletest::test]
fn many_parts_stay_within_the_limits() {
    let settings = SuspectQuarantineSettings::builder()
        .max_suspects(8)
        .max_survivals(8)
        .max_reports(4)
        .build();
    let mut quarantine = SuspectQuarantine::new(settings);
    for crash in 0..3 {
        quarantine.record_crash(&[CAUSE], crash, 1_000);
    }
    for number in 0..1_000 {
        let suspect = part(10_000 + number);
        quarantine.record_crash(&[suspect], 7, 1_100 + number);
        quarantine.record_survival(&[part(20_000 + number)], 1_100 + number);
    }
    expect_that!(quarantine.reports(true, 2_200), len(eq(4)));
    // The part with the most crashes is kept and reported first.
    let first = quarantine.reports(true, 2_200).swap_remove(0);
    let cause = Suspect::Part(1);
    expect_that!(first.suspect, some(eq(cause)));
    expect_true!(is_refused(&quarantine, &[CAUSE], 2_200));
}

/// Parts of a prompt as long as a request head may be.
const LONG_PROMPT_PARTS: u64 = 1_260;
/// Calls that an endpoint runs at once.
const CALLS_AT_CRASH: u64 = 12;
/// Interval of reports between entries.
const REPORT_INTERVAL_MS: u64 = 200;
/// Most bytes that an entry tells of suspects in one report: as much as before prompts counted whole.
const MAX_REPORT_BYTES: usize = 8 << 10;

/// Returns the suspects of a call with a long prompt whose other parts no other call has.
fn long_prompt(first_part: u64, cause: Option<CrashSuspect>) -> Vec<CrashSuspect> {
    let parts = first_part..first_part + LONG_PROMPT_PARTS;
    let mut suspects: Vec<CrashSuspect> = parts.map(part).collect();
    // In the middle, and neither the lowest nor the highest id.
    suspects.splice(600..600, cause);
    suspects
}

/// Guards against BUDGET in review case 6, where prompts are long: a cause that is lost among the parts of
/// all calls at its crashes, none of which was ever seen before.
#[googletest::test]
fn a_cause_was_lost_among_long_prompts_of_new_parts() {
    let cause = part(50_000_000);
    let mut quarantine = quarantine();
    let mut first_part = 40_000_000;
    for crash in 0..3 {
        let now_ms = 1_000 + u64::from(crash) * 5_000;
        for call in 0..CALLS_AT_CRASH {
            let cause = (call == 5).then_some(cause);
            let suspects = long_prompt(first_part, cause);
            quarantine.record_crash(&suspects, crash, now_ms);
            first_part += 2 * LONG_PROMPT_PARTS + u64::from(crash) * 30_000_000;
        }
    }
    expect_true!(is_refused(&quarantine, &[cause], 12_000));
    let sound = long_prompt(90_000_000, None);
    expect_false!(is_refused(&quarantine, &sound, 12_000));
}

/// Guards against suspects that no report has room for: the entries that see the crashes of a cause at the
/// same time never put them together.
#[googletest::test]
fn a_cause_among_many_suspects_was_told_to_no_other_entry() {
    let cause = part(5_000_000);
    let mut entries = [quarantine(), quarantine(), quarantine()];
    for (number, entry) in (0..).zip(&mut entries) {
        let mut suspects: Vec<CrashSuspect> =
            (0..200).map(|id| part(1_000 * number + id)).collect();
        suspects.push(cause);
        entry.record_crash(&suspects, u32::try_from(number).unwrap(), 1_000);
    }
    let mut now_ms = 1_000;
    while now_ms < 4_000 {
        now_ms += REPORT_INTERVAL_MS;
        for from in 0..entries.len() {
            let reports = entries[from].reports(false, now_ms);
            let bytes: usize = reports.iter().map(Message::encoded_len).sum();
            expect_that!(bytes, le(MAX_REPORT_BYTES));
            for (to, entry) in entries.iter_mut().enumerate() {
                if to != from {
                    entry.merge(&reports, now_ms);
                }
            }
        }
    }
    for entry in &entries {
        expect_true!(is_refused(entry, &[cause], now_ms));
    }
}

#[googletest::test]
fn content_whose_crashes_entries_saw_at_the_same_time_was_not_quarantined() {
    let mut entries = [quarantine(), quarantine(), quarantine()];
    for (crash, entry) in entries.iter_mut().enumerate() {
        entry.record_crash(&[CONTENT, CAUSE], u32::try_from(crash).unwrap(), 1_000);
    }
    let [first, second, third] = &mut entries;
    for other in [second, third] {
        tell(other, first, 1_100);
    }
    expect_true!(is_refused(first, &[CONTENT, CAUSE], 2_000));
    // The parts of its prompt are served in other calls.
    expect_false!(is_refused(first, &[COMPANION, CAUSE], 2_000));
}

#[googletest::test]
fn crashes_of_an_endpoint_whose_new_runs_are_not_listed_count() {
    let mut entries = [quarantine(), quarantine()];
    for (number, now_ms) in [1_000, 6_000, 11_000].into_iter().enumerate() {
        let [seeing, told] = &mut entries;
        seeing.record_crash(&[CAUSE], 7, now_ms);
        seeing.record_crash(&[CAUSE], 7, now_ms + 1_900);
        tell(seeing, told, now_ms + 500);
        for entry in [seeing, told] {
            let is_third = number == 2;
            expect_that!(is_refused(entry, &[CAUSE], now_ms + 2_500), eq(is_third));
        }
        entries.reverse();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Reports lead to the same refusals in whatever order, number and direction they come, and a part
    /// with a survival after its last crash is accepted by all.
    #[test]
    fn reports_commute(
        events in proptest::collection::vec((0..3_usize, 0..4_u64, 0..5_u32, any::<bool>()), 1..40),
        order in proptest::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let mut entries = [quarantine(), quarantine(), quarantine()];
        let mut now_ms = 1_000;
        let mut last_survival = [None; 4];
        for (entry, id, crash, is_survival) in events {
            now_ms += 10;
            let suspect = part(id);
            if is_survival && crash == 0 {
                entries[entry].record_survival(&[suspect], now_ms);
                last_survival[usize::try_from(id).unwrap()] = Some(now_ms);
            } else {
                entries[entry].record_crash(&[suspect], crash, now_ms);
            }
        }
        let mut exchange = |from: usize, to: usize| {
            let reports = entries[from].reports(true, now_ms);
            entries[to].merge(&reports, now_ms);
        };
        for (from, to) in order {
            exchange(from, to);
        }
        for _ in 0..3 {
            for from in 0..3 {
                for to in 0..3 {
                    exchange(from, to);
                }
            }
        }
        let later_ms = now_ms + CONFIRMED_MS;
        for id in 0..4 {
            let suspect = part(id);
            let refused = entries.iter().map(|entry| is_refused(entry, &[suspect], later_ms));
            let refused: Vec<bool> = refused.collect();
            prop_assert_eq!(refused[0], refused[1]);
            prop_assert_eq!(refused[1], refused[2]);
            prop_assert!(last_survival[usize::try_from(id).unwrap()].is_none() || !refused[0]);
        }
    }
}
