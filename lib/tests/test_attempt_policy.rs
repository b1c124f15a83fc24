//! Outcomes that an entry may report when the home agent of a call gave no answer. Reporting `not-run`
//! for a call that may have run would let the caller run it twice.

use googletest::prelude::*;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::AttemptPolicy;
use pomeloramp_lib::Outcome;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RetryAdvice;

const WITH_FRESH_PLACEMENT: RetryAdvice = RetryAdvice::FreshPlacement { after_ms: 20 };
const WITH_SAME_PLACEMENT: RetryAdvice = RetryAdvice::SamePlacement { after_ms: 20 };

fn resends() -> [AttemptNumber; 3] {
    let second = AttemptNumber::FIRST.next();
    [
        AttemptNumber::UNMARKED,
        second,
        AttemptNumber::new(u32::MAX),
    ]
}

#[googletest::test]
fn only_a_first_send_that_was_never_written_is_not_run() {
    let code = RefusalCode::HomeUnreachable;
    let first = AttemptPolicy::new(AttemptNumber::FIRST, 20);
    let refusal = first.refuse_unwritten(code);
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::NotRun, WITH_FRESH_PLACEMENT))
    );
    let refusal = first.placement_missing();
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::NotRun, WITH_FRESH_PLACEMENT))
    );
    let refusal = first.answer_lost(RefusalCode::HomeLost);
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::Unknown, WITH_SAME_PLACEMENT))
    );
}

#[googletest::test]
fn an_entry_never_answers_a_resend_with_not_run() {
    for attempt in resends() {
        let policy = AttemptPolicy::new(attempt, 20);
        let refusals = [
            policy.refuse_unwritten(RefusalCode::HomeUnreachable),
            policy.refuse_unwritten(RefusalCode::Draining),
            policy.placement_missing(),
            policy.answer_lost(RefusalCode::HomeLost),
        ];
        for refusal in refusals {
            expect_that!(
                (refusal.outcome, refusal.retry),
                eq((Outcome::Unknown, WITH_SAME_PLACEMENT))
            );
        }
    }
}
