//! The agent's service towards entries.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::clock::Clock;
use crate::config_duty::SharedConfig;
use crate::endpoint_client::EndpointClient;
use crate::endpoint_client::EndpointError;
use crate::incarnation::Incarnation;
use crate::outcome::Outcome;
use crate::protos::control;
use crate::protos::control::CallFrame;
use crate::protos::control::CallRequest;
use crate::protos::control::DataFrame;
use crate::protos::control::FinalFrame;
use crate::protos::control::HeadFrame;
use crate::protos::control::HeartbeatReply;
use crate::protos::control::HeartbeatRequest;
use crate::protos::control::agent_server::Agent;
use crate::protos::control::call_frame::Frame;

const FRAME_RING_CAPACITY: usize = 32;

/// State shared by the agent's request handlers.
pub(crate) struct AgentState {
    pub(crate) vm_name: String,
    pub(crate) service: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) config: SharedConfig,
    pub(crate) endpoint: EndpointClient,
}

/// Serves heartbeats and calls.
#[derive(Clone)]
pub(crate) struct AgentServer {
    pub(crate) state: Arc<AgentState>,
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<CallFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Agent for AgentServer {
    type CallStream = FrameStream;

    async fn heartbeat(
        &self,
        _request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let state = &self.state;
        Ok(Response::new(HeartbeatReply {
            vm_name: state.vm_name.clone(),
            incarnation: state.incarnation.0,
            clock_ms: state.clock.now_ms(),
            leaving: false,
            config_revision: state.config.load().revision,
            load: None,
            service: state.service.clone(),
            endpoint_up: true,
        }))
    }

    async fn call(
        &self,
        request: Request<CallRequest>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let (sender, receiver) = mpsc::channel(FRAME_RING_CAPACITY);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            let call = request.into_inner();
            let writer = FrameSender {
                request_id: call.request_id.clone(),
                sequence: 0,
                data_frames: 0,
                hasher: xxhash_rust::xxh3::Xxh3Default::new(),
                sender,
            };
            run_call(&state, call, writer).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}

async fn run_call(state: &AgentState, call: CallRequest, mut writer: FrameSender) {
    let result = if call.call == "completions" {
        run_completion(state, &call, &mut writer).await
    } else {
        run_plain(state, &call, &mut writer).await
    };
    let ending = match result {
        Ok(()) => FinalFrame {
            outcome: control::Outcome::from(Outcome::Ran).into(),
            ..FinalFrame::default()
        },
        Err(error) => final_of(&error),
    };
    writer.finish(ending).await;
}

async fn run_plain(
    state: &AgentState,
    call: &CallRequest,
    writer: &mut FrameSender,
) -> Result<(), EndpointError> {
    let answer = state.endpoint.plain(call).await?;
    writer.head(answer.status, &answer.content_type).await;
    writer.data(answer.body, 0).await;
    Ok(())
}

async fn run_completion(
    state: &AgentState,
    call: &CallRequest,
    writer: &mut FrameSender,
) -> Result<(), EndpointError> {
    let body = engine_request(call)?;
    let mut events = state.endpoint.completion(body).await?;
    writer.head(200, "text/event-stream").await;
    while let Some(event) = events.next().await? {
        if !writer.data(event, 1).await {
            return Ok(());
        }
    }
    Ok(())
}

fn engine_request(call: &CallRequest) -> Result<Vec<u8>, EndpointError> {
    let malformed = |reason: String| EndpointError::NotStarted { reason };
    let mut body: Value =
        serde_json::from_slice(&call.body).map_err(|error| malformed(error.to_string()))?;
    body["request_id"] = Value::from(call.request_id.clone());
    body["resume_after_token"] = Value::from(call.resume_after_token);
    body["priority"] = Value::from(call.urgency);
    Ok(body.to_string().into_bytes())
}

fn final_of(error: &EndpointError) -> FinalFrame {
    let (outcome, code) = match error {
        EndpointError::NotStarted { .. } => (Outcome::NotRun, "endpoint-unreachable"),
        EndpointError::Lost { .. } => (Outcome::Unknown, "answer-lost"),
        EndpointError::Status { .. } => (Outcome::Ran, "endpoint-error"),
    };
    FinalFrame {
        outcome: control::Outcome::from(outcome).into(),
        code: code.to_owned(),
        message: error.to_string(),
        ..FinalFrame::default()
    }
}

struct FrameSender {
    request_id: String,
    sequence: u64,
    data_frames: u64,
    hasher: xxhash_rust::xxh3::Xxh3Default,
    sender: mpsc::Sender<Result<CallFrame, Status>>,
}

impl FrameSender {
    async fn head(&mut self, status: u16, content_type: &str) -> bool {
        self.send(Frame::Head(HeadFrame {
            status: u32::from(status),
            content_type: content_type.to_owned(),
        }))
        .await
    }

    async fn data(&mut self, payload: Bytes, tokens: u32) -> bool {
        self.hasher.update(&payload);
        self.data_frames += 1;
        self.send(Frame::Data(DataFrame {
            payload: payload.to_vec(),
            tokens,
        }))
        .await
    }

    async fn finish(mut self, mut ending: FinalFrame) {
        ending.data_frames = self.data_frames;
        ending.digest = self.hasher.digest();
        self.send(Frame::Final(ending)).await;
    }

    async fn send(&mut self, frame: Frame) -> bool {
        let frame = CallFrame {
            request_id: self.request_id.clone(),
            sequence: self.sequence,
            frame: Some(frame),
        };
        self.sequence += 1;
        self.sender.send(Ok(frame)).await.is_ok()
    }
}
