//! What an agent does for one rank of one group: counts, expert maps and the plans for them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::Clock;
use crate::ExpertSlots;
use crate::GroupAgent;
use crate::GroupModel;
use crate::GroupPlanner;
use crate::Incarnation;
use crate::MapOutcome;
use crate::PlannerAction;
use crate::RankLocation;
use crate::RankReport;
use crate::choice_reporter;
use crate::choice_reporter::ChoiceReporter;
use crate::direct_orders;
use crate::direct_orders::RankLink;
use crate::duty::Duty;
use crate::event;
use crate::group_agent::ReadPeers;
use crate::map_copies;
use crate::pace_teller::PaceTeller;
use crate::protos::control::MapCopy;
use crate::protos::control::PlannerBeacon;
use crate::protos::control::RankCounts;
use crate::protos::control::RankDatagram;
use crate::protos::control::rank_datagram::Content;
use crate::protos::settings::RankGroupSettings;
use crate::rank_command::MapProposal;
use crate::rank_command::RankCommand;
use crate::rank_datagrams;
use crate::rank_datagrams::RankDatagrams;
use crate::rank_duty::RankDuty;
use crate::rank_duty::RankOutlets;
use crate::rank_messages::RankMessages;
use crate::rank_server;

const MAX_DATAGRAM_BYTES: usize = 16 << 10;
const COUNT_INTERVAL: Duration =
    Duration::from_millis(1_000 / choice_reporter::ROUNDS_PER_S as u64);
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
const BEACON_INTERVAL_MS: u64 = 200;
/// Silence after which the planner of a lower rank is not reckoned with.
const PLANNER_SILENT_MS: u64 = 700;
const HELLO_INTERVAL_MS: u64 = 2_000;
/// Time between two reads of the agents' addresses while ranks are missing.
const PEERS_INTERVAL_MS: u64 = 1_000;
/// Time between two reads of the sizes of the experts while none are published.
const MODEL_INTERVAL_MS: u64 = 1_000;
const ORDER_QUEUE_LENGTH: usize = 1;
const MESSAGE_QUEUE_LENGTH: usize = 256;
/// Ranks that the planner tells of a plan itself, which pass it on to the others.
const MAX_TOLD_RANKS: usize = 16;
/// Passes between the furthest known one and that of a switch.
const LEAD_STEPS: u64 = 2;

/// What an agent does for one rank of one group, until its engine is another.
pub(crate) struct RankRun {
    clock: Clock,
    link: RankLink,
    datagrams: RankDatagrams,
    paces: PaceTeller,
    read_peers: Arc<ReadPeers>,
    own_address: SocketAddr,
    duty: Duty<RankCommand>,
    group: String,
    rank: u32,
    rank_count: u32,
    /// Where all other ranks are.
    peers: watch::Sender<Vec<RankLocation>>,
    choices: ChoiceReporter,
    highest_map_id: u64,
    ballot: watch::Sender<u64>,
    planner: Option<GroupPlanner>,
    model: Option<GroupModel>,
    heard_planner: Option<HeardPlanner>,
    /// Tasks that end with the run.
    _tasks: JoinSet<()>,
    copies: mpsc::Sender<(u64, ExpertSlots)>,
    copied: mpsc::Receiver<()>,
    outcomes: (
        mpsc::Sender<Option<MapOutcome>>,
        mpsc::Receiver<Option<MapOutcome>>,
    ),
    next_hello_ms: u64,
    next_beacon_ms: u64,
    next_peers_ms: u64,
    next_model_ms: u64,
    /// The formation of the group in which all other ranks were found.
    peers_formation: Option<u64>,
    /// The map whose experts of this rank were read.
    own_slots: Option<(u64, Vec<u32>)>,
}

#[derive(Debug, Clone, Copy)]
struct HeardPlanner {
    rank: u32,
    heard_ms: u64,
    known_map_id: u64,
}

impl RankRun {
    /// Starts on the rank that the engine reports to be.
    pub(crate) async fn start(
        agent: &GroupAgent,
        clock: Clock,
        datagrams: &RankDatagrams,
    ) -> Option<Self> {
        let link = RankLink::new(agent.engine.clone());
        let report = link
            .read()
            .await
            .inspect_err(|error| log::debug!("report of the engine: {error}"))
            .ok()?;
        let settings = RankGroupSettings {
            group: report.group.clone(),
            rank: report.rank,
            agent_addresses: vec![String::new(); report.rank_count as usize],
            lead_steps: LEAD_STEPS,
            ..RankGroupSettings::default()
        };
        let (orders, order_queue) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let (sends, send_queue) = mpsc::channel(MESSAGE_QUEUE_LENGTH);
        let ballot = watch::channel(0).0;
        let outlets = RankOutlets {
            orders,
            sends,
            ballot: ballot.clone(),
        };
        let duty = RankDuty::new(clock, Incarnation::random(), &settings, outlets).spawn();
        let mut tasks = JoinSet::new();
        tasks.spawn(direct_orders::run_orders(
            order_queue,
            link.clone(),
            duty.clone(),
        ));
        let peers = watch::channel(Vec::new()).0;
        let sender = RankMessages {
            datagrams: datagrams.clone(),
            duty: duty.clone(),
            group: report.group.clone(),
            rank: report.rank,
            peers: peers.subscribe(),
            engine_at: Arc::clone(&agent.engine_at),
            decisions: HashMap::new(),
        };
        tasks.spawn(sender.run(send_queue));
        let (copies, waiting) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let (done, completed) = mpsc::channel(ORDER_QUEUE_LENGTH);
        tasks.spawn(map_copies::run_copies(waiting, done, link.clone()));
        Some(Self {
            clock,
            link,
            datagrams: datagrams.clone(),
            paces: PaceTeller {
                datagrams: datagrams.clone(),
                entries: agent.entries.clone(),
                endpoint_address: agent.endpoint_address.clone(),
            },
            read_peers: Arc::clone(&agent.peers),
            own_address: agent.address,
            duty,
            group: report.group,
            rank: report.rank,
            rank_count: report.rank_count,
            peers,
            choices: ChoiceReporter::new(report.rank, report.rank_count),
            highest_map_id: 0,
            ballot,
            planner: None,
            model: None,
            heard_planner: None,
            _tasks: tasks,
            copies,
            copied: completed,
            outcomes: mpsc::channel(ORDER_QUEUE_LENGTH),
            next_hello_ms: 0,
            next_beacon_ms: 0,
            next_peers_ms: 0,
            next_model_ms: 0,
            peers_formation: None,
            own_slots: None,
        })
    }

    /// Runs until the engine is another rank.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut counts = tokio::time::interval(COUNT_INTERVAL);
        counts.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut plans = tokio::time::interval(PLAN_INTERVAL);
        plans.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let datagrams = self.datagrams.clone();
        while self.is_same_rank() {
            tokio::select! {
                received = datagrams.receive(&mut buffer) => {
                    if let Some((datagram, from)) = received {
                        self.take(datagram, from).await;
                    }
                }
                _ = counts.tick() => self.count().await,
                _ = plans.tick(), if self.planner.is_some() => self.plan().await,
                _ = self.copied.recv() => self.count().await,
                outcome = self.outcomes.1.recv() => {
                    let now_ms = self.clock.now_ms();
                    if let (Some(planner), Some(outcome)) = (&mut self.planner, outcome) {
                        planner.on_outcome(outcome, now_ms);
                    }
                }
            }
        }
    }

    /// Returns whether the engine is still the rank that the run was started for.
    fn is_same_rank(&self) -> bool {
        self.link.report.borrow().as_ref().is_none_or(|report| {
            let is_same_place = report.rank == self.rank && report.rank_count == self.rank_count;
            is_same_place && report.group == self.group
        })
    }

    /// Tells the planner what the rank's requests chose, and the others who and where this is.
    async fn count(&mut self) {
        let now_ms = self.clock.now_ms();
        let Some(report) = self.link.last_report() else {
            return;
        };
        self.paces.tell(report.pace_percent).await;
        self.find_peers(report.group_incarnation, now_ms).await;
        self.elect(now_ms).await;
        self.greet(&report, now_ms).await;
        let choices = match self.choices.next(&self.link.engine).await {
            Ok(choices) => choices,
            Err(error) => {
                log::debug!("choices of experts: {error}");
                return;
            }
        };
        let slots = self.slots_to_tell(&report).await;
        let counts = RankCounts {
            step: report.step,
            active_map_id: report.active_map_id,
            copied_map_id: report.copied_map_id.unwrap_or(0),
            highest_map_id: self.highest_map_id.max(*self.ballot.borrow()),
            choices,
            slots,
            pace_percent: report.pace_percent,
        };
        if let Some(planner) = &mut self.planner {
            planner.on_counts(self.rank, counts, now_ms);
            self.plan().await;
        } else if let Some(heard) = self.heard_planner {
            let datagram = self.datagram(&report, Content::Counts(counts));
            self.datagrams.send(heard.rank, &datagram).await;
        }
    }

    /// Returns the experts of this rank for a planner that does not know the map in use.
    async fn slots_to_tell(&mut self, report: &RankReport) -> Vec<u32> {
        let map_id = report.active_map_id;
        let known = match (&self.planner, self.heard_planner) {
            (Some(planner), _) => planner.known_map_id(),
            (None, Some(heard)) => Some(heard.known_map_id),
            (None, None) => return Vec::new(),
        };
        if known == Some(map_id) {
            return Vec::new();
        }
        if let Some((told, slots)) = &self.own_slots
            && *told == map_id
        {
            return slots.clone();
        }
        let Some(model) = self.model().await else {
            return Vec::new();
        };
        match (self.link.engine.experts)().await {
            Ok((read, experts)) => {
                let slots = slots_of(&experts, model.experts.slots_per_rank as usize);
                self.own_slots = Some((read, slots.clone()));
                if read == map_id { slots } else { Vec::new() }
            }
            Err(error) => {
                log::debug!("experts of the rank: {error}");
                Vec::new()
            }
        }
    }

    /// Returns the sizes of the experts, read at most once an interval until they are published.
    async fn model(&mut self) -> Option<GroupModel> {
        let now_ms = self.clock.now_ms();
        if self.model.is_none() && now_ms >= self.next_model_ms {
            self.next_model_ms = now_ms + MODEL_INTERVAL_MS;
            let read = (self.link.engine.model)().await;
            self.model = read
                .inspect_err(|error| log::debug!("sizes of the experts: {error}"))
                .ok()
                .flatten();
        }
        self.model.clone()
    }

    /// Reads where the other agents are until all are known, anew for each formation of the group,
    /// since a rank may have moved to another VM.
    async fn find_peers(&mut self, formation: u64, now_ms: u64) {
        if self.peers_formation == Some(formation) || now_ms < self.next_peers_ms {
            return;
        }
        self.next_peers_ms = now_ms + PEERS_INTERVAL_MS;
        match (self.read_peers)().await {
            Ok(mut peers) => {
                peers.retain(|peer| peer.agent != self.own_address);
                if peers != *self.peers.borrow() {
                    self.next_hello_ms = now_ms;
                }
                let is_complete = peers.len() + 1 >= self.rank_count as usize;
                self.peers_formation = is_complete.then_some(formation);
                self.peers.send_replace(peers);
            }
            Err(error) => log::debug!("addresses of agents: {error}"),
        }
    }

    /// Plans unless an agent of a lower rank does.
    async fn elect(&mut self, now_ms: u64) {
        let heard = self.heard_planner.filter(|heard| {
            let is_live = now_ms.saturating_sub(heard.heard_ms) < PLANNER_SILENT_MS;
            is_live && heard.rank < self.rank
        });
        self.heard_planner = heard;
        if heard.is_some() || now_ms < PLANNER_SILENT_MS {
            if self.planner.take().is_some() {
                event!(PlannerStopped, "group={} rank={}", self.group, self.rank);
            }
            return;
        }
        if self.planner.is_some() {
            return;
        }
        if let Some(model) = self.model().await {
            event!(PlannerStarted, "group={} rank={}", self.group, self.rank);
            let rank_count = self.rank_count as usize;
            self.planner = Some(GroupPlanner::new(model, rank_count, rand::random()));
        }
    }

    async fn greet(&mut self, report: &RankReport, now_ms: u64) {
        if let Some(planner) = &self.planner
            && now_ms >= self.next_beacon_ms
        {
            self.next_beacon_ms = now_ms + BEACON_INTERVAL_MS;
            self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            let known_map_id = planner.known_map_id().unwrap_or(u64::MAX);
            let beacon = Content::Planner(PlannerBeacon { known_map_id });
            self.tell_all(&self.datagram(report, beacon)).await;
        } else if now_ms >= self.next_hello_ms {
            self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            let hello = RankDatagram {
                content: None,
                ..self.datagram(report, Content::Planner(PlannerBeacon::default()))
            };
            self.tell_all(&hello).await;
        }
    }

    async fn tell_all(&self, datagram: &RankDatagram) {
        let agents: Vec<SocketAddr> = self.peers.borrow().iter().map(|peer| peer.agent).collect();
        for agent in agents {
            self.datagrams.send_to(agent, datagram).await;
        }
    }

    fn datagram(&self, report: &RankReport, content: Content) -> RankDatagram {
        RankDatagram {
            group: self.group.clone(),
            group_incarnation: report.group_incarnation,
            rank: self.rank,
            content: Some(content),
        }
    }

    async fn take(&mut self, datagram: RankDatagram, from: SocketAddr) {
        if datagram.group != self.group || datagram.rank == self.rank {
            return;
        }
        self.datagrams.learn(datagram.rank, from);
        let now_ms = self.clock.now_ms();
        let rank = datagram.rank;
        match datagram.content {
            None => {}
            Some(Content::Ask(ask)) => self.answer(ask, from),
            Some(Content::Answer(answer)) => self.answered(rank, answer),
            Some(Content::Counts(counts)) => {
                if let Some(planner) = &mut self.planner {
                    planner.on_counts(rank, counts, now_ms);
                    self.plan().await;
                }
            }
            Some(Content::Copy(copy)) => self.copy(copy).await,
            Some(Content::Planner(beacon)) => {
                let is_lowest = self.heard_planner.is_none_or(|heard| {
                    let is_silent = now_ms.saturating_sub(heard.heard_ms) >= PLANNER_SILENT_MS;
                    rank <= heard.rank || is_silent
                });
                if is_lowest {
                    self.heard_planner = Some(HeardPlanner {
                        rank,
                        heard_ms: now_ms,
                        known_map_id: beacon.known_map_id,
                    });
                }
            }
        }
    }

    /// Passes a request of another rank's agent to the duty and sends its answer back.
    fn answer(&self, ask: crate::protos::control::RankAsk, from: SocketAddr) {
        let Some((origin, request)) = rank_datagrams::request_of(ask) else {
            return;
        };
        let duty = self.duty.clone();
        let datagrams = self.datagrams.clone();
        let group = self.group.clone();
        let rank = self.rank;
        tokio::spawn(async move {
            match rank_server::ask(&duty, request).await {
                Ok(reply) => {
                    let datagram = RankDatagram {
                        group,
                        group_incarnation: 0,
                        rank,
                        content: Some(rank_datagrams::answer_content(origin, reply)),
                    };
                    datagrams.send_to(from, &datagram).await;
                }
                Err(status) => log::debug!("request of a rank: {}", status.message()),
            }
        });
    }

    fn answered(&self, rank: u32, answer: crate::protos::control::RankAnswer) {
        let Some((origin, reply)) = rank_datagrams::reply_of(answer) else {
            return;
        };
        let command = RankCommand::Answer {
            rank: rank as usize,
            origin,
            reply,
        };
        if let Err(error) = self.duty.submit(command) {
            log::warn!("answer of rank {rank}: {error}");
        }
    }

    /// Tells ranks of a plan, of a large group by way of some of them.
    async fn tell_copy(&self, copy: MapCopy, mut ranks: Vec<u32>) {
        let Some(report) = self.link.last_report() else {
            return;
        };
        ranks.retain(|rank| *rank != self.rank);
        let told = ranks.len().div_ceil(MAX_TOLD_RANKS).max(1);
        for share in ranks.chunks(told) {
            let Some((first, others)) = share.split_first() else {
                continue;
            };
            let copy = MapCopy {
                forward_to: others.to_vec(),
                ..copy.clone()
            };
            let datagram = self.datagram(&report, Content::Copy(copy));
            self.datagrams.send(*first, &datagram).await;
        }
    }

    async fn copy(&mut self, mut copy: MapCopy) {
        let forward_to = std::mem::take(&mut copy.forward_to);
        if !forward_to.is_empty()
            && let Some(report) = self.link.last_report()
        {
            let datagram = self.datagram(&report, Content::Copy(copy.clone()));
            for rank in forward_to {
                self.datagrams.send(rank, &datagram).await;
            }
        }
        let Some(model) = self.model().await else {
            return;
        };
        let slots_per_rank = model.experts.slots_per_rank as usize;
        let slots = ExpertSlots::new(self.rank_count as usize, slots_per_rank, copy.slots);
        let Some(slots) = slots else {
            log::warn!("map {:#x} does not fit the group", copy.map_id);
            return;
        };
        self.start_copy(copy.map_id, slots);
    }

    fn start_copy(&mut self, map_id: u64, slots: ExpertSlots) {
        self.highest_map_id = self.highest_map_id.max(map_id);
        // A copy that is under way goes on; the planner tells again what is missing.
        let _ = self.copies.try_send((map_id, slots));
    }

    async fn plan(&mut self) {
        let now_ms = self.clock.now_ms();
        let Some(planner) = &mut self.planner else {
            return;
        };
        match planner.advance(now_ms) {
            None => {}
            Some(PlannerAction::Copy {
                ranks,
                map_id,
                slots,
                estimate,
            }) => {
                if let Some(estimate) = estimate {
                    event!(
                        MapPlanned,
                        "group={} map={map_id:#x} skew_before={:.3} skew_after={:.3} copies={} pass_ms={:.1}",
                        self.group,
                        estimate.skew_before,
                        estimate.skew_after,
                        estimate.copies,
                        estimate.pass_ms
                    );
                }
                let copy = MapCopy {
                    map_id,
                    slots: slots.as_slice().to_vec(),
                    forward_to: Vec::new(),
                };
                self.tell_copy(copy, ranks).await;
                self.start_copy(map_id, slots);
            }
            Some(PlannerAction::Propose { map_id, min_step }) => {
                self.propose(map_id, min_step);
            }
        }
    }

    fn propose(&mut self, map_id: u64, min_step: u64) {
        let own_step = self.link.last_report().map_or(0, |report| report.step);
        let (ended, outcome) = oneshot::channel();
        let proposal = MapProposal {
            map_id: Some(map_id),
            min_step: min_step.max(own_step),
            replicas: Vec::new(),
        };
        if let Err(error) = self.duty.submit(RankCommand::Propose { proposal, ended }) {
            log::warn!("proposal of map {map_id:#x}: {error}");
        }
        let outcomes = self.outcomes.0.clone();
        let group = self.group.clone();
        tokio::spawn(async move {
            let outcome = outcome.await.ok();
            let text = outcome.map_or_else(|| "given up".to_owned(), |o| o.to_string());
            event!(PlanEnded, "group={group}: {text}");
            let _ = outcomes.send(outcome).await;
        });
    }
}

/// Returns the experts of a rank, slot by slot and set by set.
fn slots_of(experts: &[Vec<u32>], slots_per_rank: usize) -> Vec<u32> {
    let sets = experts.iter().map(|set| {
        let slots = set.iter().map(|expert| expert + 1);
        slots.chain(std::iter::repeat(0)).take(slots_per_rank)
    });
    sets.flatten().collect()
}
