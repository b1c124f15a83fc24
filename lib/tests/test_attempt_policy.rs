//! What an entry may say when a home gave no answer.

use googletest::prelude::*;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::AttemptPolicy;
use pomeloramp_lib::Outcome;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RetryAdvice;

const FRESH: RetryAdvice = RetryAdvice::FreshPlacement { after_ms: 20 };
const SAME: RetryAdvice = RetryAdvice::SamePlacement { after_ms: 20 };

fn resends() -> [AttemptNumber; 3] {
    let second = AttemptNumber::FIRST.next();
    [
        AttemptNumber::UNMARKED,
        second,
        AttemptNumber::new(u32::MAX),
    ]
}

#[googletest::test]
fn only_an_unwritten_first_send_did_not_run() {
    let code = RefusalCode::HomeUnreachable;
    let first = AttemptPolicy::new(AttemptNumber::FIRST, 20);
    let refusal = first.refuse_unwritten(code);
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::NotRun, FRESH))
    );
    let refusal = first.placement_missing();
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::NotRun, FRESH))
    );
    let refusal = first.answer_lost(RefusalCode::HomeLost);
    expect_that!(
        (refusal.outcome, refusal.retry),
        eq((Outcome::Unknown, SAME))
    );
}

#[googletest::test]
fn a_resend_is_never_said_not_to_have_run_by_an_entry() {
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
                eq((Outcome::Unknown, SAME))
            );
        }
    }
}
