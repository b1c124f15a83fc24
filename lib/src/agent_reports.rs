//! Forwards reports of agents and failures to reach them to the routing actor.

use crate::actor::Actor;
use crate::clock::Clock;
use crate::protos::control::AgentReport;
use crate::routing_actor::RoutingCommand;

/// Forwards what the requests of one process reveal about agents to its routing actor.
#[derive(Clone)]
pub(crate) struct AgentReports {
    clock: Clock,
    routing: Actor<RoutingCommand>,
}

impl AgentReports {
    /// Creates the reports of one process, with the clock by which requests are timed.
    pub(crate) fn new(clock: Clock, routing: Actor<RoutingCommand>) -> Self {
        Self { clock, routing }
    }

    /// Returns the time by the clock that times requests.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records an agent's report, received in answer to a request sent at `request_sent_ms`.
    pub(crate) fn record_report(&self, vm_name: &str, report: AgentReport, request_sent_ms: u64) {
        self.submit(RoutingCommand::AgentReport {
            vm_name: vm_name.to_owned(),
            report,
            request_sent_ms,
        });
    }

    /// Records that an agent has acknowledged the updates with this digest in a heartbeat.
    pub(crate) fn record_acknowledgement(&self, vm_name: &str, update_digest: u64) {
        self.submit(RoutingCommand::HeartbeatAcknowledged {
            vm_name: vm_name.to_owned(),
            update_digest,
        });
    }

    /// Records that a request did not reach an agent, or that its connection broke.
    pub(crate) fn record_unreachable(&self, vm_name: &str) {
        self.submit(RoutingCommand::AgentUnreachable {
            vm_name: vm_name.to_owned(),
        });
    }

    fn submit(&self, command: RoutingCommand) {
        if let Err(error) = self.routing.submit(command) {
            log::debug!("forward a report on an agent to the routing actor: {error}");
        }
    }
}
