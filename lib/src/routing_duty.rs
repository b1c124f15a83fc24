//! The duty of an entry that knows the endpoints and chooses among them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::EndpointFlags;
use crate::RefusalCode;
use crate::RouteChoice;
use crate::SendTicket;
use crate::clock::Clock;
use crate::duty::Duty;
use crate::duty::Wake;
use crate::platform_client::VmRecord;
use crate::protos::control::HeartbeatReply;
use crate::protos::control::PlacementHome;
use crate::route_query::RouteQuery;
use crate::service_routes::RoutedSend;
use crate::service_routes::ServiceRoutes;

const RING_CAPACITY: usize = 4096;
const TICK: Duration = Duration::from_millis(100);
const NO_ENDPOINT_RETRY_MS: u64 = 1000;
const LEAVING: &str = "leaving";

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
        query: RouteQuery,
        reply: oneshot::Sender<Result<RoutedSend, RouteChoice>>,
    },
    /// A request asks whether it may be sent again.
    Retry {
        service: String,
        reply: oneshot::Sender<bool>,
    },
    /// The first token of an answer arrived.
    FirstToken { service: String, ticket: SendTicket },
    /// A request that was sent to an endpoint has ended.
    Finished { service: String, ticket: SendTicket },
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

/// Settings of the duty.
#[derive(Debug, Clone)]
pub(crate) struct RoutingSettings {
    pub(crate) availability_zone: String,
    pub(crate) suspect_after_ms: u64,
    pub(crate) retry_percent: u32,
}

#[derive(Debug, Default)]
struct KnownAgent {
    record: VmRecord,
    last: Option<HeartbeatReply>,
    heard_ms: u64,
}

struct Routing {
    clock: Clock,
    settings: RoutingSettings,
    agents: BTreeMap<String, KnownAgent>,
    entries: Vec<VmRecord>,
    services: BTreeMap<String, ServiceRoutes>,
}

/// Starts the duty.
pub(crate) fn spawn(clock: Clock, settings: RoutingSettings) -> Duty<RoutingCommand> {
    let mut routing = Routing {
        clock,
        settings,
        agents: BTreeMap::new(),
        entries: Vec::new(),
        services: BTreeMap::new(),
    };
    Duty::spawn("routing", RING_CAPACITY, TICK, move |wake| {
        let now_ms = routing.clock.now_ms();
        match wake {
            Wake::Command(command) => routing.handle(command, now_ms),
            Wake::Tick => routing.refresh_states(now_ms),
        }
    })
}

impl Routing {
    fn handle(&mut self, command: RoutingCommand, now_ms: u64) {
        match command {
            RoutingCommand::VmList(vms) => self.replace_list(vms, now_ms),
            RoutingCommand::Heartbeat {
                peer_address,
                reply,
            } => self.heard(&peer_address, reply, now_ms),
            RoutingCommand::Silent { peer_address } => {
                log::debug!("agent {peer_address} did not answer a heartbeat");
                self.refresh_states(now_ms);
            }
            RoutingCommand::Choose { query, reply } => {
                let _ = reply.send(self.choose(&query, now_ms));
            }
            RoutingCommand::Retry { service, reply } => {
                let routes = self.services.get_mut(&service);
                let allowed = routes.is_some_and(|routes| routes.try_retry(now_ms));
                let _ = reply.send(allowed);
            }
            RoutingCommand::FirstToken { service, ticket } => {
                if let Some(routes) = self.services.get_mut(&service) {
                    routes.first_token(ticket);
                }
            }
            RoutingCommand::Finished { service, ticket } => {
                if let Some(routes) = self.services.get_mut(&service) {
                    routes.finished(ticket, now_ms);
                }
            }
            RoutingCommand::Homes { service, reply } => {
                let _ = reply.send(self.homes(&service, now_ms));
            }
            RoutingCommand::Entries { reply } => {
                let _ = reply.send(self.entries.clone());
            }
        }
    }

    fn replace_list(&mut self, vms: Vec<VmRecord>, now_ms: u64) {
        self.entries = vms
            .iter()
            .filter(|vm| vm.role == "entry")
            .cloned()
            .collect();
        let mut agents = BTreeMap::new();
        for record in vms.into_iter().filter(|vm| vm.role == "endpoint") {
            let mut agent = self.agents.remove(&record.vm_name).unwrap_or_default();
            agent.record = record;
            agents.insert(agent.record.vm_name.clone(), agent);
        }
        self.agents = agents;
        for (service, routes) in &mut self.services {
            let agents = &self.agents;
            routes.retain(|vm| agents.get(vm).is_some_and(|a| a.record.service == *service));
        }
        for agent in self.agents.values() {
            let record = &agent.record;
            self.services
                .entry(record.service.clone())
                .or_insert_with(|| {
                    let settings = &self.settings;
                    ServiceRoutes::new(&settings.availability_zone, settings.retry_percent, now_ms)
                })
                .put(
                    &record.vm_name,
                    &record.availability_zone,
                    &record.peer_address,
                );
        }
        self.refresh_states(now_ms);
    }

    fn heard(&mut self, peer_address: &str, reply: HeartbeatReply, now_ms: u64) {
        let agent = self
            .agents
            .values_mut()
            .find(|agent| agent.record.peer_address == peer_address);
        let Some(agent) = agent else {
            return;
        };
        if let Some(routes) = self.services.get_mut(&agent.record.service)
            && let Some(load) = &reply.load
        {
            routes.update_load(&agent.record.vm_name, load, now_ms);
        }
        agent.heard_ms = now_ms;
        agent.last = Some(reply);
        self.refresh_states(now_ms);
    }

    fn refresh_states(&mut self, now_ms: u64) {
        for agent in self.agents.values() {
            if let Some(routes) = self.services.get_mut(&agent.record.service) {
                let flags = agent.flags(now_ms, self.settings.suspect_after_ms);
                routes.set_state(&agent.record.vm_name, flags);
            }
        }
    }

    fn choose(&mut self, query: &RouteQuery, now_ms: u64) -> Result<RoutedSend, RouteChoice> {
        match self.services.get_mut(&query.service) {
            Some(routes) => routes.choose(query, now_ms),
            None => Err(RouteChoice::Refuse {
                code: RefusalCode::NoEndpoint,
                retry_after_ms: NO_ENDPOINT_RETRY_MS,
            }),
        }
    }

    fn homes(&self, service: &str, now_ms: u64) -> Vec<PlacementHome> {
        self.agents
            .values()
            .filter(|agent| agent.record.service == service)
            .filter(|agent| {
                agent
                    .flags(now_ms, self.settings.suspect_after_ms)
                    .is_open()
            })
            .filter_map(|agent| {
                let last = agent.last.as_ref()?;
                Some(PlacementHome {
                    vm_name: agent.record.vm_name.clone(),
                    peer_address: agent.record.peer_address.clone(),
                    incarnation: last.incarnation,
                    stamp_ms: last.clock_ms,
                })
            })
            .collect()
    }
}

impl KnownAgent {
    fn flags(&self, now_ms: u64, suspect_after_ms: u64) -> EndpointFlags {
        let last = self.last.as_ref();
        let silent_ms = now_ms.saturating_sub(self.heard_ms);
        EndpointFlags {
            leaving: self.record.state == LEAVING || last.is_some_and(|last| last.leaving),
            suspected: last.is_none_or(|last| !last.endpoint_up) || silent_ms > suspect_after_ms,
            quarantining: false,
        }
    }
}
