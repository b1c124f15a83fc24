//! A rank group with agents, coordinators and a network whose order of delivery the test chooses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use pomeloramp_lib::Incarnation;
use pomeloramp_lib::MapAction;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::MapParticipant;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::MapSend;
use pomeloramp_lib::protos::control::ExpertReplica;
use pomeloramp_lib::protos::control::MapStateRequest;

use crate::FakeRankEngine;
use crate::map_message::Message;
use crate::map_message::Origin;

const MAX_VIOLATIONS: usize = 3;
const TICK_MS: u64 = 60;

#[derive(Debug)]
struct Agent {
    incarnation: u64,
    participant: MapParticipant,
    order: Option<MapOrder>,
    routes: Vec<(Origin, u64)>,
}

#[derive(Debug)]
struct Slot {
    nonce: u32,
    is_frozen: bool,
    coordinator: MapCoordinator,
}

/// A rank group whose steps, messages and faults are driven by a test.
///
/// It notes every step's map and every decision that took effect, and collects contradictions.
#[derive(Debug)]
pub struct MapGroup {
    /// The engines by rank.
    pub engines: Vec<FakeRankEngine>,
    /// Contradictions seen so far.
    pub violations: Vec<String>,
    /// Number of maps that any engine committed.
    pub committed: BTreeSet<(u64, u64)>,
    agents: Vec<Agent>,
    slots: Vec<Option<Slot>>,
    network: VecDeque<Message>,
    released: BTreeSet<(u64, u64)>,
    used: BTreeMap<(u64, u64), u64>,
    next_identity: u32,
    now_ms: u64,
}

impl MapGroup {
    /// Creates a group of `rank_count` ranks and room for `slot_count` coordinators, beside one
    /// that each rank's agent starts when its map stays undecided.
    #[must_use]
    pub fn new(rank_count: usize, slot_count: usize) -> Self {
        let mut group = Self {
            engines: vec![FakeRankEngine::new(1, 0); rank_count],
            violations: Vec::new(),
            committed: BTreeSet::new(),
            agents: Vec::new(),
            slots: (0..slot_count + rank_count).map(|_| None).collect(),
            network: VecDeque::new(),
            released: BTreeSet::new(),
            used: BTreeMap::new(),
            next_identity: 0,
            now_ms: 0,
        };
        for rank in 0..rank_count {
            let agent = group.new_agent(rank);
            group.agents.push(agent);
        }
        group
    }

    /// Lets a rank end its running step, or begin the next if all ranks have ended the one before.
    pub fn step(&mut self, rank: usize) {
        if self.engines[rank].is_running {
            self.engines[rank].end_step();
            return;
        }
        let step = self.engines[rank].step;
        let may_begin = self.engines.iter().all(|engine| engine.step >= step);
        if !may_begin || !self.engines[rank].begin_step() {
            return;
        }
        let engine = &self.engines[rank];
        let key = (engine.group_incarnation, step);
        let map_id = *self.used.entry(key).or_insert(engine.active_map_id);
        if map_id != engine.active_map_id {
            self.violations.push(format!(
                "step {step}: rank {rank} uses map {:#x}, another {map_id:#x}",
                engine.active_map_id
            ));
            self.violations.truncate(MAX_VIOLATIONS);
        }
    }

    /// Starts a coordinator's run in a slot, in place of what ran there.
    pub fn start_coordinator(&mut self, slot: usize, proposes: bool, lead_steps: u64) {
        let nonce = self.identity();
        let replica = ExpertReplica::default();
        let mut coordinator = MapCoordinator::builder()
            .group_incarnation(self.group_incarnation())
            .rank_count(self.engines.len())
            .nonce(nonce)
            .lead_steps(lead_steps)
            .maybe_proposal(proposes.then(|| vec![replica]))
            .build();
        let sends = coordinator.start(self.now_ms);
        self.slots[slot] = Some(Slot {
            nonce,
            is_frozen: false,
            coordinator,
        });
        self.send_all(Origin::Coordinator { slot, nonce }, sends);
    }

    /// Freezes or wakes the coordinator in a slot; what is sent to it meanwhile waits.
    pub fn set_suspended(&mut self, slot: usize, is_frozen: bool) {
        if let Some(slot) = &mut self.slots[slot] {
            slot.is_frozen = is_frozen;
        }
    }

    /// Returns the coordinator that runs in a slot.
    #[must_use]
    pub fn coordinator(&self, slot: usize) -> Option<&MapCoordinator> {
        self.slots[slot].as_ref().map(|slot| &slot.coordinator)
    }

    /// Delivers the message at `index`, counted around; a doubled one stays in the network.
    pub fn deliver(&mut self, index: usize, is_doubled: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        if self.is_for_frozen(&self.network[index]) {
            return;
        }
        let message = if is_doubled {
            Some(self.network[index].clone())
        } else {
            self.network.remove(index)
        };
        if let Some(message) = message {
            self.handle(message);
        }
    }

    /// Delivers up to `limit` messages between one coordinator and the ranks below which `is_linked`
    /// holds true, and answers the orders of their engines; all other messages wait.
    pub fn deliver_linked(&mut self, slot: usize, is_linked: &[bool], limit: usize) {
        for _ in 0..limit {
            for (rank, is_linked) in is_linked.iter().enumerate() {
                if *is_linked {
                    self.answer_engine(rank);
                }
            }
            let next = self.network.iter().position(|message| {
                let (origin, rank) = message.ends();
                let is_from_slot =
                    matches!(origin, Origin::Coordinator { slot: from, .. } if from == slot);
                is_from_slot && is_linked[rank]
            });
            match next {
                Some(index) => self.deliver(index, false),
                None => return,
            }
        }
    }

    /// Loses the message at `index`, counted around.
    pub fn lose(&mut self, index: usize) {
        if !self.network.is_empty() {
            let index = index % self.network.len();
            self.network.remove(index);
        }
    }

    /// Lets an engine carry out and answer the order in flight.
    pub fn answer_engine(&mut self, rank: usize) {
        let Some(order) = self.agents[rank].order.take() else {
            return;
        };
        let report = self.apply_order(rank, &order);
        let now_ms = self.now_ms;
        let participant = &mut self.agents[rank].participant;
        let actions = participant.on_engine_report(report, now_ms);
        self.act(rank, actions);
    }

    /// Restarts an agent; the order in flight is carried out before the new run reads, or is lost.
    pub fn restart_agent(&mut self, rank: usize, is_order_done: bool) {
        if let Some(order) = self.agents[rank].order.take()
            && is_order_done
        {
            self.apply_order(rank, &order);
        }
        self.agents[rank] = self.new_agent(rank);
    }

    /// Replaces a rank: the platform forms the group anew, and the other agents aren't told.
    pub fn replace_rank(&mut self, rank: usize) {
        let group_incarnation = self.group_incarnation() + 1;
        let active = self.engines.iter().map(|engine| engine.active_map_id);
        let active_map_id = active.max().unwrap_or(0);
        for engine in &mut self.engines {
            let held_steps = engine.held_steps;
            *engine = FakeRankEngine::new(group_incarnation, active_map_id);
            engine.held_steps = held_steps;
        }
        self.agents[rank] = self.new_agent(rank);
    }

    /// Lets time pass for all agents and for the coordinators that are not frozen.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for rank in 0..self.agents.len() {
            let actions = self.agents[rank].participant.tick(self.now_ms);
            self.act(rank, actions);
        }
        for index in 0..self.slots.len() {
            let Some(slot) = &mut self.slots[index] else {
                continue;
            };
            if slot.is_frozen {
                continue;
            }
            let sends = slot.coordinator.tick(self.now_ms);
            let nonce = slot.nonce;
            self.send_all(Origin::Coordinator { slot: index, nonce }, sends);
        }
    }

    /// Delivers all messages in order and answers all orders, a bounded number of times.
    pub fn settle_network(&mut self) {
        for _ in 0..200 {
            for _ in 0..self.network.len() {
                let Some(message) = self.network.pop_front() else {
                    break;
                };
                if self.is_for_frozen(&message) {
                    self.network.push_back(message);
                } else {
                    self.handle(message);
                }
            }
            for rank in 0..self.agents.len() {
                self.answer_engine(rank);
            }
            let is_idle = self.agents.iter().all(|agent| agent.order.is_none());
            let is_quiet = self
                .network
                .iter()
                .all(|message| self.is_for_frozen(message));
            if is_idle && is_quiet {
                return;
            }
        }
    }

    /// Lets one fault-free interval pass: messages, time and one step of each rank.
    pub fn run_without_faults(&mut self) {
        self.settle_network();
        self.tick();
        self.settle_network();
        for _ in 0..2 {
            for rank in 0..self.engines.len() {
                self.step(rank);
            }
        }
    }

    /// Lets one fault-free step pass in which each message and each order travels one hop.
    pub fn run_one_hop(&mut self) {
        for rank in 0..self.agents.len() {
            self.answer_engine(rank);
        }
        for _ in 0..self.network.len() {
            self.deliver(0, false);
        }
        self.tick();
        for _ in 0..2 {
            for rank in 0..self.engines.len() {
                self.step(rank);
            }
        }
    }

    /// Returns the latest formation of the group.
    #[must_use]
    pub fn group_incarnation(&self) -> u64 {
        self.engines[0].group_incarnation
    }

    /// Returns the number of messages under way.
    #[must_use]
    pub fn message_count(&self) -> usize {
        self.network.len()
    }

    fn identity(&mut self) -> u32 {
        self.next_identity += 1;
        self.next_identity
    }

    fn new_agent(&mut self, rank: usize) -> Agent {
        let incarnation = u64::from(self.identity());
        let mut participant = MapParticipant::new(Incarnation(incarnation), rank as u64);
        let actions = participant.tick(self.now_ms);
        let order = actions.into_iter().find_map(|action| match action {
            MapAction::Order(order) => Some(order),
            _ => None,
        });
        Agent {
            incarnation,
            participant,
            order,
            routes: Vec::new(),
        }
    }

    fn apply_order(&mut self, rank: usize, order: &MapOrder) -> pomeloramp_lib::MapEngineReport {
        let engine = &mut self.engines[rank];
        let before = engine.staged;
        let report = engine.apply(order);
        let Some(before) = before.filter(|staged| !staged.committed) else {
            return report;
        };
        let key = (engine.group_incarnation, before.map_id);
        match report.staged {
            None => self.released.insert(key),
            Some(staged) if staged.committed => self.committed.insert(key),
            Some(_) => false,
        };
        if self.released.contains(&key) && self.committed.contains(&key) {
            self.violations
                .push(format!("map {:#x} was committed and released", key.1));
        }
        report
    }

    fn is_for_frozen(&self, message: &Message) -> bool {
        let Message::Reply {
            origin: Origin::Coordinator { slot, .. },
            ..
        } = message
        else {
            return false;
        };
        self.slots[*slot]
            .as_ref()
            .is_some_and(|slot| slot.is_frozen)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Request { origin, send } => {
                let agent = &mut self.agents[send.rank];
                let route = agent.routes.len() as u64;
                agent.routes.push((origin, send.call));
                let actions = agent.participant.on_request(route, &send.request);
                self.act(send.rank, actions);
            }
            Message::Reply {
                origin: Origin::Coordinator { slot: index, nonce },
                call,
                rank,
                reply,
            } => {
                let Some(slot) = &mut self.slots[index] else {
                    return;
                };
                if slot.nonce != nonce {
                    return;
                }
                let sends = slot.coordinator.on_reply(call, rank, &reply, self.now_ms);
                self.send_all(Origin::Coordinator { slot: index, nonce }, sends);
            }
            Message::Reply {
                origin: Origin::Peer { rank, incarnation },
                reply: MapReply::State(state),
                ..
            } if self.agents[rank].incarnation == incarnation => {
                let actions = self.agents[rank].participant.on_peer_state(&state);
                self.act(rank, actions);
            }
            Message::Reply { .. } => {}
        }
    }

    fn act(&mut self, rank: usize, actions: Vec<MapAction>) {
        for action in actions {
            match action {
                MapAction::Reply { call, reply } => {
                    let index = usize::try_from(call).expect("routes are counted in usize");
                    let (origin, call) = self.agents[rank].routes[index];
                    self.network.push_back(Message::Reply {
                        origin,
                        call,
                        rank,
                        reply,
                    });
                }
                MapAction::Order(order) => {
                    assert_eq!(self.agents[rank].order, None, "two orders in flight");
                    self.agents[rank].order = Some(order);
                }
                MapAction::AskPeers => self.ask_peers(rank),
                MapAction::Recover => {
                    let slot = self.slots.len() - self.agents.len() + rank;
                    if self.slots[slot]
                        .as_ref()
                        .is_none_or(|slot| slot.coordinator.outcome().is_some())
                    {
                        self.start_coordinator(slot, false, 1);
                    }
                }
            }
        }
    }

    fn ask_peers(&mut self, rank: usize) {
        let incarnation = self.agents[rank].incarnation;
        let origin = Origin::Peer { rank, incarnation };
        let peers = (0..self.agents.len()).filter(|peer| *peer != rank);
        let sends = peers.map(|peer| MapSend {
            call: 0,
            rank: peer,
            request: MapRequest::State(MapStateRequest::default()),
        });
        let sends = sends.collect();
        self.send_all(origin, sends);
    }

    fn send_all(&mut self, origin: Origin, sends: Vec<MapSend>) {
        let requests = sends
            .into_iter()
            .map(|send| Message::Request { origin, send });
        self.network.extend(requests);
    }
}
