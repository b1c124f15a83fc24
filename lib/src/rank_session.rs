//! Work of an agent for one rank of one group on the direct path: reports of expert choices,
//! agreement on expert maps, and planning of new maps.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::Clock;
use crate::ExpertSlots;
use crate::GroupAgent;
use crate::GroupModel;
use crate::GroupPlanner;
use crate::Incarnation;
use crate::MapOutcome;
use crate::PlannerAction;
use crate::RankReport;
use crate::actor::Actor;
use crate::choice_reporter;
use crate::choice_reporter::ChoiceReporter;
use crate::direct_orders;
use crate::direct_orders::EngineLink;
use crate::event;
use crate::map_copies;
use crate::protos::control::MapCopy;
use crate::protos::control::PlannerBeacon;
use crate::protos::control::RankCounts;
use crate::protos::control::RankDatagram;
use crate::protos::control::rank_datagram::Content;
use crate::protos::settings::RankGroupSettings;
use crate::rank_actor::RankActor;
use crate::rank_actor::RankOutputs;
use crate::rank_command::MapProposal;
use crate::rank_command::RankCommand;
use crate::rank_datagrams;
use crate::rank_datagrams::RankDatagrams;
use crate::rank_peers::RankPeers;
use crate::rank_request_sender::RankRequestSender;
use crate::rank_server;
use crate::remote_planner::PLANNER_TIMEOUT_MS;
use crate::remote_planner::RemotePlanner;
use crate::shutdown;
use crate::slowdown_reporter::SlowdownReporter;

const MAX_DATAGRAM_BYTES: usize = 16 << 10;
const COUNTS_INTERVAL: Duration =
    Duration::from_millis(1_000 / choice_reporter::ROUNDS_PER_S as u64);
const PLAN_INTERVAL: Duration = Duration::from_millis(25);
const BEACON_INTERVAL_MS: u64 = 200;
/// Interval of datagrams without content, which announce the agent's address to the other ranks.
const HELLO_INTERVAL_MS: u64 = 2_000;
/// Interval of reads of the expert model while none is published.
const MODEL_INTERVAL_MS: u64 = 1_000;
const ORDER_QUEUE_LENGTH: usize = 1;
const REQUEST_QUEUE_LENGTH: usize = 256;
/// Limit of ranks to which the planner sends a plan itself; these forward it to the others.
const MAX_DIRECT_RECIPIENTS: usize = 16;
/// Longest time for which an agent that is to end keeps its promises; well below the time to SIGKILL.
const CLOSING_TIME: Duration = Duration::from_secs(3);
/// Number of steps from the furthest known step to the switch step of a map.
const LEAD_STEPS: u64 = 2;

/// State of an agent while its engine serves one rank of one group.
pub(crate) struct RankSession {
    clock: Clock,
    link: EngineLink,
    datagrams: RankDatagrams,
    slowdowns: SlowdownReporter,
    actor: Actor<RankCommand>,
    group: String,
    rank: u32,
    rank_count: u32,
    peers: RankPeers,
    choices: ChoiceReporter,
    /// Highest id of a map that the session has received in a copy request or planned itself.
    highest_map_id: u64,
    /// The highest ballot that the rank actor has seen.
    highest_ballot: watch::Sender<u64>,
    /// The group's planner, if this rank plans.
    planner: Option<GroupPlanner>,
    model: Option<GroupModel>,
    /// The planner of another rank, if one is known.
    remote_planner: Option<RemotePlanner>,
    /// Tasks that are aborted when the session ends.
    _tasks: JoinSet<()>,
    /// Maps to copy, for the task that executes copy orders.
    copy_requests: mpsc::Sender<(u64, ExpertSlots)>,
    /// Notifications of completed copies from that task.
    completed_copies: mpsc::Receiver<()>,
    /// Outcomes of proposals, from the tasks that wait for them; `None` for an abandoned proposal.
    outcome_channel: (
        mpsc::Sender<Option<MapOutcome>>,
        mpsc::Receiver<Option<MapOutcome>>,
    ),
    next_hello_ms: u64,
    next_beacon_ms: u64,
    next_model_ms: u64,
    /// Id of the map that the rank's experts were last read for, and the experts by slot.
    own_slots: Option<(u64, Vec<u32>)>,
    /// Whether the agent is about to end.
    is_closing: bool,
}

/// The end of an agent that still keeps its promises.
struct Closing {
    /// Receives a message once the rank waits for nothing from the agent.
    settled: oneshot::Receiver<()>,
    until: Instant,
}

impl RankSession {
    /// Starts a session for the rank that the engine reports; `None` if the engine does not answer.
    pub(crate) async fn start(
        agent: &GroupAgent,
        clock: Clock,
        datagrams: &RankDatagrams,
    ) -> Option<Self> {
        let link = EngineLink::new(agent.engine.clone());
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
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        let highest_ballot = watch::channel(0).0;
        let outputs = RankOutputs {
            orders,
            requests,
            highest_ballot: highest_ballot.clone(),
        };
        let actor = RankActor::new(clock, Incarnation::random(), &settings, outputs).spawn();
        let mut tasks = JoinSet::new();
        tasks.spawn(direct_orders::run_orders(
            order_queue,
            link.clone(),
            actor.clone(),
        ));
        let read_peers = Arc::clone(&agent.peers);
        let peers = RankPeers::new(read_peers, agent.address, report.rank_count);
        let request_sender = RankRequestSender {
            datagrams: datagrams.clone(),
            actor: actor.clone(),
            group: report.group.clone(),
            rank: report.rank,
            peers: peers.subscribe(),
            engine_at: Arc::clone(&agent.engine_at),
            decisions: HashMap::new(),
        };
        tasks.spawn(request_sender.run(request_queue));
        let (copy_requests, copy_queue) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let (completion_sender, completion_receiver) = mpsc::channel(ORDER_QUEUE_LENGTH);
        tasks.spawn(map_copies::run_copies(
            copy_queue,
            completion_sender,
            link.clone(),
        ));
        Some(Self {
            clock,
            link,
            datagrams: datagrams.clone(),
            slowdowns: SlowdownReporter {
                datagrams: datagrams.clone(),
                entries: agent.entries.clone(),
                endpoint_address: agent.endpoint_address.clone(),
            },
            actor,
            group: report.group,
            rank: report.rank,
            rank_count: report.rank_count,
            peers,
            choices: ChoiceReporter::new(report.rank, report.rank_count),
            highest_map_id: 0,
            highest_ballot,
            planner: None,
            model: None,
            remote_planner: None,
            _tasks: tasks,
            copy_requests,
            completed_copies: completion_receiver,
            outcome_channel: mpsc::channel(ORDER_QUEUE_LENGTH),
            next_hello_ms: 0,
            next_beacon_ms: 0,
            next_model_ms: 0,
            own_slots: None,
            is_closing: false,
        })
    }

    /// Runs until the engine reports another rank or group, or until `shutdown` is true and the rank waits
    /// for nothing from this agent: a hold that nobody releases stops the whole group.
    pub(crate) async fn run(mut self, mut shutdown: watch::Receiver<bool>) {
        let mut closing = None;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut counts = tokio::time::interval(COUNTS_INTERVAL);
        counts.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut plans = tokio::time::interval(PLAN_INTERVAL);
        plans.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let datagrams = self.datagrams.clone();
        while self.is_same_rank() {
            tokio::select! {
                received = datagrams.receive(&mut buffer) => {
                    if let Some((datagram, from)) = received {
                        self.handle_datagram(datagram, from).await;
                    }
                }
                _ = counts.tick() => self.report_counts().await,
                _ = plans.tick(), if self.planner.is_some() => self.plan().await,
                () = shutdown::requested(&mut shutdown), if closing.is_none() => {
                    closing = Some(self.close().await);
                }
                () = wait_until_closed(&mut closing) => return,
                _ = self.completed_copies.recv() => self.report_counts().await,
                outcome = self.outcome_channel.1.recv() => {
                    let now_ms = self.clock.now_ms();
                    if let (Some(planner), Some(outcome)) = (&mut self.planner, outcome) {
                        planner.on_outcome(outcome, now_ms);
                    }
                }
            }
        }
    }

    /// Stops planning, and has the actor report when the agent may end.
    async fn close(&mut self) -> Closing {
        self.is_closing = true;
        self.planner = None;
        let (sender, settled) = oneshot::channel();
        let command = RankCommand::Close { settled: sender };
        self.actor.submit_when_free(command).await;
        Closing {
            settled,
            until: Instant::now() + CLOSING_TIME,
        }
    }

    /// Returns whether the engine still serves the rank that the session was started for.
    fn is_same_rank(&self) -> bool {
        self.link.report.borrow().as_ref().is_none_or(|report| {
            let is_same_rank = report.rank == self.rank && report.rank_count == self.rank_count;
            is_same_rank && report.group == self.group
        })
    }

    /// Reports the expert choices of the rank's requests to the planner, and performs the other
    /// periodic work: slowdown reports, peer discovery, planner election and announcements.
    async fn report_counts(&mut self) {
        let now_ms = self.clock.now_ms();
        let Some(report) = self.link.last_report() else {
            return;
        };
        self.slowdowns.report(report.slowdown_percent).await;
        if self.peers.update(report.group_incarnation, now_ms).await {
            self.next_hello_ms = now_ms;
        }
        self.update_planner(now_ms).await;
        self.announce(&report, now_ms).await;
        let choices = match self.choices.next(&self.link.engine).await {
            Ok(choices) => choices,
            Err(error) => {
                log::debug!("reading the choices of experts: {error}");
                return;
            }
        };
        let slots = self.slots_to_report(&report).await;
        let counts = RankCounts {
            step: report.step,
            active_map_id: report.active_map_id,
            copied_map_id: report.copied_map_id.unwrap_or(0),
            highest_map_id: self.highest_map_id.max(*self.highest_ballot.borrow()),
            choices,
            slots,
            pace_percent: report.slowdown_percent,
        };
        if let Some(planner) = &mut self.planner {
            planner.on_counts(self.rank, counts, now_ms);
            self.plan().await;
        } else if let Some(remote) = self.remote_planner {
            let datagram = self.datagram(&report, Content::Counts(counts));
            self.datagrams.send(remote.rank, &datagram).await;
        }
    }

    /// Returns the experts of this rank by slot if the planner does not know the map in use;
    /// otherwise an empty list.
    async fn slots_to_report(&mut self, report: &RankReport) -> Vec<u32> {
        let map_id = report.active_map_id;
        let planner_map_id = match (&self.planner, self.remote_planner) {
            (Some(planner), _) => planner.known_map_id(),
            (None, Some(remote)) => Some(remote.known_map_id),
            (None, None) => return Vec::new(),
        };
        if planner_map_id == Some(map_id) {
            return Vec::new();
        }
        if let Some((read_map_id, slots)) = &self.own_slots
            && *read_map_id == map_id
        {
            return slots.clone();
        }
        let Some(model) = self.model().await else {
            return Vec::new();
        };
        match (self.link.engine.experts)().await {
            Ok((read_map_id, experts)) => {
                let slots = encode_slots(&experts, model.experts.slots_per_rank as usize);
                self.own_slots = Some((read_map_id, slots.clone()));
                if read_map_id == map_id {
                    slots
                } else {
                    Vec::new()
                }
            }
            Err(error) => {
                log::debug!("reading the experts of the rank: {error}");
                Vec::new()
            }
        }
    }

    /// Returns the expert model; until one is published, it is read at most once per interval.
    async fn model(&mut self) -> Option<GroupModel> {
        let now_ms = self.clock.now_ms();
        if self.model.is_none() && now_ms >= self.next_model_ms {
            self.next_model_ms = now_ms + MODEL_INTERVAL_MS;
            let model = (self.link.engine.model)().await;
            self.model = model
                .inspect_err(|error| log::debug!("reading the expert model: {error}"))
                .ok()
                .flatten();
        }
        self.model.clone()
    }

    /// Starts or stops the planner: the lowest live rank plans.
    async fn update_planner(&mut self, now_ms: u64) {
        if self.is_closing {
            return;
        }
        let remote = self.remote_planner;
        let remote = remote.filter(|remote| remote.is_live(now_ms) && remote.rank < self.rank);
        self.remote_planner = remote;
        if remote.is_some() || now_ms < PLANNER_TIMEOUT_MS {
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

    /// Sends the planner's beacon, or a datagram without content, to all ranks when one is due.
    async fn announce(&mut self, report: &RankReport, now_ms: u64) {
        if let Some(planner) = &self.planner
            && now_ms >= self.next_beacon_ms
        {
            self.next_beacon_ms = now_ms + BEACON_INTERVAL_MS;
            self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            let known_map_id = planner.known_map_id().unwrap_or(u64::MAX);
            let beacon = Content::Planner(PlannerBeacon { known_map_id });
            self.send_to_all(&self.datagram(report, beacon)).await;
        } else if now_ms >= self.next_hello_ms {
            self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            let hello = RankDatagram {
                content: None,
                ..self.datagram(report, Content::Planner(PlannerBeacon::default()))
            };
            self.send_to_all(&hello).await;
        }
    }

    async fn send_to_all(&self, datagram: &RankDatagram) {
        for agent in self.peers.agents() {
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

    async fn handle_datagram(&mut self, datagram: RankDatagram, from: SocketAddr) {
        if datagram.group != self.group || datagram.rank == self.rank {
            return;
        }
        self.datagrams.set_address(datagram.rank, from);
        let now_ms = self.clock.now_ms();
        let rank = datagram.rank;
        match datagram.content {
            None => {}
            Some(Content::Ask(request)) => self.handle_request(request, from),
            Some(Content::Answer(reply)) => self.handle_reply(rank, reply),
            Some(Content::Counts(counts)) => {
                if let Some(planner) = &mut self.planner {
                    planner.on_counts(rank, counts, now_ms);
                    self.plan().await;
                }
            }
            Some(Content::Copy(copy)) => self.handle_copy(copy).await,
            Some(Content::Planner(beacon)) => {
                let known = self.remote_planner;
                let is_preferred =
                    known.is_none_or(|known| rank <= known.rank || !known.is_live(now_ms));
                if is_preferred {
                    self.remote_planner = Some(RemotePlanner {
                        rank,
                        last_beacon_ms: now_ms,
                        known_map_id: beacon.known_map_id,
                    });
                }
            }
        }
    }

    /// Passes a request of another rank's agent to the actor and sends the reply back.
    fn handle_request(&self, request: crate::protos::control::RankRequest, from: SocketAddr) {
        let Some((origin, request)) = rank_datagrams::decode_request(request) else {
            return;
        };
        let actor = self.actor.clone();
        let datagrams = self.datagrams.clone();
        let group = self.group.clone();
        let rank = self.rank;
        tokio::spawn(async move {
            match rank_server::handle_request(&actor, request).await {
                Ok(reply) => {
                    let datagram = RankDatagram {
                        group,
                        group_incarnation: 0,
                        rank,
                        content: Some(rank_datagrams::reply_content(origin, reply)),
                    };
                    datagrams.send_to(from, &datagram).await;
                }
                Err(status) => log::debug!("request from a rank: {}", status.message()),
            }
        });
    }

    fn handle_reply(&self, rank: u32, reply: crate::protos::control::RankReply) {
        let Some((origin, reply)) = rank_datagrams::decode_reply(reply) else {
            return;
        };
        let command = RankCommand::PeerReply {
            rank: rank as usize,
            origin,
            reply,
        };
        if let Err(error) = self.actor.submit(command) {
            log::warn!("reply of rank {rank}: {error}");
        }
    }

    /// Sends a copy request to ranks. In a large group, some of the ranks receive it directly and
    /// forward it to the others.
    async fn send_copy_requests(&self, copy: MapCopy, mut ranks: Vec<u32>) {
        let Some(report) = self.link.last_report() else {
            return;
        };
        ranks.retain(|rank| *rank != self.rank);
        let ranks_per_recipient = ranks.len().div_ceil(MAX_DIRECT_RECIPIENTS).max(1);
        for chunk in ranks.chunks(ranks_per_recipient) {
            let Some((recipient, forward_to)) = chunk.split_first() else {
                continue;
            };
            let copy = MapCopy {
                forward_to: forward_to.to_vec(),
                ..copy.clone()
            };
            let datagram = self.datagram(&report, Content::Copy(copy));
            self.datagrams.send(*recipient, &datagram).await;
        }
    }

    /// Forwards a copy request to the ranks that it lists, and starts the copy at this rank.
    async fn handle_copy(&mut self, mut copy: MapCopy) {
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
            log::warn!(
                "map {:#x} does not match the size of the group",
                copy.map_id
            );
            return;
        };
        self.queue_copy(copy.map_id, slots);
    }

    /// Starts a copy at this rank, unless one is in progress.
    fn queue_copy(&mut self, map_id: u64, slots: ExpertSlots) {
        self.highest_map_id = self.highest_map_id.max(map_id);
        // A copy in progress is not interrupted; the planner resends requests for missing copies.
        let _ = self.copy_requests.try_send((map_id, slots));
    }

    /// Advances the planner, if this rank plans, and executes its action.
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
                self.send_copy_requests(copy, ranks).await;
                self.queue_copy(map_id, slots);
            }
            Some(PlannerAction::Propose { map_id, min_step }) => {
                self.propose(map_id, min_step);
            }
        }
    }

    /// Proposes a copied map to all ranks; the outcome arrives through `outcome_channel`.
    fn propose(&mut self, map_id: u64, min_step: u64) {
        let own_step = self.link.last_report().map_or(0, |report| report.step);
        let (outcome_sender, outcome) = oneshot::channel();
        let proposal = MapProposal {
            map_id: Some(map_id),
            min_step: min_step.max(own_step),
            replicas: Vec::new(),
        };
        if let Err(error) = self.actor.submit(RankCommand::Propose {
            proposal,
            outcome_sender,
        }) {
            log::warn!("proposing map {map_id:#x}: {error}");
        }
        let proposal_outcomes = self.outcome_channel.0.clone();
        let group = self.group.clone();
        tokio::spawn(async move {
            let outcome = outcome.await.ok();
            let text = outcome.map_or_else(|| "abandoned".to_owned(), |o| o.to_string());
            event!(PlanEnded, "group={group}: {text}");
            let _ = proposal_outcomes.send(outcome).await;
        });
    }
}

/// Waits until the agent may end; forever if it is not to end.
async fn wait_until_closed(closing: &mut Option<Closing>) {
    match closing {
        Some(closing) => {
            let _ = tokio::time::timeout_at(closing.until, &mut closing.settled).await;
        }
        None => std::future::pending().await,
    }
}

/// Returns the experts of a rank by set and slot, each plus one; zero for a free slot.
fn encode_slots(experts: &[Vec<u32>], slots_per_rank: usize) -> Vec<u32> {
    let sets = experts.iter().map(|set| {
        let slots = set.iter().map(|expert| expert + 1);
        slots.chain(std::iter::repeat(0)).take(slots_per_rank)
    });
    sets.flatten().collect()
}
