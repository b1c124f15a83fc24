//! The duty of an entry that knows the endpoints and chooses among them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::duty::Duty;
use crate::duty::Wake;
use crate::incarnation::Incarnation;
use crate::platform_client::VmRecord;
use crate::protos::control::HeartbeatReply;
use crate::protos::control::PlacementHome;

const RING_CAPACITY: usize = 4096;
const TICK: Duration = Duration::from_millis(100);

/// An endpoint that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    /// Name of the endpoint's VM.
    pub(crate) vm_name: String,
    /// Address of its agent.
    pub(crate) peer_address: String,
}

/// What the duty is told or asked.
pub(crate) enum RoutingCommand {
    /// The platform's list of VMs.
    VmList(Vec<VmRecord>),
    /// An agent answered a heartbeat.
    Heartbeat {
        peer_address: String,
        reply: HeartbeatReply,
    },
    /// An agent did not answer a heartbeat.
    Silent { peer_address: String },
    /// A request asks for an endpoint.
    Choose {
        service: String,
        exclude: Vec<String>,
        reply: oneshot::Sender<Option<Chosen>>,
    },
    /// A request that was sent to an endpoint has ended.
    Finished { vm_name: String },
    /// A caller asks which agents may run its calls.
    Homes {
        service: String,
        reply: oneshot::Sender<Vec<PlacementHome>>,
    },
    /// A caller asks for the addresses of entries.
    Entries {
        reply: oneshot::Sender<Vec<VmRecord>>,
    },
}

#[derive(Debug, Default)]
struct EndpointState {
    record: VmRecord,
    last: Option<HeartbeatReply>,
    heard_ms: u64,
    sent_requests: u32,
}

struct Routing {
    clock: Clock,
    suspect_after_ms: u64,
    endpoints: BTreeMap<String, EndpointState>,
    entries: Vec<VmRecord>,
}

/// Starts the duty.
pub(crate) fn spawn(clock: Clock, suspect_after_ms: u64) -> Duty<RoutingCommand> {
    let mut routing = Routing {
        clock,
        suspect_after_ms,
        endpoints: BTreeMap::new(),
        entries: Vec::new(),
    };
    Duty::spawn("routing", RING_CAPACITY, TICK, move |wake| {
        if let Wake::Command(command) = wake {
            routing.handle(command);
        }
    })
}

impl Routing {
    fn handle(&mut self, command: RoutingCommand) {
        match command {
            RoutingCommand::VmList(vms) => self.replace_list(vms),
            RoutingCommand::Heartbeat {
                peer_address,
                reply,
            } => self.heard(&peer_address, reply),
            RoutingCommand::Silent { peer_address } => {
                log::debug!("agent {peer_address} did not answer a heartbeat");
            }
            RoutingCommand::Choose {
                service,
                exclude,
                reply,
            } => {
                let chosen = self.choose(&service, &exclude);
                let _ = reply.send(chosen);
            }
            RoutingCommand::Finished { vm_name } => {
                if let Some(endpoint) = self.endpoints.get_mut(&vm_name) {
                    endpoint.sent_requests = endpoint.sent_requests.saturating_sub(1);
                }
            }
            RoutingCommand::Homes { service, reply } => {
                let _ = reply.send(self.homes(&service));
            }
            RoutingCommand::Entries { reply } => {
                let _ = reply.send(self.entries.clone());
            }
        }
    }

    fn replace_list(&mut self, vms: Vec<VmRecord>) {
        self.entries = vms
            .iter()
            .filter(|vm| vm.role == "entry")
            .cloned()
            .collect();
        let mut endpoints = BTreeMap::new();
        for record in vms.into_iter().filter(|vm| vm.role == "endpoint") {
            let mut endpoint = self.endpoints.remove(&record.vm_name).unwrap_or_default();
            endpoint.record = record;
            endpoints.insert(endpoint.record.vm_name.clone(), endpoint);
        }
        self.endpoints = endpoints;
    }

    fn heard(&mut self, peer_address: &str, reply: HeartbeatReply) {
        let now_ms = self.clock.now_ms();
        let endpoint = self
            .endpoints
            .values_mut()
            .find(|endpoint| endpoint.record.peer_address == peer_address);
        if let Some(endpoint) = endpoint {
            endpoint.heard_ms = now_ms;
            endpoint.last = Some(reply);
        }
    }

    fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointState> {
        let now_ms = self.clock.now_ms();
        self.endpoints.values().filter(move |endpoint| {
            endpoint.record.service == service
                && endpoint.record.state != "leaving"
                && now_ms.saturating_sub(endpoint.heard_ms) < self.suspect_after_ms
                && endpoint.last.as_ref().is_some_and(|last| !last.leaving)
        })
    }

    fn choose(&mut self, service: &str, exclude: &[String]) -> Option<Chosen> {
        let chosen = self
            .usable(service)
            .filter(|endpoint| !exclude.contains(&endpoint.record.vm_name))
            .min_by_key(|endpoint| endpoint.sent_requests)
            .map(|endpoint| Chosen {
                vm_name: endpoint.record.vm_name.clone(),
                peer_address: endpoint.record.peer_address.clone(),
            })?;
        if let Some(endpoint) = self.endpoints.get_mut(&chosen.vm_name) {
            endpoint.sent_requests += 1;
        }
        Some(chosen)
    }

    fn homes(&self, service: &str) -> Vec<PlacementHome> {
        self.usable(service)
            .filter_map(|endpoint| {
                let last = endpoint.last.as_ref()?;
                Some(PlacementHome {
                    vm_name: endpoint.record.vm_name.clone(),
                    peer_address: endpoint.record.peer_address.clone(),
                    incarnation: Incarnation(last.incarnation).0,
                    stamp_ms: last.clock_ms,
                })
            })
            .collect()
    }
}
