//! Fuzzes what peers tell each other of a quarantine: nothing stays untold, nothing is told for ever.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pomeloramp_lib::ContentFingerprint;
use pomeloramp_lib::Quarantine;
use pomeloramp_lib::QuarantineRelay;
use pomeloramp_lib::QuarantineSettings;
use pomeloramp_lib::protos::control::QuarantineUpdate;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;

const PROCESSES: usize = 3;
const CONTENTS: u64 = 24;
const MAX_TOLD_ENTRIES: usize = 3;
const LIFETIME_MS: u64 = 3_600_000;
const QUIET_ROUNDS: usize = 20;

#[derive(Debug, Clone)]
enum Transition {
    /// A content crashes an endpoint; every second crash of it is one alone.
    Crash {
        process: usize,
        content: u64,
    },
    /// A process sends a message to another, as a request.
    Ask {
        from: usize,
        to: usize,
    },
    /// A message under way arrives; `keep` leaves a copy of it under way.
    Deliver {
        index: usize,
        keep: bool,
    },
    Lose {
        index: usize,
    },
    /// A process starts anew under its old name and address.
    Restart {
        process: usize,
    },
    /// Nothing fails until everything is told and acknowledged.
    Calm,
}

fn transition() -> impl Strategy<Value = Transition> {
    let process = 0..PROCESSES;
    prop_oneof![
        4 => (process.clone(), 0..CONTENTS)
            .prop_map(|(process, content)| Transition::Crash { process, content }),
        4 => (process.clone(), process.clone()).prop_map(|(from, to)| Transition::Ask { from, to }),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, keep)| Transition::Deliver { index, keep }),
        1 => any::<usize>().prop_map(|index| Transition::Lose { index }),
        1 => process.prop_map(|process| Transition::Restart { process }),
        1 => Just(Transition::Calm),
    ]
}

#[derive(Debug, Clone)]
struct Message {
    from: usize,
    to: usize,
    is_request: bool,
    news: Option<QuarantineUpdate>,
}

struct World {
    processes: Vec<QuarantineRelay>,
    next_source: u32,
    under_way: Vec<Message>,
    max_update_entries: usize,
}

/// Facts about contents: crashes, crashes cleared, whether it is refused.
type Facts = BTreeMap<u64, (u32, u32, bool)>;

fn relay(source: u32, max_update_entries: usize) -> QuarantineRelay {
    let settings = QuarantineSettings::builder()
        .max_entries(1_000)
        .suspicion_ms(LIFETIME_MS)
        .quarantine_ms(LIFETIME_MS)
        .transit_margin_ms(0)
        .build();
    QuarantineRelay::new(Quarantine::new(settings), source, max_update_entries)
}

/// A requester knows a peer by its address, a server by the name in the request.
fn address(process: usize) -> String {
    format!("address-{process}")
}

fn name(process: usize) -> String {
    format!("vm-{process}")
}

impl World {
    fn new(max_update_entries: usize) -> Self {
        let mut world = Self {
            processes: Vec::new(),
            next_source: 1,
            under_way: Vec::new(),
            max_update_entries,
        };
        for _ in 0..PROCESSES {
            let process = world.fresh();
            world.processes.push(process);
        }
        world
    }

    fn fresh(&mut self) -> QuarantineRelay {
        let source = self.next_source;
        self.next_source += 1;
        relay(source, self.max_update_entries)
    }

    fn apply(&mut self, transition: &Transition) {
        match *transition {
            Transition::Crash { process, content } => {
                self.processes[process].record_crash(&[ContentFingerprint(content)], 0);
            }
            Transition::Ask { from, to } if from != to => self.ask(from, to),
            Transition::Ask { .. } => {}
            Transition::Deliver { index, keep } => self.deliver(index, keep),
            Transition::Lose { index } => {
                if !self.under_way.is_empty() {
                    self.under_way.swap_remove(index % self.under_way.len());
                }
            }
            Transition::Restart { process } => self.processes[process] = self.fresh(),
            Transition::Calm => self.check_all_told(),
        }
    }

    fn ask(&mut self, from: usize, to: usize) {
        let news = self.processes[from].update_for(&address(to), 0);
        self.under_way.push(Message {
            from,
            to,
            is_request: true,
            news,
        });
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        if self.under_way.is_empty() {
            return;
        }
        let index = index % self.under_way.len();
        let message = if keep {
            self.under_way[index].clone()
        } else {
            self.under_way.swap_remove(index)
        };
        self.receive(&message);
    }

    fn receive(&mut self, message: &Message) {
        let sender = if message.is_request {
            name(message.from)
        } else {
            address(message.from)
        };
        let receiver = &mut self.processes[message.to];
        if let Some(news) = &message.news {
            assert!(news.entries.len() <= self.max_update_entries);
            receiver.apply_update(&sender, news, 0);
        }
        if message.is_request {
            let news = receiver.update_for(&sender, 0);
            self.under_way.push(Message {
                from: message.to,
                to: message.from,
                is_request: false,
                news,
            });
        }
    }

    fn deliver_all(&mut self) {
        while !self.under_way.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Every process asks every other one, and every message arrives.
    fn quiet_round(&mut self) {
        for from in 0..PROCESSES {
            for to in (0..PROCESSES).filter(|to| *to != from) {
                self.ask(from, to);
                self.deliver_all();
            }
        }
    }

    fn facts(&self, process: usize) -> Facts {
        let quarantine = self.processes[process].quarantine();
        let (entries, _) = quarantine.changes_after(0, usize::MAX, 0);
        entries
            .iter()
            .map(|entry| {
                let facts = (entry.crashes, entry.cleared_crashes, entry.quarantined);
                (entry.fingerprint, facts)
            })
            .collect()
    }

    /// Returns what the processes know together.
    fn union(&self) -> Facts {
        let mut union = Facts::new();
        for process in 0..PROCESSES {
            for (content, facts) in self.facts(process) {
                let known = union.entry(content).or_default();
                known.0 = known.0.max(facts.0);
                known.1 = known.1.max(facts.1);
                known.2 |= facts.2;
            }
        }
        union
    }

    fn check_all_told(&mut self) {
        self.deliver_all();
        let union = self.union();
        for _ in 0..QUIET_ROUNDS {
            self.quiet_round();
        }
        for process in 0..PROCESSES {
            assert_eq!(self.facts(process), union, "process {process}");
        }
    }

    fn check_silence(&self) {
        for from in 0..PROCESSES {
            for to in (0..PROCESSES).filter(|to| *to != from) {
                let news = self.processes[from].update_for(&address(to), 0);
                let told = news.map_or(0, |news| news.entries.len());
                assert_eq!(told, 0, "from {from} to {to}");
            }
        }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(600))]

    #[test]
    fn every_change_is_told_and_then_never_again(transitions in vec(transition(), 1..120)) {
        let mut world = World::new(MAX_TOLD_ENTRIES);
        for transition in &transitions {
            world.apply(transition);
        }
        world.check_all_told();
        world.check_silence();
    }
}

#[googletest::test]
fn the_first_message_of_a_quiet_process_carries_nothing() {
    expect_that!(relay(1, MAX_TOLD_ENTRIES).update_for("peer", 0), none());
}

#[googletest::test]
fn what_a_former_process_told_is_not_taken_for_acknowledged() {
    let mut former = relay(1, 32);
    let mut receiver = relay(2, 32);
    former.record_crash(&[ContentFingerprint(1)], 0);
    let news = former.update_for("receiver", 0).expect("there is news");
    receiver.apply_update("sender", &news, 0);
    let late_reply = receiver
        .update_for("sender", 0)
        .expect("an acknowledgement");

    let mut restarted = relay(3, 32);
    restarted.record_crash(&[ContentFingerprint(1)], 0);
    restarted.apply_update("receiver", &late_reply, 0);
    expect_true!(restarted.has_updates_for("receiver"));
}

#[googletest::test]
fn more_contents_than_fit_one_message_are_all_told() {
    let mut sender = relay(1, 32);
    let mut receiver = relay(2, 32);
    for content in 0..100 {
        sender.record_crash(&[ContentFingerprint(content)], 0);
        sender.record_crash(&[ContentFingerprint(content)], 0);
    }
    for _ in 0..4 {
        expect_true!(sender.has_updates_for("receiver"));
        let news = sender.update_for("receiver", 0).expect("there is news");
        receiver.apply_update("sender", &news, 0);
        let reply = receiver
            .update_for("sender", 0)
            .expect("an acknowledgement");
        sender.apply_update("receiver", &reply, 0);
    }
    expect_false!(sender.has_updates_for("receiver"));
    expect_that!(receiver.quarantine().quarantined(0).len(), eq(100));
}
