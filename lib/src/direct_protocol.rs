//! How callers and endpoints of the direct path write requests and answers.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::request;
use http::response;
use volo_http::body::Body;

use crate::DirectCall;
use crate::DirectRefusal;
use crate::RouteTable;

/// What a send to an endpoint adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequestHead<'a> {
    /// Identity of the endpoint that is meant.
    pub endpoint_id: &'a str,
    /// Organisation that the call belongs to.
    pub organisation: Option<&'a str>,
    /// 0 is the least urgent, [`MAX_URGENCY`](crate::MAX_URGENCY) the most.
    pub urgency: u32,
    /// Time that is left for the answer.
    pub time_left_ms: u64,
    /// Last event of the stream that the caller has.
    pub resume_after: Option<u64>,
}

/// What the head of an endpoint's answer says beside its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAnswerHead {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// The endpoint vouches for the answer.
    pub is_sealed: bool,
    /// The endpoint says that it did not run the call.
    pub is_not_run: bool,
    /// Id of another endpoint, on which the answering one depends, that is at fault.
    pub endpoint_at_fault: Option<String>,
}

/// How callers and endpoints write requests and answers, as functions of the platform's adapter.
#[derive(Debug, Clone, Copy)]
pub struct DirectProtocol {
    /// Reads the head of a caller's request.
    ///
    /// Fails with the final answer when the head is malformed.
    pub read_call: fn(&request::Parts) -> Result<DirectCall, DirectRefusal>,
    /// Returns the head fields that an endpoint gets.
    pub endpoint_headers: fn(&HeaderMap, &EndpointRequestHead<'_>) -> HeaderMap,
    /// Reads the head of an endpoint's answer.
    pub read_answer: fn(&response::Parts) -> EndpointAnswerHead,
    /// Returns the head fields of an endpoint's answer that a caller gets.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Writes a final answer of the entry itself.
    pub refuse: fn(&DirectRefusal) -> Response<Body>,
    /// Decodes a published configuration; fails with the reason why it is refused whole.
    pub read_config: fn(Bytes) -> Result<RouteTable, String>,
}
