//! Actor that owns an entry's view of the fleet and chooses endpoints for requests.

use std::time::Duration;

use tokio::sync::oneshot;

use crate::MemberReport;
use crate::RouteChoice;
use crate::SendTicket;
use crate::actor::Actor;
use crate::actor::ActorInput;
use crate::clock::Clock;
use crate::control_plan::ControlPlan;
use crate::fleet_view::FleetView;
use crate::fleet_view::ListedEntry;
use crate::platform_client::VmRecord;
use crate::protos::control::AgentReport;
use crate::protos::control::MemberStatus;
use crate::protos::control::PlacementHome;
use crate::route_query::RouteQuery;
use crate::routing_settings::RoutingSettings;
use crate::service_routes::RoutedSend;

const RING_CAPACITY: usize = 4096;
const TICK: Duration = Duration::from_millis(100);

/// Messages to the routing actor.
pub(crate) enum RoutingCommand {
    /// The platform's list of VMs.
    VmList(Vec<VmRecord>),
    /// An agent reported its status in the answer to a heartbeat or call that was sent at
    /// `request_sent_ms`.
    AgentReport {
        vm_name: String,
        report: AgentReport,
        request_sent_ms: u64,
    },
    /// An agent acknowledged a heartbeat whose updates have this digest.
    HeartbeatAcknowledged { vm_name: String, update_digest: u64 },
    /// A heartbeat or call did not reach an agent, or its connection broke.
    AgentUnreachable { vm_name: String },
    /// Another entry answered an exchange that was sent at `request_sent_ms`.
    PeerReport {
        report: MemberReport,
        request_sent_ms: u64,
    },
    /// Another entry did not answer an exchange.
    PeerUnreachable { vm_name: String },
    /// A reader or this entry itself reached the configuration service.
    ConfigServiceReached { reached_ms: u64 },
    /// Requests whether this entry must read the configuration service itself.
    FallbackRead { reply: oneshot::Sender<bool> },
    /// Requests the next control traffic. Carries the configuration revision in force and a digest
    /// of the updates that heartbeats send.
    Plan {
        config_revision: u64,
        update_digest: u64,
        reply: oneshot::Sender<ControlPlan>,
    },
    /// Requests an endpoint for a request.
    Choose {
        query: RouteQuery,
        reply: oneshot::Sender<Result<RoutedSend, RouteChoice>>,
    },
    /// Requests permission to retry a request, which the retry budget may deny.
    Retry {
        service: String,
        reply: oneshot::Sender<bool>,
    },
    /// The first token of an answer arrived.
    FirstToken { service: String, ticket: SendTicket },
    /// A request that was sent to an endpoint ended.
    Finished { service: String, ticket: SendTicket },
    /// Requests the agents that may run the calls of a service, for a placement.
    Homes {
        service: String,
        reply: oneshot::Sender<Vec<PlacementHome>>,
    },
    /// Requests the entries of the fleet, for a caller.
    Entries {
        reply: oneshot::Sender<Vec<ListedEntry>>,
    },
    /// Requests the members and their states, for an operator.
    Members {
        reply: oneshot::Sender<Vec<MemberStatus>>,
    },
}

/// Starts the routing actor.
pub(crate) fn spawn(clock: Clock, settings: RoutingSettings) -> Actor<RoutingCommand> {
    let mut fleet = FleetView::new(settings, clock.now_ms());
    Actor::spawn("routing", RING_CAPACITY, TICK, move |wake| {
        let now_ms = clock.now_ms();
        match wake {
            ActorInput::Command(command) => handle(&mut fleet, command, now_ms),
            ActorInput::Tick => fleet.refresh_states(now_ms),
        }
    })
}

/// Handles one command. A reply is dropped if its requester no longer waits for it.
fn handle(fleet: &mut FleetView, command: RoutingCommand, now_ms: u64) {
    match command {
        RoutingCommand::VmList(vms) => fleet.observe_list(&vms, now_ms),
        RoutingCommand::AgentReport {
            vm_name,
            report,
            request_sent_ms,
        } => fleet.observe_report(&vm_name, &report, request_sent_ms, now_ms),
        RoutingCommand::HeartbeatAcknowledged {
            vm_name,
            update_digest,
        } => {
            fleet.observe_acknowledged_digest(&vm_name, update_digest);
        }
        RoutingCommand::AgentUnreachable { vm_name } => fleet.observe_failure(&vm_name, now_ms),
        RoutingCommand::PeerReport {
            report,
            request_sent_ms,
        } => {
            fleet.observe_peer(&report, request_sent_ms, now_ms);
        }
        RoutingCommand::PeerUnreachable { vm_name } => fleet.avoid_peer(&vm_name, now_ms),
        RoutingCommand::ConfigServiceReached { reached_ms } => {
            fleet.observe_reader_contact(reached_ms);
        }
        RoutingCommand::FallbackRead { reply } => {
            let _ = reply.send(fleet.take_due_fallback_read(now_ms));
        }
        RoutingCommand::Plan {
            config_revision,
            update_digest,
            reply,
        } => {
            fleet.refresh_states(now_ms);
            fleet.observe_revision(config_revision);
            let _ = reply.send(fleet.plan(update_digest, now_ms));
        }
        RoutingCommand::Choose { query, reply } => {
            let _ = reply.send(fleet.choose(&query, now_ms));
        }
        RoutingCommand::Retry { service, reply } => {
            let routes = fleet.routes(&service);
            let _ = reply.send(routes.is_some_and(|routes| routes.try_retry(now_ms)));
        }
        RoutingCommand::FirstToken { service, ticket } => {
            if let Some(routes) = fleet.routes(&service) {
                routes.mark_first_token(ticket);
            }
        }
        RoutingCommand::Finished { service, ticket } => {
            if let Some(routes) = fleet.routes(&service) {
                routes.mark_finished(ticket, now_ms);
            }
        }
        RoutingCommand::Homes { service, reply } => {
            let _ = reply.send(fleet.homes(&service, now_ms));
        }
        RoutingCommand::Entries { reply } => {
            let _ = reply.send(fleet.entries(now_ms));
        }
        RoutingCommand::Members { reply } => {
            let _ = reply.send(fleet.member_statuses(now_ms));
        }
    }
}
