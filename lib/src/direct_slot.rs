//! The slot that one call holds at an endpoint.

use std::sync::Arc;

use crate::EndpointList;
use crate::EndpointNotice;
use crate::EndpointRecord;
use crate::NamedLimit;
use crate::SendResult;
use crate::actor::Actor;
use crate::direct_actor::DirectCommand;
use crate::endpoint_limit::BelievedLimit;

/// The slot that a call holds at an endpoint, or its position in the queue for one.
///
/// Dropping it releases the slot.
pub(crate) struct DirectSlot {
    dispatcher: Actor<DirectCommand>,
    /// Number of the call in this process.
    call: u64,
    /// Absent while the call is queued.
    endpoint: Option<Arc<EndpointRecord>>,
    /// The list of endpoints from which the endpoint was chosen.
    list: Option<Arc<EndpointList>>,
    /// The limit of the endpoint that was known when the call was assigned to it.
    limit: Option<BelievedLimit>,
    result: SendResult,
}

impl DirectSlot {
    /// Creates the slot of a call that is about to request an endpoint.
    pub(crate) fn queued(dispatcher: Actor<DirectCommand>, call: u64) -> Self {
        Self {
            dispatcher,
            call,
            endpoint: None,
            list: None,
            limit: None,
            result: SendResult::Abandoned,
        }
    }

    /// Sets the endpoint that the call was assigned to, the list from which it was chosen, and its limit.
    pub(crate) fn assign(
        mut self,
        endpoint: Arc<EndpointRecord>,
        list: Option<Arc<EndpointList>>,
        limit: Option<BelievedLimit>,
    ) -> Self {
        self.endpoint = Some(endpoint);
        self.list = list;
        self.limit = limit;
        self
    }

    /// Returns the list of endpoints from which the endpoint was chosen.
    pub(crate) fn list(&self) -> Option<&EndpointList> {
        self.list.as_deref()
    }

    /// Returns the endpoint; absent while the call is queued.
    pub(crate) fn endpoint(&self) -> Option<&EndpointRecord> {
        self.endpoint.as_deref()
    }

    /// Returns the limit of the endpoint that was known when the call was assigned to it.
    pub(crate) fn limit(&self) -> Option<BelievedLimit> {
        self.limit
    }

    /// Reports to the dispatcher what an answer says about the calls that the endpoint takes, unless
    /// that is nothing. Only an answer to a call that ran shows that the endpoint has stopped naming its
    /// limit.
    pub(crate) fn record_notice(&self, notice: EndpointNotice, has_run: bool, request_id: &str) {
        let is_lifted = has_run && self.limit.is_some() && notice.limit == NamedLimit::None;
        if notice == EndpointNotice::NONE && !is_lifted {
            return;
        }
        self.submit(DirectCommand::NoticeObserved {
            call: self.call,
            notice,
            has_run,
            request_id: request_id.to_owned(),
        });
    }

    /// Reports to the dispatcher that the endpoint has begun to answer.
    pub(crate) fn record_answer_start(&self) {
        self.submit(DirectCommand::AnswerStarted { call: self.call });
    }

    fn submit(&self, command: DirectCommand) {
        if let Err(error) = self.dispatcher.submit(command) {
            log::warn!("slot of call {}: {error}", self.call);
        }
    }

    /// Releases the slot and reports how the send ended.
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
