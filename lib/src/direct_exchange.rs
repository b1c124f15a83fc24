//! One send of a call to an endpoint, over a connection of its own.
//!
//! A connection that serves one call can neither be silent from an earlier time nor carry bytes
//! of another answer, so that what an endpoint said of a call is never in doubt.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::DirectCall;
use crate::DirectProtocol;
use crate::EndpointRequestHead;
use crate::SendResult;
use crate::http_client;
use crate::http_client::HttpError;

/// An endpoint on a reachable VM accepts within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// What became of one send.
pub(crate) enum SendOutcome {
    /// The endpoint answered; its body is still to be read.
    Answered(Response<Incoming>),
    /// No byte of the call was written.
    Unwritten { reason: String },
    /// The endpoint said that it did not run the call.
    NotRun {
        result: SendResult,
        reason: String,
        /// Another endpoint that it says is at fault.
        endpoint_at_fault: Option<String>,
    },
    /// The call may have run, and no valid answer came.
    Lost { result: SendResult, reason: String },
}

/// One call as it is sent to an endpoint.
pub(crate) struct DirectExchange<'a> {
    pub(crate) wire: &'a DirectProtocol,
    pub(crate) call: &'a DirectCall,
    pub(crate) head: &'a request::Parts,
    pub(crate) body: &'a Bytes,
}

impl DirectExchange<'_> {
    /// Sends the call to the endpoint at `address` and waits for the head of its answer.
    pub(crate) async fn send(&self, address: &str, send: &EndpointRequestHead<'_>) -> SendOutcome {
        let request = self.request(send);
        match http_client::send(address, CONNECT_TIMEOUT, request).await {
            Ok(response) => self.check(response),
            Err(error @ HttpError::NotWritten { .. }) => SendOutcome::Unwritten {
                reason: error.to_string(),
            },
            Err(error @ HttpError::Written { .. }) => SendOutcome::Lost {
                result: SendResult::Unreachable,
                reason: error.to_string(),
            },
        }
    }

    fn request(&self, send: &EndpointRequestHead<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = (self.wire.endpoint_headers)(&self.head.headers, send);
        request
    }

    /// Checks that the answer is one to this call, and what it says of its run.
    fn check(&self, response: Response<Incoming>) -> SendOutcome {
        let (head, body) = response.into_parts();
        let answer = (self.wire.read_answer)(&head);
        let status = head.status;
        if answer.is_not_run || status == StatusCode::MISDIRECTED_REQUEST {
            let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
            return SendOutcome::NotRun {
                result: match (is_misdirected, &answer.endpoint_at_fault) {
                    (true, _) => SendResult::Misdirected,
                    (false, Some(_)) => SendResult::GroupDown,
                    (false, None) => SendResult::Full,
                },
                reason: format!("endpoint did not run the call: status {status}"),
                endpoint_at_fault: answer.endpoint_at_fault,
            };
        }
        let damaged = |reason: String| SendOutcome::Lost {
            result: SendResult::Failed,
            reason,
        };
        if answer.request_id.as_deref() != Some(self.call.request_id.as_str()) {
            return damaged("endpoint answered another request".to_owned());
        }
        if status.is_success() && !answer.is_sealed {
            return damaged("endpoint does not vouch for its answer".to_owned());
        }
        SendOutcome::Answered(Response::from_parts(head, body))
    }
}
