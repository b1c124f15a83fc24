//! What requests of an entry show of agents, for the routing actor.

use crate::actor::Actor;
use crate::clock::Clock;
use crate::protos::control::AgentReport;
use crate::routing_actor::RoutingCommand;

/// Tells the routing actor what requests show of agents.
#[derive(Clone)]
pub(crate) struct AgentReports {
    clock: Clock,
    routing: Actor<RoutingCommand>,
}

impl AgentReports {
    /// Creates the reports of one process, by its clock.
    pub(crate) fn new(clock: Clock, routing: Actor<RoutingCommand>) -> Self {
        Self { clock, routing }
    }

    /// Returns the time by the clock that words are reckoned in.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Reports an agent's report in answer to a request that was sent at `request_sent_ms`.
    pub(crate) fn record_report(&self, vm_name: &str, report: AgentReport, request_sent_ms: u64) {
        self.submit(RoutingCommand::AgentReport {
            vm_name: vm_name.to_owned(),
            report,
            request_sent_ms,
        });
    }

    /// Reports that an agent has heard the news of this digest by a heartbeat.
    pub(crate) fn record_acknowledgement(&self, vm_name: &str, update_digest: u64) {
        self.submit(RoutingCommand::HeartbeatAcknowledged {
            vm_name: vm_name.to_owned(),
            update_digest,
        });
    }

    /// Reports that a request did not reach an agent, or that its connection broke.
    pub(crate) fn record_unreachable(&self, vm_name: &str) {
        self.submit(RoutingCommand::AgentUnreachable {
            vm_name: vm_name.to_owned(),
        });
    }

    fn submit(&self, command: RoutingCommand) {
        if let Err(error) = self.routing.submit(command) {
            log::debug!("report on an agent: {error}");
        }
    }
}
