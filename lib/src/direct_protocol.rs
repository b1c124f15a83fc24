//! The HTTP conventions of callers and endpoints, as functions of the platform's adapter.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::request;
use http::response;
use volo_http::body::Body;

use crate::DirectCall;
use crate::DirectRefusal;
use crate::EndpointNotice;
use crate::RouteTable;

/// The fields that an entry adds to the head of a caller's request for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequestHead<'a> {
    /// Id of the endpoint that is meant to serve the call.
    pub endpoint_id: &'a str,
    /// Organisation that the call belongs to.
    pub organisation: Option<&'a str>,
    /// 0 is the least urgent, [`MAX_URGENCY`](crate::MAX_URGENCY) the most.
    pub urgency: u32,
    /// Time left until the call's deadline.
    pub time_left_ms: u64,
    /// Id of the last event that the caller has received; absent unless a stream is resumed.
    pub resume_after: Option<u64>,
}

/// The fields of an endpoint's answer head that an entry uses, beside the status.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAnswerHead {
    /// Id of the request that the answer belongs to.
    pub request_id: Option<String>,
    /// Whether the answer carries the endpoint's seal.
    pub is_sealed: bool,
    /// Whether the endpoint states that it did not run the call.
    pub is_not_run: bool,
    /// Id of another endpoint, on which the answering one depends, that caused the failure.
    pub endpoint_at_fault: Option<String>,
    /// What the endpoint says about the calls that it takes.
    pub notice: EndpointNotice,
}

/// The HTTP conventions of callers and endpoints, as functions of the platform's adapter.
#[derive(Debug, Clone, Copy)]
pub struct DirectProtocol {
    /// Reads the head of a caller's request.
    ///
    /// Fails with the final answer when the head is malformed.
    pub read_call: fn(&request::Parts) -> Result<DirectCall, DirectRefusal>,
    /// Returns the headers of the request that is sent to an endpoint.
    pub endpoint_headers: fn(&HeaderMap, &EndpointRequestHead<'_>) -> HeaderMap,
    /// Reads the head of an endpoint's answer.
    pub read_answer: fn(&response::Parts) -> EndpointAnswerHead,
    /// Returns the headers of the answer to a caller, from those of an endpoint's answer.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Writes a final answer that the entry gives in place of an endpoint.
    pub refuse: fn(&DirectRefusal) -> Response<Body>,
    /// Decodes a published configuration. Fails with the reason when any part of it is invalid.
    pub read_config: fn(Bytes) -> Result<RouteTable, String>,
}
