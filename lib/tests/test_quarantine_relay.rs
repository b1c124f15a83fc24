//! Property tests of the quarantine updates between peers: every change reaches every process although
//! messages are lost, repeated or delayed, and acknowledged changes are not sent again.

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
const MAX_UPDATE_ENTRIES: usize = 3;
const LIFETIME_MS: u64 = 3_600_000;
const FAULT_FREE_ROUNDS: usize = 20;

#[derive(Debug, Clone)]
enum Transition {
    /// A content crashes an endpoint; every second crash of it is one while it runs alone.
    Crash {
        process: usize,
        content: u64,
    },
    /// A process sends a request to another.
    Request {
        from: usize,
        to: usize,
    },
    /// A message in transit is delivered; `keep` leaves a copy of it in transit.
    Deliver {
        index: usize,
        keep: bool,
    },
    Lose {
        index: usize,
    },
    /// A process is restarted under the same name and address.
    Restart {
        process: usize,
    },
    /// Messages are exchanged without faults until all changes are sent and acknowledged.
    Synchronise,
}

fn transition() -> impl Strategy<Value = Transition> {
    let process = 0..PROCESSES;
    prop_oneof![
        4 => (process.clone(), 0..CONTENTS)
            .prop_map(|(process, content)| Transition::Crash { process, content }),
        4 => (process.clone(), process.clone()).prop_map(|(from, to)| Transition::Request { from, to }),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, keep)| Transition::Deliver { index, keep }),
        1 => any::<usize>().prop_map(|index| Transition::Lose { index }),
        1 => process.prop_map(|process| Transition::Restart { process }),
        1 => Just(Transition::Synchronise),
    ]
}

#[derive(Debug, Clone)]
struct Message {
    from: usize,
    to: usize,
    is_request: bool,
    update: Option<QuarantineUpdate>,
}

struct Simulation {
    processes: Vec<QuarantineRelay>,
    next_source: u32,
    in_transit: Vec<Message>,
    max_update_entries: usize,
}

/// Crashes, cleared crashes and whether it is quarantined, by content.
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

/// Returns the address, by which a client identifies the peer; a server uses the name in the request.
fn address(process: usize) -> String {
    format!("address-{process}")
}

fn name(process: usize) -> String {
    format!("vm-{process}")
}

impl Simulation {
    fn new(max_update_entries: usize) -> Self {
        let mut simulation = Self {
            processes: Vec::new(),
            next_source: 1,
            in_transit: Vec::new(),
            max_update_entries,
        };
        for _ in 0..PROCESSES {
            let process = simulation.new_process();
            simulation.processes.push(process);
        }
        simulation
    }

    fn new_process(&mut self) -> QuarantineRelay {
        let source = self.next_source;
        self.next_source += 1;
        relay(source, self.max_update_entries)
    }

    fn apply(&mut self, transition: &Transition) {
        match *transition {
            Transition::Crash { process, content } => {
                self.processes[process].record_crash(&[ContentFingerprint(content)], 0);
            }
            Transition::Request { from, to } if from != to => self.request(from, to),
            Transition::Request { .. } => {}
            Transition::Deliver { index, keep } => self.deliver(index, keep),
            Transition::Lose { index } => {
                if !self.in_transit.is_empty() {
                    self.in_transit.swap_remove(index % self.in_transit.len());
                }
            }
            Transition::Restart { process } => self.processes[process] = self.new_process(),
            Transition::Synchronise => self.check_all_received(),
        }
    }

    fn request(&mut self, from: usize, to: usize) {
        let update = self.processes[from].update_for(&address(to), 0);
        self.in_transit.push(Message {
            from,
            to,
            is_request: true,
            update,
        });
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = index % self.in_transit.len();
        let message = if keep {
            self.in_transit[index].clone()
        } else {
            self.in_transit.swap_remove(index)
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
        if let Some(update) = &message.update {
            assert!(update.entries.len() <= self.max_update_entries);
            receiver.apply_update(&sender, update, 0);
        }
        if message.is_request {
            let update = receiver.update_for(&sender, 0);
            self.in_transit.push(Message {
                from: message.to,
                to: message.from,
                is_request: false,
                update,
            });
        }
    }

    fn deliver_all(&mut self) {
        while !self.in_transit.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Every process sends a request to every other one, and every message is delivered.
    fn fault_free_round(&mut self) {
        for from in 0..PROCESSES {
            for to in (0..PROCESSES).filter(|to| *to != from) {
                self.request(from, to);
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

    /// Returns the merged facts of all processes.
    fn union(&self) -> Facts {
        let mut union = Facts::new();
        for process in 0..PROCESSES {
            for (content, facts) in self.facts(process) {
                let merged = union.entry(content).or_default();
                merged.0 = merged.0.max(facts.0);
                merged.1 = merged.1.max(facts.1);
                merged.2 |= facts.2;
            }
        }
        union
    }

    fn check_all_received(&mut self) {
        self.deliver_all();
        let union = self.union();
        for _ in 0..FAULT_FREE_ROUNDS {
            self.fault_free_round();
        }
        for process in 0..PROCESSES {
            assert_eq!(self.facts(process), union, "process {process}");
        }
    }

    fn check_nothing_to_send(&self) {
        for from in 0..PROCESSES {
            for to in (0..PROCESSES).filter(|to| *to != from) {
                let update = self.processes[from].update_for(&address(to), 0);
                let due_entries = update.map_or(0, |update| update.entries.len());
                assert_eq!(due_entries, 0, "from {from} to {to}");
            }
        }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(600))]

    #[test]
    fn every_change_is_received_and_not_sent_again_once_acknowledged(transitions in vec(transition(), 1..120)) {
        let mut simulation = Simulation::new(MAX_UPDATE_ENTRIES);
        for transition in &transitions {
            simulation.apply(transition);
        }
        simulation.check_all_received();
        simulation.check_nothing_to_send();
    }
}

#[googletest::test]
fn a_process_without_changes_sends_no_update() {
    expect_that!(relay(1, MAX_UPDATE_ENTRIES).update_for("peer", 0), none());
}

#[googletest::test]
fn an_acknowledgement_of_the_process_before_a_restart_is_ignored() {
    let mut before_restart = relay(1, 32);
    let mut receiver = relay(2, 32);
    before_restart.record_crash(&[ContentFingerprint(1)], 0);
    let update = before_restart
        .update_for("receiver", 0)
        .expect("an update is due");
    receiver.apply_update("sender", &update, 0);
    let late_reply = receiver
        .update_for("sender", 0)
        .expect("an acknowledgement");

    let mut restarted = relay(3, 32);
    restarted.record_crash(&[ContentFingerprint(1)], 0);
    restarted.apply_update("receiver", &late_reply, 0);
    expect_true!(restarted.has_updates_for("receiver"));
}

#[googletest::test]
fn changes_that_exceed_one_message_are_all_sent() {
    let mut sender = relay(1, 32);
    let mut receiver = relay(2, 32);
    for content in 0..100 {
        sender.record_crash(&[ContentFingerprint(content)], 0);
        sender.record_crash(&[ContentFingerprint(content)], 0);
    }
    for _ in 0..4 {
        expect_true!(sender.has_updates_for("receiver"));
        let update = sender.update_for("receiver", 0).expect("an update is due");
        receiver.apply_update("sender", &update, 0);
        let reply = receiver
            .update_for("sender", 0)
            .expect("an acknowledgement");
        sender.apply_update("receiver", &reply, 0);
    }
    expect_false!(sender.has_updates_for("receiver"));
    expect_that!(receiver.quarantine().quarantined(0).len(), eq(100));
}
