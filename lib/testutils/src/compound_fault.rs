//! The faults that a compound run draws at random, injects and undoes.

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde_json::json;

use crate::fleet::COMMIT_SERVICE;
use crate::fleet::DRAFT_SERVICE;
use crate::fleet::Fleet;
use crate::fleet_text::template;
use crate::relay::Relay;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// An entry is killed.
    KillEntry,
    /// An entry process is suspended.
    FreezeEntry,
    /// An agent is killed and a new one is started on its VM.
    RestartAgent,
    /// An agent process is suspended.
    FreezeAgent,
    /// A model engine is killed and a new one is started on its VM.
    RestartEngine,
    /// The configuration service returns errors.
    ConfigurationDown,
    /// The configuration service returns outdated values.
    ConfigurationStale,
    /// The VM list service returns errors.
    ListDown,
    /// An entry is added.
    NewEntry,
    /// A plain endpoint is added.
    NewEndpoint,
    /// A changed template is published.
    PublishTemplate,
    /// An agent is unreachable for all processes.
    CutAgent,
    /// An agent accepts no new connections; processes with an open connection still reach it.
    CutAgentFromSome,
    /// The open connections to an agent become half-open and never recover.
    SilenceAgent,
    /// Entries cannot reach each other; agents are reachable from all entries.
    PartitionEntries,
    /// The packets of the open connections to the platform are dropped.
    SilencePlatform,
}

const KINDS: [FaultKind; 16] = [
    FaultKind::KillEntry,
    FaultKind::FreezeEntry,
    FaultKind::RestartAgent,
    FaultKind::FreezeAgent,
    FaultKind::RestartEngine,
    FaultKind::ConfigurationDown,
    FaultKind::ConfigurationStale,
    FaultKind::ListDown,
    FaultKind::NewEntry,
    FaultKind::NewEndpoint,
    FaultKind::PublishTemplate,
    FaultKind::CutAgent,
    FaultKind::CutAgentFromSome,
    FaultKind::SilenceAgent,
    FaultKind::PartitionEntries,
    FaultKind::SilencePlatform,
];

/// A fault and the numbers that select its target. They are reduced modulo the size of the fleet when the
/// fault is injected, since earlier faults may have changed that size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Selects the entry, modulo the number of entries.
    pub entry: usize,
    /// Selects the endpoint, modulo the number of endpoints.
    pub endpoint: usize,
    /// Deadline in a published template, in milliseconds.
    pub deadline_ms: u64,
}

/// Faults that are active at the same time.
pub type Round = Vec<Fault>;

/// A function that undoes a fault.
pub(crate) type Undo = Box<dyn FnOnce(&mut Fleet)>;

impl Fault {
    /// Draws two faults of different kinds.
    pub(crate) fn draw_pair(rng: &mut impl Rng) -> Round {
        let kinds: Vec<FaultKind> = KINDS.sample(rng, 2).copied().collect();
        let draw = |kind| Self {
            kind,
            entry: rng.random_range(0..usize::from(u16::MAX)),
            endpoint: rng.random_range(0..usize::from(u16::MAX)),
            deadline_ms: rng.random_range(8_000..10_000),
        };
        kinds.into_iter().map(draw).collect()
    }

    /// Injects the fault and returns a function that undoes it.
    pub(crate) fn cause(self, fleet: &mut Fleet) -> Undo {
        let entry = self.entry % fleet.entries.len();
        let endpoint = self.endpoint % fleet.endpoints.len();
        match self.kind {
            FaultKind::KillEntry => fleet.entries[entry].daemon.kill(),
            FaultKind::FreezeEntry => {
                fleet.entries[entry].daemon.pause();
                return Box::new(move |fleet| fleet.entries[entry].daemon.resume());
            }
            FaultKind::RestartAgent => fleet.restart_agent(endpoint),
            FaultKind::FreezeAgent => {
                fleet.endpoints[endpoint].agent.pause();
                return Box::new(move |fleet| fleet.endpoints[endpoint].agent.resume());
            }
            FaultKind::RestartEngine if fleet.endpoints[endpoint].service == DRAFT_SERVICE => {
                fleet.restart_endpoint_process(endpoint);
            }
            FaultKind::RestartEngine => {}
            FaultKind::ConfigurationDown => return platform_fault(fleet, "config", "down"),
            FaultKind::ConfigurationStale => return platform_fault(fleet, "config", "stale"),
            FaultKind::ListDown => return platform_fault(fleet, "vm_list", "down"),
            FaultKind::NewEntry => {
                let new_entry = fleet.spawn_entry();
                return Box::new(move |fleet| {
                    fleet.wait_for_entry(new_entry);
                    fleet.publish_vms();
                });
            }
            FaultKind::NewEndpoint => {
                fleet.add_endpoint(COMMIT_SERVICE);
                fleet.publish_vms();
            }
            FaultKind::PublishTemplate => {
                let text = template(COMMIT_SERVICE, "plain", false);
                let text = text.replace("10000", &self.deadline_ms.to_string());
                fleet.publish_template(COMMIT_SERVICE, &text);
            }
            FaultKind::CutAgent => return relay_fault(fleet, endpoint, Relay::cut),
            FaultKind::CutAgentFromSome => {
                return relay_fault(fleet, endpoint, Relay::refuse_new_connections);
            }
            FaultKind::SilenceAgent => {
                return relay_fault(fleet, endpoint, Relay::silence_open_connections);
            }
            FaultKind::PartitionEntries => {
                entry_relays(fleet).for_each(Relay::cut);
                return Box::new(|fleet| entry_relays(fleet).for_each(Relay::heal));
            }
            FaultKind::SilencePlatform => {
                let relays = fleet.platform_relay.iter();
                relays.for_each(Relay::drop_packets_of_open_connections);
            }
        }
        Box::new(|_| {})
    }
}

fn platform_fault(fleet: &Fleet, name: &'static str, value: &str) -> Undo {
    fleet.set_platform_faults(&json!({ name: value }));
    Box::new(move |fleet| fleet.set_platform_faults(&json!({ name: "none" })))
}

fn relay_fault(fleet: &Fleet, endpoint: usize, inject: fn(&Relay)) -> Undo {
    fleet.endpoints[endpoint].peer_relay.iter().for_each(inject);
    Box::new(move |fleet| {
        let relays = fleet.endpoints[endpoint].peer_relay.iter();
        relays.for_each(Relay::heal);
    })
}

fn entry_relays(fleet: &Fleet) -> impl Iterator<Item = &Relay> {
    let relays = fleet.entries.iter().map(|entry| entry.peer_relay.as_ref());
    relays.flatten()
}
