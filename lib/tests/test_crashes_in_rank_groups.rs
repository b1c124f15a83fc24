//! Simulation of a rank group under calls whose prompts hold a part that crashes endpoints: how soon the
//! part is refused, and which sound calls are refused with it.

use googletest::prelude::*;
use pomeloramp_lib::CrashSuspect;
use pomeloramp_lib::PromptPart;
use pomeloramp_lib::SuspectQuarantine;
use pomeloramp_lib::SuspectQuarantineSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRY_COUNT: usize = 9;
const RANK_COUNT: usize = 16;
const SLOTS: usize = 12;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60_000;
/// Time at which calls with the crashing part begin to come.
const CRASHES_FROM_MS: u64 = 10_000;
const CALLS_PER_S: f64 = 75.0;
const CRASHING_CALLS_PER_S: f64 = 2.5;
const CRASHING_PART: CrashSuspect = part(1);
/// Number of parts that sound calls share, each call one of them.
const SOUND_PARTS: u64 = 60;
const FIRST_EVENT_MS: u64 = 150;
/// Time from the first event to the crash.
const CRASH_DELAY_MS: u64 = 60;
/// Time from the first event after which a call counts as survived.
const SURVIVAL_MS: u64 = 300;
const ANSWER_MS: u64 = 900;
/// Time from a crash until entries know of it.
const EVIDENCE_DELAY_MS: u64 = 150;
/// Time for which the group stalls before its calls are cut off.
const STALL_MS: u64 = 1_500;
/// Time for which the group is down after a crash.
const DOWN_MS: u64 = 4_500;
const MAX_WAIT_MS: u64 = 1_500;
const GOSSIP_MS: u64 = 200;
const FULL_REPORT_MS: u64 = 1_000;
const LOST_DATAGRAMS_PERCENT: u32 = 5;
/// Bounds of the users' pages.
const CONTACT_MS: u64 = 3_000;
const CRASHES_BEFORE_BOUND: usize = 5;
const MAX_LATE_ARRIVALS: usize = 3;
const SEEDS: u64 = 30;

const fn part(id: u64) -> CrashSuspect {
    CrashSuspect::Part(PromptPart(id))
}

/// What else happens in a simulated run.
#[derive(Debug, Clone, Copy, Default)]
struct Conditions {
    /// Mean time between crashes of other causes; zero for none.
    other_crashes_ms: u64,
    /// Time between restarts of entries; zero for none.
    restarts_ms: u64,
    /// Whether all calls share one more part.
    has_common_part: bool,
    /// Whether the crashing calls have a sound part beside the crashing one.
    has_companion: bool,
}

#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    suspects: Vec<CrashSuspect>,
    arrived_ms: u64,
    rank: usize,
    started_ms: u64,
    has_survived: bool,
    was_resent: bool,
}

impl Call {
    fn crashes(&self) -> bool {
        self.suspects.contains(&CRASHING_PART)
    }
}

/// A crash with the calls that were at the rank.
struct Crash {
    at_ms: u64,
    run: u32,
    calls: Vec<Call>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Times of crashes that the part caused.
    crashes: Vec<u64>,
    /// Times at which calls with the part reached a rank.
    arrivals: Vec<u64>,
    sound_calls: usize,
    refused_sound_calls: usize,
}

impl Outcome {
    fn late_arrivals(&self) -> usize {
        let last = self.crashes.len().min(CRASHES_BEFORE_BOUND);
        let Some(from_ms) = last.checked_sub(1).map(|last| self.crashes[last]) else {
            return 0;
        };
        let late = self.arrivals.iter();
        late.filter(|at_ms| **at_ms > from_ms + CONTACT_MS).count()
    }
}

struct Simulation {
    conditions: Conditions,
    rng: SmallRng,
    now_ms: u64,
    entries: Vec<SuspectQuarantine>,
    waiting: Vec<Call>,
    running: Vec<Call>,
    /// Crashes that entries do not know of yet.
    unseen: Vec<Crash>,
    stalled_until_ms: u64,
    down_until_ms: u64,
    next_run: u32,
    outcome: Outcome,
}

impl Simulation {
    fn new(conditions: Conditions, seed: u64) -> Self {
        Self {
            conditions,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            entries: (0..ENTRY_COUNT).map(|_| new_quarantine()).collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            unseen: Vec::new(),
            stalled_until_ms: 0,
            down_until_ms: 0,
            next_run: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < RUN_MS {
            self.now_ms += STEP_MS;
            self.arrive();
            self.start_waiting();
            self.advance_running();
            self.see_crashes();
            self.restart_entry();
            if self.now_ms.is_multiple_of(GOSSIP_MS) {
                self.gossip();
            }
        }
        self.outcome
    }

    fn has_event(&mut self, per_s: f64) -> bool {
        let per_step = per_s * std::time::Duration::from_millis(STEP_MS).as_secs_f64();
        self.rng.random_bool(per_step.min(1.0))
    }

    fn arrive(&mut self) {
        if self.has_event(CALLS_PER_S) {
            let suspects = self.sound_suspects();
            self.outcome.sound_calls += 1;
            self.submit(suspects);
        }
        if self.now_ms >= CRASHES_FROM_MS && self.has_event(CRASHING_CALLS_PER_S) {
            let mut suspects = vec![CRASHING_PART];
            if self.conditions.has_companion {
                suspects.extend(self.sound_suspects());
            }
            self.submit(suspects);
        }
    }

    /// Returns the suspects of a sound call; parts with a low number are more popular.
    fn sound_suspects(&mut self) -> Vec<CrashSuspect> {
        let popularity = self.rng.random_range(0..SOUND_PARTS * SOUND_PARTS);
        let mut suspects = vec![part(100 + popularity.isqrt())];
        if self.conditions.has_common_part {
            suspects.insert(0, part(99));
        }
        suspects
    }

    fn submit(&mut self, suspects: Vec<CrashSuspect>) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let call = Call {
            entry,
            suspects,
            arrived_ms: self.now_ms,
            rank: 0,
            started_ms: 0,
            has_survived: false,
            was_resent: false,
        };
        self.waiting.push(call);
    }

    fn is_up(&self) -> bool {
        self.now_ms >= self.down_until_ms
    }

    /// Refuses calls that are quarantined or waited too long, and sends the others.
    fn start_waiting(&mut self) {
        for mut call in std::mem::take(&mut self.waiting) {
            let quarantine = &self.entries[call.entry];
            if quarantine.refusal(&call.suspects, self.now_ms).is_some() {
                self.outcome.refused_sound_calls += usize::from(!call.crashes());
                continue;
            }
            if self.now_ms - call.arrived_ms > MAX_WAIT_MS {
                continue;
            }
            call.rank = self.rng.random_range(0..RANK_COUNT);
            let at_rank = self.running.iter().filter(|other| other.rank == call.rank);
            if !self.is_up() || at_rank.count() >= SLOTS {
                self.waiting.push(call);
                continue;
            }
            call.started_ms = self.now_ms;
            if call.crashes() {
                self.outcome.arrivals.push(self.now_ms);
            }
            self.running.push(call);
        }
    }

    fn advance_running(&mut self) {
        if self.now_ms < self.stalled_until_ms {
            return;
        }
        if !self.is_up() {
            self.running.clear();
            return;
        }
        self.crash_ranks_of_crashing_calls();
        self.crash_rank_by_chance();
        self.record_survivals();
        let now_ms = self.now_ms;
        self.running
            .retain(|call| now_ms - call.started_ms < ANSWER_MS);
    }

    fn crash_ranks_of_crashing_calls(&mut self) {
        let crash_ms = FIRST_EVENT_MS + CRASH_DELAY_MS;
        let is_due = |call: &Call, now_ms: u64| now_ms - call.started_ms >= crash_ms;
        let due = self.running.iter();
        let due: Vec<usize> = due
            .filter(|call| call.crashes() && is_due(call, self.now_ms))
            .map(|call| call.rank)
            .collect();
        for rank in &due {
            self.outcome.crashes.push(self.now_ms);
            self.crash(*rank);
        }
    }

    fn crash_rank_by_chance(&mut self) {
        let other_crashes_ms = self.conditions.other_crashes_ms;
        if other_crashes_ms > 0 && self.rng.random_range(0..other_crashes_ms / STEP_MS) == 0 {
            let rank = self.rng.random_range(0..RANK_COUNT);
            self.crash(rank);
        }
    }

    fn record_survivals(&mut self) {
        for call in &mut self.running {
            let answered_ms = self.now_ms.saturating_sub(call.started_ms + FIRST_EVENT_MS);
            if answered_ms >= SURVIVAL_MS && !call.has_survived {
                call.has_survived = true;
                self.entries[call.entry].record_survival(&call.suspects, self.now_ms);
            }
        }
    }

    /// Crashes a rank, which stalls the group.
    fn crash(&mut self, rank: usize) {
        self.stalled_until_ms = self.now_ms + STALL_MS;
        self.down_until_ms = self.now_ms + DOWN_MS;
        self.next_run += 1;
        let running = std::mem::take(&mut self.running);
        let (crashed, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|call| call.rank == rank);
        self.running = running;
        for call in crashed.iter().filter(|call| !call.was_resent) {
            self.waiting.push(Call {
                was_resent: true,
                ..call.clone()
            });
        }
        self.unseen.push(Crash {
            at_ms: self.now_ms,
            run: self.next_run,
            calls: crashed,
        });
    }

    fn see_crashes(&mut self) {
        let now_ms = self.now_ms;
        let (seen, unseen): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unseen)
            .into_iter()
            .partition(|crash| now_ms - crash.at_ms >= EVIDENCE_DELAY_MS);
        self.unseen = unseen;
        for crash in seen {
            for call in &crash.calls {
                self.entries[call.entry].record_crash(&call.suspects, crash.run, now_ms);
            }
        }
    }

    fn restart_entry(&mut self) {
        let restarts_ms = self.conditions.restarts_ms;
        if restarts_ms > 0 && self.now_ms.is_multiple_of(restarts_ms) {
            let entry = self.rng.random_range(0..ENTRY_COUNT);
            self.entries[entry] = new_quarantine();
        }
    }

    fn gossip(&mut self) {
        let is_full = self.now_ms.is_multiple_of(FULL_REPORT_MS);
        let now_ms = self.now_ms;
        let reports: Vec<_> = self
            .entries
            .iter_mut()
            .map(|entry| {
                entry.expire(now_ms);
                entry.reports(is_full, now_ms)
            })
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for to in (0..ENTRY_COUNT).filter(|to| *to != from) {
                if self.rng.random_range(0..100) >= LOST_DATAGRAMS_PERCENT {
                    self.entries[to].merge(report, now_ms);
                }
            }
        }
    }
}

fn new_quarantine() -> SuspectQuarantine {
    SuspectQuarantine::new(SuspectQuarantineSettings::builder().build())
}

/// Runs the simulation with many seeds and checks the bounds.
fn check(conditions: Conditions, max_refused_sound_per_mille: usize) {
    let outcomes: Vec<Outcome> = (0..SEEDS)
        .map(|seed| Simulation::new(conditions, seed).run())
        .collect();
    for (seed, outcome) in outcomes.iter().enumerate() {
        expect_that!(
            outcome.late_arrivals(),
            le(MAX_LATE_ARRIVALS),
            "seed {seed}: {} crashes",
            outcome.crashes.len()
        );
    }
    let crashes: Vec<usize> = outcomes
        .iter()
        .map(|outcome| outcome.crashes.len())
        .collect();
    let sound: usize = outcomes.iter().map(|outcome| outcome.sound_calls).sum();
    let refused: usize = outcomes
        .iter()
        .map(|outcome| outcome.refused_sound_calls)
        .sum();
    println!("{conditions:?}: crashes {crashes:?}, {refused} of {sound} sound calls refused");
    expect_that!(refused * 1_000, le(sound * max_refused_sound_per_mille));
}

/// Largest share of sound calls that may be refused for a part of another call, in thousandths. The
/// users' page allows half of them with the same key or first part.
const MAX_REFUSED_SOUND_PER_MILLE: usize = 5;

#[googletest::test]
fn a_part_stands_alone() {
    check(Conditions::default(), 0);
}

#[googletest::test]
fn a_part_stands_beside_shared_ones() {
    let conditions = Conditions {
        has_common_part: true,
        has_companion: true,
        ..Conditions::default()
    };
    check(conditions, MAX_REFUSED_SOUND_PER_MILLE);
}

#[googletest::test]
fn endpoints_crash_for_other_reasons_too() {
    let conditions = Conditions {
        other_crashes_ms: 3_000,
        has_common_part: true,
        has_companion: true,
        ..Conditions::default()
    };
    check(conditions, MAX_REFUSED_SOUND_PER_MILLE);
}

#[googletest::test]
fn entries_restart_meanwhile() {
    let conditions = Conditions {
        other_crashes_ms: 6_000,
        restarts_ms: 4_000,
        has_common_part: true,
        has_companion: true,
    };
    check(conditions, MAX_REFUSED_SOUND_PER_MILLE);
}
