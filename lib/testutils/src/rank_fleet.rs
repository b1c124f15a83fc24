//! A rank group of processes on loopback: a stand-in for the engines and an agent for each rank.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::process::Command;

use pomeloramp_lib::protos::control::ExpertReplica;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::fleet::DRAFT_SERVICE;
use crate::fleet::Fleet;
use crate::fleet_text::DEFAULT_CONTROL;
use crate::fleet_text::lines;
use crate::fleet_text::template;
use crate::http;
use crate::process::TestProcess;
use crate::process::binary_path;
use crate::rank_coordinator::RankAgents;
use crate::rank_coordinator::RankCoordinator;
use crate::relay::Relay;

const DAEMON: &str = "pomelorampd";
const STANDIN: &str = "pomeloramp-standin";
const CLI: &str = "pomelorampctl";
const ANY_PORT: &str = "127.0.0.1:0";
const GROUP: &str = "drafts";
const RANKS: usize = 4;
/// Size of an expert's weights in the weight store.
const WEIGHT_BYTES: u64 = 10_000;
/// Settings with which agents plan often.
const PLANNER_SETTINGS: [&str; 4] = [
    "plan_interval_ms: 200",
    "expert_bytes: 10000",
    "weight_share_bytes_per_s: 2000000",
    "lead_steps: 60",
];
/// The `rebalance` part of a template with which plans move many experts.
const PLANNER_REBALANCE: [&str; 5] = [
    "skew_weight: 1.0",
    "move_weight: 0.001",
    "horizon_s: 600",
    "redundant_experts_per_rank: 1",
    "max_moves_per_plan: 4",
];
/// Flags with which engines stage a map only if its weights are loaded, and loads change fast.
const PLANNER_FLAGS: [&str; 3] = ["--require-weights", "--load-period-ms", "20000"];

/// Settings of a rank group.
#[derive(Debug, Clone, bon::Builder)]
pub struct RankPlan {
    /// Duration of a step; zero if only [`RankFleet::step`] executes steps.
    #[builder(default = 10)]
    pub step_interval_ms: u64,
    /// Whether engines refuse orders with an outdated fencing token.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Additional flags of the process that stands in for the engines.
    #[builder(default)]
    pub flags: Vec<String>,
    /// Additional lines of the agents' `rank_group` settings.
    #[builder(default)]
    pub settings: Vec<String>,
    /// Lines of the `rebalance` part of the service's template.
    #[builder(default)]
    pub rebalance: Vec<String>,
}

impl RankPlan {
    /// Returns the settings of a group whose agents plan often, under loads that change fast.
    #[must_use]
    pub fn with_planner() -> Self {
        Self::builder()
            .settings(lines(&PLANNER_SETTINGS))
            .rebalance(lines(&PLANNER_REBALANCE))
            .flags(lines(&PLANNER_FLAGS))
            .build()
    }
}

/// A running group of 4 ranks; its processes are killed when the value is dropped.
///
/// The agents connect to each other through relays, one for each pair.
#[derive(Debug)]
pub struct RankFleet {
    /// The agents by rank.
    pub agents: Vec<TestProcess>,
    /// Relays by source rank and destination rank.
    pub relays: Vec<Vec<Relay>>,
    addresses: Vec<String>,
    platform_address: String,
    engines_address: String,
    directory: TempDir,
    plan: RankPlan,
    _platform: TestProcess,
    _engines: TestProcess,
}

/// The id and the digest of the map that one rank used in one step.
type UsedMap = (u64, u64);

impl RankFleet {
    /// Starts the group and waits until every agent has read the state of its engine.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    #[must_use]
    pub fn start(plan: RankPlan) -> Self {
        let weight_bytes = WEIGHT_BYTES.to_string();
        let arguments = [
            "platform",
            "--listen",
            ANY_PORT,
            "--weight-bytes",
            &weight_bytes,
        ];
        let platform = TestProcess::start(STANDIN, &arguments);
        let engines = start_engines(&plan);
        let relay_row = || (0..RANKS).map(|_| Relay::start_without_target()).collect();
        let mut fleet = Self {
            agents: Vec::new(),
            relays: (0..RANKS).map(|_| relay_row()).collect(),
            addresses: Vec::new(),
            platform_address: platform.wait_for_output("listening"),
            engines_address: engines.wait_for_output("listening"),
            directory: tempfile::tempdir().expect("a temporary directory"),
            plan,
            _platform: platform,
            _engines: engines,
        };
        fleet.publish_template();
        for rank in 0..RANKS {
            let (agent, address) = fleet.start_agent(rank);
            fleet.agents.push(agent);
            fleet.addresses.push(address);
            fleet.retarget_relays(rank);
        }
        fleet.wait_until_engines_read();
        fleet
    }

    /// Kills the agent of a rank.
    pub fn kill_agent(&mut self, rank: usize) {
        self.agents[rank].kill();
    }

    /// Restarts the agent of a rank after it was killed.
    pub fn restart_agent(&mut self, rank: usize) {
        let (agent, address) = self.start_agent(rank);
        self.agents[rank] = agent;
        self.addresses[rank] = address;
        self.retarget_relays(rank);
    }

    /// Replaces a rank: kills its agent, starts a new incarnation of the group, and starts a new
    /// agent.
    pub fn replace_rank(&mut self, rank: usize) {
        self.kill_agent(rank);
        self.put("/admin/replace", &json!({ "rank": rank }));
        self.restart_agent(rank);
    }

    /// Executes one step unless a rank holds it.
    pub fn step(&self) {
        self.put("/admin/step", &json!({}));
    }

    /// Delays the next order of a kind to the engine of a rank and leaves it unanswered.
    pub fn delay_next_order(&self, rank: usize, kind: &str) {
        self.put("/admin/delay", &json!({ "rank": rank, "kind": kind }));
    }

    /// Returns the number of delayed orders that have not been delivered.
    #[must_use]
    pub fn late_orders(&self) -> u64 {
        self.group()["late_orders"].as_u64().unwrap_or(0)
    }

    /// Delivers the delayed orders.
    pub fn deliver_late_orders(&self) {
        self.put("/admin/late-orders", &json!({}));
    }

    /// Returns the addresses of the agents.
    #[must_use]
    pub fn rank_agents(&self) -> RankAgents {
        RankAgents {
            group: GROUP.to_owned(),
            addresses: self.addresses.clone(),
        }
    }

    /// Starts a coordinator that proposes a map in which every expert is `shift` ranks further.
    #[must_use]
    pub fn propose(&self, shift: u32, lead_steps: u64) -> RankCoordinator {
        self.propose_map(shifted_map(shift), lead_steps)
    }

    /// Starts a coordinator that proposes a map.
    #[must_use]
    pub fn propose_map(&self, replicas: Vec<ExpertReplica>, lead_steps: u64) -> RankCoordinator {
        let group_incarnation = self.group()["group_incarnation"].as_u64().unwrap_or(0);
        RankCoordinator::start(self.rank_agents(), group_incarnation, replicas, lead_steps)
    }

    /// Returns the state of the group's engines.
    #[must_use]
    pub fn group(&self) -> Value {
        self.get("/admin/group")
    }

    /// Returns the state of the engine of a rank.
    #[must_use]
    pub fn engine(&self, rank: usize) -> Value {
        self.group()["ranks"][rank].clone()
    }

    /// Returns the number of steps that were delayed by a missing decision.
    #[must_use]
    pub fn held_steps(&self) -> u64 {
        self.group()["held_steps"].as_u64().unwrap_or(u64::MAX)
    }

    /// Waits until every agent reports that its engine uses a map.
    pub fn wait_until_used(&self, map_id: u64) {
        let active_map = format!("{map_id:016x}");
        Fleet::wait_for("every rank uses the map", || {
            let ranks = self.status();
            let uses_map = |rank: &Value| rank["active_map"] == active_map;
            ranks.len() == RANKS && ranks.iter().all(uses_map)
        });
    }

    /// Waits until no rank has a staged map.
    pub fn wait_until_unstaged(&self) {
        Fleet::wait_for("no rank has a staged map", || {
            let group = self.group();
            let ranks = group["ranks"].as_array().cloned().unwrap_or_default();
            ranks.iter().all(|rank| rank["staged"].is_null())
        });
    }

    /// Waits until the group has executed `count` more steps; fails only if it stops making
    /// progress.
    pub fn wait_for_steps(&self, count: u64) {
        let step = || self.engine(0)["step"].as_u64().unwrap_or(0);
        let wanted = step() + count;
        while step() < wanted {
            let before = step();
            Fleet::wait_for("the group executes a step", || step() > before);
        }
    }

    /// Checks that all ranks used the same map in every step, and returns the ids of the maps used.
    ///
    /// # Panics
    ///
    /// Panics if ranks used different maps in a step, or if the log of steps is incomplete.
    #[must_use]
    pub fn used_maps(&self) -> BTreeSet<u64> {
        assert_eq!(self.group()["forgotten_steps"], 0, "the log is incomplete");
        let log = self.get("/admin/steps");
        let records = log["steps"].as_array().cloned().unwrap_or_default();
        let mut used = BTreeSet::new();
        for record in &records {
            let maps: BTreeSet<UsedMap> = maps_by_rank(record).collect();
            assert_eq!(maps.len(), 1, "different maps in a step: {record}");
            used.extend(maps.iter().map(|(map_id, _)| *map_id));
        }
        used
    }

    /// Returns the output of the command-line tool for the ranks whose agents respond.
    ///
    /// # Panics
    ///
    /// Panics if the tool has not been built or does not print JSON.
    #[must_use]
    pub fn status(&self) -> Vec<Value> {
        let mut tool = Command::new(binary_path(CLI));
        tool.args(["ranks", "--json", "--timeout-ms", "500"]);
        for address in &self.addresses {
            tool.args(["--peer", address]);
        }
        let output = tool.output().expect("the tool runs");
        let parsed: Value = serde_json::from_slice(&output.stdout).expect("the tool prints JSON");
        parsed.as_array().cloned().unwrap_or_default()
    }

    fn wait_until_engines_read(&self) {
        Fleet::wait_for("every agent has read the state of its engine", || {
            let ranks = self.status();
            let has_read = |rank: &Value| rank["group_incarnation"] != 0;
            ranks.len() == RANKS && ranks.iter().all(has_read)
        });
    }

    fn retarget_relays(&self, rank: usize) {
        for relays in &self.relays {
            relays[rank].set_target(&self.addresses[rank]);
        }
    }

    fn start_agent(&self, rank: usize) -> (TestProcess, String) {
        let path = self.directory.path().join(format!("rank-{rank}.yaml"));
        std::fs::write(&path, self.settings(rank)).expect("settings are written");
        let path = path.to_string_lossy().into_owned();
        let agent = TestProcess::start(DAEMON, &["--settings", &path]);
        let address = agent.wait_for_output("peers");
        (agent, address)
    }

    fn settings(&self, rank: usize) -> String {
        let mut text = format!(
            "role: endpoint\nvm_name: rank-{rank}\nregion: cr-central\n\
             availability_zone: heredia\npeer_address: \"{ANY_PORT}\"\n\
             platform_address: \"{}\"\npeer_key: sixteen-bytes-or-more\ncontrol:\n",
            self.platform_address
        );
        for line in DEFAULT_CONTROL {
            let _ = writeln!(text, "  {line}");
        }
        let _ = write!(
            text,
            "endpoint:\n  service: {DRAFT_SERVICE}\n  endpoint_address: \"{0}\"\n  rank_group:\n    \
             group: {GROUP}\n    rank: {rank}\n    engine_address: \"{0}\"\n    \
             engine_path: /ranks/{rank}\n    agent_addresses:\n",
            self.engines_address
        );
        for relay in &self.relays[rank] {
            let _ = writeln!(text, "      - \"{}\"", relay.address());
        }
        for line in &self.plan.settings {
            let _ = writeln!(text, "    {line}");
        }
        text
    }

    fn publish_template(&self) {
        let mut text = template(DRAFT_SERVICE, "model", true);
        if !self.plan.rebalance.is_empty() {
            text.push_str("rebalance:\n");
        }
        for line in &self.plan.rebalance {
            let _ = writeln!(text, "  {line}");
        }
        let url = format!(
            "http://{}/admin/config/services/{DRAFT_SERVICE}",
            self.platform_address
        );
        http::put(&url, &text);
    }

    fn put(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.engines_address);
        http::put(&url, &body.to_string());
    }

    fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.engines_address);
        http::try_get(&url).expect("the rank group answers")
    }
}

fn start_engines(plan: &RankPlan) -> TestProcess {
    let step_interval_ms = plan.step_interval_ms.to_string();
    let ranks = RANKS.to_string();
    let mut arguments = vec!["rank-group", "--listen", ANY_PORT, "--ranks", &ranks];
    arguments.extend(["--step-interval-ms", &step_interval_ms]);
    if plan.checks_fencing {
        arguments.push("--check-fencing");
    }
    arguments.extend(plan.flags.iter().map(String::as_str));
    TestProcess::start(STANDIN, &arguments)
}

fn maps_by_rank(record: &Value) -> impl Iterator<Item = UsedMap> {
    let maps = record["maps"].as_array().cloned().unwrap_or_default();
    let used = maps.into_iter().filter_map(|map| {
        let map_id = map["map_id"].as_u64()?;
        Some((map_id, map["digest"].as_u64()?))
    });
    used.collect::<Vec<_>>().into_iter()
}

fn shifted_map(shift: u32) -> Vec<ExpertReplica> {
    let ranks = u32::try_from(RANKS).unwrap_or(u32::MAX);
    let experts = 0..2 * ranks;
    let replicas = experts.map(|expert| ExpertReplica {
        layer: 0,
        expert,
        rank: (expert + shift) % ranks,
    });
    replicas.collect()
}
