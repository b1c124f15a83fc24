//! Fuzzing of the agreement on expert maps over engines that carry orders out late or not at all.
//!
//! The oracle is one line: no pass begins while two ranks use different maps.

use std::collections::VecDeque;

use googletest::prelude::*;
use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::EngineOrder;
use pomeloramp_lib::EngineSequencer;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::MapAction;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::MapParticipant;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::OrderResult;
use pomeloramp_lib::RankReport;
use pomeloramp_lib::SequencerAction;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

const RANKS: usize = 3;
const TICK_MS: u64 = 40;
const LEAD_STEPS: u64 = 2;
const MAX_OPERATIONS: usize = 700;
const CASES: u32 = 600;

/// An engine as the platform describes it.
#[derive(Debug, Clone, Default)]
struct Engine {
    map: u64,
    highest: u64,
    copied: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    late: Vec<EngineOrder>,
}

impl Engine {
    /// Carries an order out; `step` is the last pass that was begun.
    fn apply(&mut self, order: &EngineOrder, step: u64) -> OrderResult {
        let done = match *order {
            EngineOrder::Copy { map_id, .. } => self.copy(map_id),
            EngineOrder::Arm { map_id, step: at } => {
                let is_same = self.armed == Some((map_id, at));
                let fits = self.copied == Some(map_id) && at > step && self.armed.is_none();
                if fits {
                    self.armed = Some((map_id, at));
                }
                fits || is_same
            }
            EngineOrder::Hold { step: at } => {
                let is_same = self.held == Some(at);
                let fits = self.held.is_none() && at > step;
                if fits {
                    self.held = Some(at);
                }
                fits || is_same
            }
            EngineOrder::ReleaseHold { step: at } => {
                if self.held == Some(at) {
                    self.held = None;
                }
                true
            }
        };
        if done {
            OrderResult::Done
        } else {
            OrderResult::Refused
        }
    }

    fn copy(&mut self, map_id: u64) -> bool {
        let fits = map_id > self.highest && self.armed.is_none();
        if fits {
            self.highest = map_id;
            self.copied = Some(map_id);
        }
        fits
    }

    fn report(&self, rank: usize, step: u64) -> RankReport {
        RankReport {
            group: "group".to_owned(),
            group_incarnation: 1,
            rank: u32::try_from(rank).unwrap(),
            rank_count: u32::try_from(RANKS).unwrap(),
            is_open: true,
            started_ms: 1,
            step,
            active_map_id: self.map,
            copied_map_id: self.copied,
            armed_map_id: self.armed.map(|(map_id, _)| map_id),
            armed_step: self.armed.map(|(_, at)| at),
            slowdown_percent: 100,
            held_step: self.held,
        }
    }
}

struct Agent {
    participant: MapParticipant,
    /// The step of the agreement that is carried out, with what it asks for next.
    running: Option<(EngineSequencer, SequencerAction)>,
}

/// What a message comes from; answers of a run that was given up find nobody.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    Run { slot: usize, nonce: u32 },
    Rank(usize),
}

enum Message {
    Ask {
        to: usize,
        from: Origin,
        call_id: u64,
        request: MapRequest,
    },
    Answer {
        rank: usize,
        from: Origin,
        call_id: u64,
        reply: MapReply,
    },
}

/// A rank group with its agents, one proposer and a recovering run for each rank.
struct Group {
    engines: Vec<Engine>,
    agents: Vec<Agent>,
    /// The runs: of the proposer, and of each rank that recovers.
    runs: Vec<Option<(u32, MapCoordinator)>>,
    network: VecDeque<Message>,
    /// Which message a reply of a participant answers.
    asked: Vec<Vec<(u64, Origin, u64)>>,
    step: u64,
    now_ms: u64,
    next_id: u32,
    next_call_id: u64,
}

impl Group {
    fn new() -> Self {
        let mut group = Self {
            engines: vec![Engine::default(); RANKS],
            agents: Vec::new(),
            runs: (0..=RANKS).map(|_| None).collect(),
            network: VecDeque::new(),
            asked: vec![Vec::new(); RANKS],
            step: 0,
            now_ms: 0,
            next_id: 1,
            next_call_id: 0,
        };
        for rank in 0..RANKS {
            let agent = group.new_agent(rank);
            group.agents.push(agent);
        }
        group
    }

    fn new_agent(&mut self, rank: usize) -> Agent {
        self.next_id += 1;
        let incarnation = Incarnation(u64::from(self.next_id));
        Agent {
            participant: MapParticipant::new(incarnation, rank as u64),
            running: None,
        }
    }

    /// Begins a pass unless a rank holds for it; fails when two ranks use different maps.
    fn pass(&mut self) -> Result<(), TestCaseError> {
        let next = self.step + 1;
        if self.engines.iter().any(|engine| engine.held == Some(next)) {
            return Ok(());
        }
        self.step = next;
        for engine in &mut self.engines {
            if let Some((map_id, at)) = engine.armed
                && at == next
            {
                engine.map = map_id;
                engine.armed = None;
                engine.copied = None;
            }
        }
        let first = self.engines[0].map;
        let is_one = self.engines.iter().all(|engine| engine.map == first);
        prop_assert!(is_one, "pass {next}: {:?}", self.engines);
        Ok(())
    }

    /// Copies a new map at all ranks that take it, and proposes it.
    fn propose(&mut self) {
        self.next_id += 1;
        let map_id = u64::from(self.next_id) << 32;
        for (engine, agent) in self.engines.iter_mut().zip(&self.agents) {
            // An agent gives one order after another, and none to copy while it holds.
            if engine.held.is_none() && agent.running.is_none() {
                engine.copy(map_id);
            }
        }
        let run = MapCoordinator::builder()
            .group_incarnation(1)
            .rank_count(RANKS)
            .nonce(self.next_id)
            .lead_steps(LEAD_STEPS)
            .proposal(Vec::new())
            .map_id(map_id)
            .build();
        self.start_run(0, run);
    }

    fn recover(&mut self, rank: usize) {
        if self.runs[rank + 1]
            .as_ref()
            .is_some_and(|(_, run)| run.outcome().is_none())
        {
            return;
        }
        self.next_id += 1;
        let run = MapCoordinator::builder()
            .group_incarnation(1)
            .rank_count(RANKS)
            .nonce(self.next_id)
            .lead_steps(LEAD_STEPS)
            .build();
        self.start_run(rank + 1, run);
    }

    fn start_run(&mut self, slot: usize, mut run: MapCoordinator) {
        let sends = run.start(self.now_ms);
        let nonce = self.next_id;
        self.runs[slot] = Some((nonce, run));
        self.send(slot, nonce, sends);
    }

    fn send(&mut self, slot: usize, nonce: u32, sends: Vec<CoordinatorRequest>) {
        for send in sends {
            self.network.push_back(Message::Ask {
                to: send.rank,
                from: Origin::Run { slot, nonce },
                call_id: send.call_id,
                request: send.request,
            });
        }
    }

    fn act(&mut self, rank: usize, actions: Vec<MapAction>) {
        for action in actions {
            match action {
                MapAction::Reply { call_id, reply } => self.reply(rank, call_id, reply),
                MapAction::Order(order) => {
                    let sequencer = EngineSequencer::new(order);
                    let first = sequencer.start();
                    self.agents[rank].running = Some((sequencer, first));
                }
                MapAction::AskPeers => self.ask_peers(rank),
                MapAction::Recover => self.recover(rank),
            }
        }
    }

    fn reply(&mut self, rank: usize, call_id: u64, reply: MapReply) {
        let position = self.asked[rank].iter().position(|asked| asked.0 == call_id);
        let Some(position) = position else {
            return;
        };
        let (_, from, call_id) = self.asked[rank].swap_remove(position);
        self.network.push_back(Message::Answer {
            rank,
            from,
            call_id,
            reply,
        });
    }

    fn ask_peers(&mut self, rank: usize) {
        for to in (0..RANKS).filter(|to| *to != rank) {
            let request = MapRequest::State(pomeloramp_lib::protos::control::MapStateRequest {
                group_incarnation: 1,
                ..Default::default()
            });
            let from = Origin::Rank(rank);
            self.network.push_back(Message::Ask {
                to,
                from,
                call_id: 0,
                request,
            });
        }
    }

    fn deliver(&mut self, index: usize, is_kept: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let message = self.network.remove(index).unwrap();
        match message {
            Message::Ask {
                to,
                from,
                call_id,
                request,
            } => {
                if is_kept {
                    let request = request.clone();
                    self.network.push_back(Message::Ask {
                        to,
                        from,
                        call_id,
                        request,
                    });
                }
                let own_call_id = self.next_call_id;
                self.next_call_id += 1;
                self.asked[to].push((own_call_id, from, call_id));
                let actions = self.agents[to]
                    .participant
                    .on_request(own_call_id, &request);
                self.act(to, actions);
            }
            Message::Answer {
                rank,
                from,
                call_id,
                reply,
            } => match from {
                Origin::Rank(asker) => {
                    if let MapReply::State(state) = reply {
                        let actions = self.agents[asker].participant.on_peer_state(&state);
                        self.act(asker, actions);
                    }
                }
                Origin::Run { slot, nonce } => {
                    let now_ms = self.now_ms;
                    let run = self.runs[slot].as_mut();
                    let Some((_, run)) = run.filter(|(own, _)| *own == nonce) else {
                        return;
                    };
                    let sends = run.on_reply(call_id, rank, &reply, now_ms);
                    self.send(slot, nonce, sends);
                }
            },
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for rank in 0..RANKS {
            let actions = self.agents[rank].participant.tick(self.now_ms);
            self.act(rank, actions);
        }
        for slot in 0..=RANKS {
            let now_ms = self.now_ms;
            let Some((nonce, run)) = &mut self.runs[slot] else {
                continue;
            };
            let nonce = *nonce;
            let sends = run.tick(now_ms);
            self.send(slot, nonce, sends);
        }
    }

    /// Lets an agent make one exchange with its engine. `fate` decides what becomes of an order.
    fn exchange(&mut self, rank: usize, fate: u8) {
        let Some((mut sequencer, next)) = self.agents[rank].running.take() else {
            return;
        };
        let engine = &mut self.engines[rank];
        let after = match next {
            SequencerAction::Read => sequencer.on_report(engine.report(rank, self.step)),
            SequencerAction::Order(order) => {
                let result = match fate % 8 {
                    // Neither carried out nor answered.
                    0 => OrderResult::Unknown,
                    // Carried out later, not answered.
                    1 | 2 => {
                        engine.late.push(order);
                        OrderResult::Unknown
                    }
                    // Carried out, and the answer is lost.
                    3 => {
                        engine.apply(&order, self.step);
                        OrderResult::Unknown
                    }
                    _ => engine.apply(&order, self.step),
                };
                sequencer.on_result(result)
            }
            SequencerAction::Done(_) => return,
        };
        if let SequencerAction::Done(report) = after {
            let now_ms = self.now_ms;
            let actions = self.agents[rank]
                .participant
                .on_engine_report(report, now_ms);
            self.act(rank, actions);
            return;
        }
        self.agents[rank].running = Some((sequencer, after));
    }

    fn carry_out_late(&mut self, rank: usize, index: usize) {
        let step = self.step;
        let engine = &mut self.engines[rank];
        if engine.late.is_empty() {
            return;
        }
        let order = engine.late.remove(index % engine.late.len());
        engine.apply(&order, step);
    }

    fn restart(&mut self, rank: usize) {
        self.agents[rank] = self.new_agent(rank);
        self.asked[rank].clear();
        self.runs[rank + 1] = None;
    }

    fn operate(&mut self, operation: (u8, u8, u8)) -> std::result::Result<(), TestCaseError> {
        let (kind, first, second) = operation;
        let rank = usize::from(first) % RANKS;
        match kind % 32 {
            0..=9 => self.deliver(usize::from(first), second % 16 == 0),
            10..=19 => self.exchange(rank, second),
            20..=23 => self.tick(),
            24..=27 => self.pass()?,
            28 => self.carry_out_late(rank, usize::from(second)),
            29 => self.propose(),
            30 => self.restart(rank),
            _ => {
                // A message is lost.
                self.network.pop_front();
            }
        }
        Ok(())
    }

    /// Lets everything be answered; returns whether passes go on.
    fn settle(&mut self) -> std::result::Result<bool, TestCaseError> {
        let before = self.step;
        for _ in 0..400 {
            self.tick();
            for _ in 0..60 {
                self.deliver(0, false);
                for rank in 0..RANKS {
                    self.exchange(rank, u8::MAX);
                }
            }
            self.pass()?;
        }
        Ok(self.step > before + 50)
    }
}

#[googletest::test]
fn an_order_that_is_carried_out_after_newer_ones_changes_no_map() {
    let mut engine = Engine::default();
    engine.copy(5);
    let arm = EngineOrder::Arm { map_id: 5, step: 3 };
    expect_that!(engine.apply(&arm, 3), eq(OrderResult::Refused));
    let mut sequencer = EngineSequencer::new(MapOrder::Commit { map_id: 5 });
    let held = RankReport {
        held_step: Some(4),
        ..engine.report(0, 3)
    };
    // Without an answer to the order to arm, the rank must not let go.
    let arm = EngineOrder::Arm { map_id: 5, step: 4 };
    expect_that!(
        sequencer.on_report(held.clone()),
        eq(&SequencerAction::Order(arm.clone()))
    );
    expect_that!(
        sequencer.on_result(OrderResult::Unknown),
        eq(&SequencerAction::Read)
    );
    expect_that!(sequencer.on_report(held), eq(&SequencerAction::Order(arm)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn passes_use_one_map_over_late_lost_and_doubled_orders(
        operations in prop::collection::vec(any::<(u8, u8, u8)>(), 0..MAX_OPERATIONS)
    ) {
        let mut group = Group::new();
        for operation in operations {
            group.operate(operation)?;
        }
        prop_assert!(group.settle()?, "the group stands still: {:?}", group.engines);
    }
}

/// Lets the network and the engines work until `is_reached`, one message and exchange at a time.
fn run_until(group: &mut Group, is_reached: impl Fn(&Group) -> bool) -> bool {
    for round in 0..4_000 {
        if is_reached(group) {
            return true;
        }
        if round % 40 == 0 {
            group.tick();
        }
        group.deliver(0, false);
        group.exchange(round % RANKS, u8::MAX);
    }
    false
}

#[googletest::test]
fn an_agent_that_is_restarted_between_arming_and_letting_go_stops_nobody() {
    for restarted in 0..RANKS {
        let mut group = Group::new();
        run_until(&mut group, |group| {
            let agents = group.agents.iter();
            agents
                .clone()
                .all(|agent| agent.participant.engine_report().is_some())
        });
        group.propose();
        let is_between = |group: &Group| {
            let engine = &group.engines[restarted];
            engine.armed.is_some() && engine.held.is_some()
        };
        assert_that!(run_until(&mut group, is_between), eq(true));
        group.restart(restarted);
        expect_that!(group.settle().unwrap(), eq(true), "rank {restarted}");
        let maps: Vec<u64> = group.engines.iter().map(|engine| engine.map).collect();
        expect_that!(maps, each(gt(&0)));
    }
}
