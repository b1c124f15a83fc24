//! A simulated rank group with agents, coordinators and a network, in which the test chooses the
//! order of delivery.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use pomeloramp_lib::CoordinatorRequest;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::MapAction;
use pomeloramp_lib::MapCoordinator;
use pomeloramp_lib::MapOrder;
use pomeloramp_lib::MapParticipant;
use pomeloramp_lib::MapReply;
use pomeloramp_lib::MapRequest;
use pomeloramp_lib::protos::control::ExpertReplica;
use pomeloramp_lib::protos::control::MapStateRequest;

use crate::FakeRankEngine;
use crate::map_message::Message;
use crate::map_message::Origin;

const MAX_VIOLATIONS: usize = 3;
const TICK_MS: u64 = 60;

/// The agent of one rank.
#[derive(Debug)]
struct Agent {
    incarnation: u64,
    participant: MapParticipant,
    /// The order to the engine that is in flight.
    order: Option<MapOrder>,
    /// Origin and number of each request received, by the number that the participant knows it by.
    routes: Vec<(Origin, u64)>,
}

/// A run of a coordinator.
#[derive(Debug)]
struct CoordinatorRun {
    nonce: u32,
    is_suspended: bool,
    coordinator: MapCoordinator,
}

/// A rank group whose steps, messages and faults are driven by a test.
///
/// It records the map of each step and every decision that took effect, and collects violations of
/// the agreement.
#[derive(Debug)]
pub struct MapGroup {
    /// The engines, by rank.
    pub engines: Vec<FakeRankEngine>,
    /// Violations of the agreement so far.
    pub violations: Vec<String>,
    /// Group incarnation and id of each map that any engine committed.
    pub committed: BTreeSet<(u64, u64)>,
    agents: Vec<Agent>,
    coordinators: Vec<Option<CoordinatorRun>>,
    network: VecDeque<Message>,
    /// Group incarnation and id of each map that any engine released.
    released: BTreeSet<(u64, u64)>,
    /// Id of the map used in each step, by group incarnation and step.
    used: BTreeMap<(u64, u64), u64>,
    last_id: u32,
    now_ms: u64,
}

impl MapGroup {
    /// Creates a group of `rank_count` ranks with slots for `slot_count` coordinators of the test,
    /// and one for each rank's agent, which starts a coordinator when its map stays undecided.
    #[must_use]
    pub fn new(rank_count: usize, slot_count: usize) -> Self {
        let mut group = Self {
            engines: vec![FakeRankEngine::new(1, 0); rank_count],
            violations: Vec::new(),
            committed: BTreeSet::new(),
            agents: Vec::new(),
            coordinators: (0..slot_count + rank_count).map(|_| None).collect(),
            network: VecDeque::new(),
            released: BTreeSet::new(),
            used: BTreeMap::new(),
            last_id: 0,
            now_ms: 0,
        };
        for rank in 0..rank_count {
            let agent = group.new_agent(rank);
            group.agents.push(agent);
        }
        group
    }

    /// Ends a rank's running step, or begins its next step if all ranks have ended the previous one.
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
                "step {step}: rank {rank} uses map {:#x}, another rank {map_id:#x}",
                engine.active_map_id
            ));
            self.violations.truncate(MAX_VIOLATIONS);
        }
    }

    /// Starts a coordinator in a slot, where it replaces any other.
    pub fn start_coordinator(&mut self, slot: usize, proposes: bool, lead_steps: u64) {
        let nonce = self.new_id();
        let replica = ExpertReplica::default();
        let mut coordinator = MapCoordinator::builder()
            .group_incarnation(self.group_incarnation())
            .rank_count(self.engines.len())
            .nonce(nonce)
            .lead_steps(lead_steps)
            .maybe_proposal(proposes.then(|| vec![replica]))
            .build();
        let sends = coordinator.start(self.now_ms);
        self.coordinators[slot] = Some(CoordinatorRun {
            nonce,
            is_suspended: false,
            coordinator,
        });
        self.send_all(Origin::Coordinator { slot, nonce }, sends);
    }

    /// Suspends or resumes the coordinator in a slot; messages to it stay in the network meanwhile.
    pub fn set_suspended(&mut self, slot: usize, is_suspended: bool) {
        if let Some(run) = &mut self.coordinators[slot] {
            run.is_suspended = is_suspended;
        }
    }

    /// Returns the coordinator in a slot.
    #[must_use]
    pub fn coordinator(&self, slot: usize) -> Option<&MapCoordinator> {
        self.coordinators[slot].as_ref().map(|run| &run.coordinator)
    }

    /// Delivers the message at `index` modulo the number of messages; if it is duplicated, it also
    /// stays in the network.
    pub fn deliver(&mut self, index: usize, is_duplicated: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        if self.is_for_suspended(&self.network[index]) {
            return;
        }
        let message = if is_duplicated {
            Some(self.network[index].clone())
        } else {
            self.network.remove(index)
        };
        if let Some(message) = message {
            self.handle(message);
        }
    }

    /// Delivers up to `limit` messages between one coordinator and the ranks for which `is_linked`
    /// is true, and executes the orders to their engines; all other messages stay in the network.
    pub fn deliver_linked(&mut self, slot: usize, is_linked: &[bool], limit: usize) {
        for _ in 0..limit {
            for (rank, is_linked) in is_linked.iter().enumerate() {
                if *is_linked {
                    self.execute_order(rank);
                }
            }
            let next = self.network.iter().position(|message| {
                let (origin, rank) = message.origin_and_rank();
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

    /// Drops the message at `index` modulo the number of messages.
    pub fn drop_message(&mut self, index: usize) {
        if !self.network.is_empty() {
            let index = index % self.network.len();
            self.network.remove(index);
        }
    }

    /// Executes the order in flight to an engine and passes the engine's report to the agent.
    pub fn execute_order(&mut self, rank: usize) {
        let Some(order) = self.agents[rank].order.take() else {
            return;
        };
        let report = self.apply_order(rank, &order);
        let now_ms = self.now_ms;
        let participant = &mut self.agents[rank].participant;
        let actions = participant.on_engine_report(report, now_ms);
        self.perform(rank, actions);
    }

    /// Restarts an agent. If `is_order_done`, the engine executes the order in flight before the new
    /// agent reads its state; otherwise the order is lost.
    pub fn restart_agent(&mut self, rank: usize, is_order_done: bool) {
        if let Some(order) = self.agents[rank].order.take()
            && is_order_done
        {
            self.apply_order(rank, &order);
        }
        self.agents[rank] = self.new_agent(rank);
    }

    /// Replaces a rank: the group gets a new incarnation, of which the other agents are not notified.
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

    /// Advances the time of all agents and of the coordinators that are not suspended.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for rank in 0..self.agents.len() {
            let actions = self.agents[rank].participant.tick(self.now_ms);
            self.perform(rank, actions);
        }
        for index in 0..self.coordinators.len() {
            let Some(run) = &mut self.coordinators[index] else {
                continue;
            };
            if run.is_suspended {
                continue;
            }
            let sends = run.coordinator.tick(self.now_ms);
            let nonce = run.nonce;
            self.send_all(Origin::Coordinator { slot: index, nonce }, sends);
        }
    }

    /// Delivers all messages in order and executes all orders until none are left, up to a fixed number
    /// of rounds. Messages to suspended coordinators stay in the network.
    pub fn deliver_all(&mut self) {
        for _ in 0..200 {
            for _ in 0..self.network.len() {
                let Some(message) = self.network.pop_front() else {
                    break;
                };
                if self.is_for_suspended(&message) {
                    self.network.push_back(message);
                } else {
                    self.handle(message);
                }
            }
            for rank in 0..self.agents.len() {
                self.execute_order(rank);
            }
            let is_idle = self.agents.iter().all(|agent| agent.order.is_none());
            let is_delivered = self
                .network
                .iter()
                .all(|message| self.is_for_suspended(message));
            if is_idle && is_delivered {
                return;
            }
        }
    }

    /// Runs one interval without faults: delivers all messages, advances the time and runs one step of
    /// each rank.
    pub fn run_without_faults(&mut self) {
        self.deliver_all();
        self.tick();
        self.deliver_all();
        for _ in 0..2 {
            for rank in 0..self.engines.len() {
                self.step(rank);
            }
        }
    }

    /// Runs one step of each rank without faults, in which each message and each order travels one hop.
    pub fn run_one_hop(&mut self) {
        for rank in 0..self.agents.len() {
            self.execute_order(rank);
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

    /// Returns the current incarnation of the group.
    #[must_use]
    pub fn group_incarnation(&self) -> u64 {
        self.engines[0].group_incarnation
    }

    /// Returns the number of messages in the network.
    #[must_use]
    pub fn message_count(&self) -> usize {
        self.network.len()
    }

    /// Returns an id that no agent or coordinator has had.
    fn new_id(&mut self) -> u32 {
        self.last_id += 1;
        self.last_id
    }

    fn new_agent(&mut self, rank: usize) -> Agent {
        let incarnation = u64::from(self.new_id());
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

    /// Returns whether a message is a reply to a suspended coordinator.
    fn is_for_suspended(&self, message: &Message) -> bool {
        let Message::Reply {
            origin: Origin::Coordinator { slot, .. },
            ..
        } = message
        else {
            return false;
        };
        self.coordinators[*slot]
            .as_ref()
            .is_some_and(|run| run.is_suspended)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Request { origin, send } => {
                let agent = &mut self.agents[send.rank];
                let route = agent.routes.len() as u64;
                agent.routes.push((origin, send.call_id));
                let actions = agent.participant.on_request(route, &send.request);
                self.perform(send.rank, actions);
            }
            Message::Reply {
                origin: Origin::Coordinator { slot: index, nonce },
                call_id,
                rank,
                reply,
            } => {
                let Some(run) = &mut self.coordinators[index] else {
                    return;
                };
                if run.nonce != nonce {
                    return;
                }
                let sends = run.coordinator.on_reply(call_id, rank, &reply, self.now_ms);
                self.send_all(Origin::Coordinator { slot: index, nonce }, sends);
            }
            Message::Reply {
                origin: Origin::Peer { rank, incarnation },
                reply: MapReply::State(state),
                ..
            } if self.agents[rank].incarnation == incarnation => {
                let actions = self.agents[rank].participant.on_peer_state(&state);
                self.perform(rank, actions);
            }
            Message::Reply { .. } => {}
        }
    }

    /// Carries out the actions of a rank's participant.
    fn perform(&mut self, rank: usize, actions: Vec<MapAction>) {
        for action in actions {
            match action {
                MapAction::Reply { call_id, reply } => {
                    let index = usize::try_from(call_id).expect("a route's index fits usize");
                    let (origin, call_id) = self.agents[rank].routes[index];
                    self.network.push_back(Message::Reply {
                        origin,
                        call_id,
                        rank,
                        reply,
                    });
                }
                MapAction::Order(order) => {
                    assert_eq!(self.agents[rank].order, None, "two orders in flight");
                    self.agents[rank].order = Some(order);
                }
                MapAction::AskPeers => self.send_state_requests(rank),
                MapAction::Recover => {
                    let slot = self.coordinators.len() - self.agents.len() + rank;
                    if self.coordinators[slot]
                        .as_ref()
                        .is_none_or(|run| run.coordinator.outcome().is_some())
                    {
                        self.start_coordinator(slot, false, 1);
                    }
                }
            }
        }
    }

    /// Requests the state of every other rank.
    fn send_state_requests(&mut self, rank: usize) {
        let incarnation = self.agents[rank].incarnation;
        let origin = Origin::Peer { rank, incarnation };
        let peers = (0..self.agents.len()).filter(|peer| *peer != rank);
        let sends = peers.map(|peer| CoordinatorRequest {
            call_id: 0,
            rank: peer,
            request: MapRequest::State(MapStateRequest::default()),
        });
        let sends = sends.collect();
        self.send_all(origin, sends);
    }

    fn send_all(&mut self, origin: Origin, sends: Vec<CoordinatorRequest>) {
        let requests = sends
            .into_iter()
            .map(|send| Message::Request { origin, send });
        self.network.extend(requests);
    }
}
