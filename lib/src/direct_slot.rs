//! The place of one send at an endpoint.

use std::sync::Arc;

use crate::EndpointList;
use crate::EndpointRecord;
use crate::SendResult;
use crate::actor::Actor;
use crate::direct_actor::DirectCommand;

/// The place of one send at an endpoint, or in the queue for one; dropping it gives it back.
pub(crate) struct DirectSlot {
    dispatcher: Actor<DirectCommand>,
    call: u64,
    endpoint: Option<Arc<EndpointRecord>>,
    /// The list of endpoints from which the endpoint was chosen.
    list: Option<Arc<EndpointList>>,
    result: SendResult,
}

impl DirectSlot {
    /// Stands for a call that is about to ask for an endpoint.
    pub(crate) fn queued(dispatcher: Actor<DirectCommand>, call: u64) -> Self {
        Self {
            dispatcher,
            call,
            endpoint: None,
            list: None,
            result: SendResult::Abandoned,
        }
    }

    /// Notes the endpoint that the call was given, and the list from which it was chosen.
    pub(crate) fn assign(
        mut self,
        endpoint: Arc<EndpointRecord>,
        list: Option<Arc<EndpointList>>,
    ) -> Self {
        self.endpoint = Some(endpoint);
        self.list = list;
        self
    }

    /// Returns the list of endpoints from which the endpoint was chosen.
    pub(crate) fn list(&self) -> Option<&EndpointList> {
        self.list.as_deref()
    }

    /// Returns the endpoint; absent while the call waits.
    pub(crate) fn endpoint(&self) -> Option<&EndpointRecord> {
        self.endpoint.as_deref()
    }

    /// Notes that the endpoint has begun to answer.
    pub(crate) fn record_answer_start(&self) {
        self.submit(DirectCommand::AnswerStarted { call: self.call });
    }

    fn submit(&self, command: DirectCommand) {
        if let Err(error) = self.dispatcher.submit(command) {
            log::warn!("place of call {}: {error}", self.call);
        }
    }

    /// Gives the place back with what was learnt of the endpoint.
    pub(crate) fn release(mut self, result: SendResult) {
        self.result = result;
    }
}

impl Drop for DirectSlot {
    fn drop(&mut self) {
        let command = DirectCommand::End {
            call: self.call,
            result: self.result,
        };
        self.submit(command);
    }
}
