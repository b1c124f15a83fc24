//! One call from an entry to an agent, whose answer is validated frame by frame.

use futures::StreamExt;
use snafu::Snafu;
use tonic::Status;
use tonic::Streaming;

use crate::FrameAssembler;
use crate::FrameEvent;
use crate::agent_channels::AgentChannels;
use crate::agent_channels::is_connect_failure;
use crate::agent_reports::AgentReports;
use crate::event;
use crate::protos::control::AgentReport;
use crate::protos::control::CallFrame;
use crate::protos::control::CallRequest;
use crate::protos::control::agent_client::AgentClient;
use crate::protos::control::call_frame::Frame;

/// Reason why a call to an agent got no valid final frame.
#[derive(Debug, Snafu)]
pub(crate) enum AgentCallError {
    /// No byte of the call was written.
    #[snafu(display("call to agent {peer} was not sent: {reason}"))]
    NotWritten {
        /// Address of the agent.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The call was written, and its answer was incomplete or damaged.
    #[snafu(display("answer of agent {peer} was lost: {reason}"))]
    Lost {
        /// Address of the agent.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// The agent to which a call is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallTarget<'a> {
    pub(crate) vm_name: &'a str,
    pub(crate) peer_address: &'a str,
}

/// A call whose answer is being received. Reports of the agent and failures to reach it are
/// forwarded to the routing actor.
pub(crate) struct AgentCall {
    vm_name: String,
    peer: String,
    request_sent_ms: u64,
    reports: AgentReports,
    frames: Streaming<CallFrame>,
    assembler: FrameAssembler,
}

impl AgentCall {
    /// Sends a call, once.
    pub(crate) async fn open(
        channels: &AgentChannels,
        reports: &AgentReports,
        target: CallTarget<'_>,
        call: CallRequest,
    ) -> Result<Self, AgentCallError> {
        let peer = target.peer_address;
        let request_sent_ms = reports.now_ms();
        let assembler = FrameAssembler::resumed(&call.request_id, call.resume_after_token);
        let channel = channels
            .get(peer)
            .map_err(|status| not_written(peer, &status))?;
        let frames = AgentClient::new(channel)
            .call(call)
            .await
            .inspect_err(|_| reports.record_unreachable(target.vm_name))
            .map_err(|status| call_error(peer, &status))?
            .into_inner();
        Ok(Self {
            vm_name: target.vm_name.to_owned(),
            peer: peer.to_owned(),
            request_sent_ms,
            reports: reports.clone(),
            frames,
            assembler,
        })
    }

    /// Receives the next frame of the answer.
    pub(crate) async fn next(&mut self) -> Result<FrameEvent, AgentCallError> {
        match self.frames.next().await {
            Some(Ok(frame)) => self.accept(frame),
            Some(Err(status)) => {
                self.reports.record_unreachable(&self.vm_name);
                Err(self.lost(status.message()))
            }
            None => Err(self.lost("stream ended without its final frame")),
        }
    }

    fn accept(&mut self, mut frame: CallFrame) -> Result<FrameEvent, AgentCallError> {
        let report = take_report(&mut frame);
        let accepted = self.assembler.accept(frame).map_err(|error| {
            event!(AnswerDamaged, "peer={}: {error}", self.peer);
            self.lost(&error.to_string())
        })?;
        if let Some(report) = report {
            self.reports
                .record_report(&self.vm_name, report, self.request_sent_ms);
        }
        Ok(accepted)
    }

    /// Returns the number of tokens delivered over all streams of the answer.
    pub(crate) fn delivered_tokens(&self) -> u64 {
        self.assembler.delivered_tokens()
    }

    fn lost(&self, reason: &str) -> AgentCallError {
        AgentCallError::Lost {
            peer: self.peer.clone(),
            reason: reason.to_owned(),
        }
    }
}

fn take_report(frame: &mut CallFrame) -> Option<AgentReport> {
    match &mut frame.frame {
        Some(Frame::Final(final_frame)) => final_frame.word.take(),
        _ => None,
    }
}

fn call_error(peer: &str, status: &Status) -> AgentCallError {
    if is_connect_failure(status) {
        return not_written(peer, status);
    }
    AgentCallError::Lost {
        peer: peer.to_owned(),
        reason: status.message().to_owned(),
    }
}

fn not_written(peer: &str, status: &Status) -> AgentCallError {
    AgentCallError::NotWritten {
        peer: peer.to_owned(),
        reason: status.message().to_owned(),
    }
}
