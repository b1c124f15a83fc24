//! Sends a call to an endpoint over a new connection.
//!
//! A connection that serves one call only can't be half-open from an earlier call, nor carry bytes
//! of another answer, so an endpoint's answer always belongs to the call.

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
use crate::EndpointNotice;
use crate::EndpointRequestHead;
use crate::RetryAfter;
use crate::SendResult;
use crate::http_client;
use crate::http_client::HttpError;

/// An endpoint on a reachable VM accepts a connection within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The outcome of one send.
pub(crate) enum SendOutcome {
    /// The endpoint answered; the body of the answer is still to be read.
    Answered {
        response: Response<Incoming>,
        notice: EndpointNotice,
    },
    /// No byte of the call was written.
    Unwritten { reason: String },
    /// The endpoint answered that it did not run the call.
    NotRun {
        result: SendResult,
        reason: String,
        /// Id of another endpoint that the answer reports as the cause.
        endpoint_at_fault: Option<String>,
        /// What the endpoint says about the calls that it takes; nothing from another process at its
        /// address.
        notice: EndpointNotice,
    },
    /// The call may have run, and no valid answer arrived.
    Lost { result: SendResult, reason: String },
}

/// One call that is sent to an endpoint.
pub(crate) struct DirectExchange<'a> {
    pub(crate) protocol: &'a DirectProtocol,
    pub(crate) call: &'a DirectCall,
    pub(crate) head: &'a request::Parts,
    pub(crate) body: &'a Bytes,
}

impl DirectExchange<'_> {
    /// Sends the call to the endpoint at `address` and waits for the head of its answer.
    pub(crate) async fn send(&self, address: &str, head: &EndpointRequestHead<'_>) -> SendOutcome {
        let request = self.request(head);
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

    fn request(&self, head: &EndpointRequestHead<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = (self.protocol.endpoint_headers)(&self.head.headers, head);
        request
    }

    /// Checks that the answer belongs to this call, and whether the call ran.
    fn check(&self, response: Response<Incoming>) -> SendOutcome {
        let (head, body) = response.into_parts();
        let mut answer = (self.protocol.read_answer)(&head);
        let status = head.status;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            answer.notice.retry_after = RetryAfter::None;
        }
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
                notice: if is_misdirected {
                    EndpointNotice::NONE
                } else {
                    answer.notice
                },
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
        SendOutcome::Answered {
            response: Response::from_parts(head, body),
            notice: answer.notice,
        }
    }
}
