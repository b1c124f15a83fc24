//! State and helpers of an entry's handlers for requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::request::Request;

use crate::CallFailure;
use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::Metrics;
use crate::RefusalCode;
use crate::actor::Actor;
use crate::agent_call::AgentCall;
use crate::agent_call::AgentCallError;
use crate::agent_call::CallTarget;
use crate::agent_channels::AgentChannels;
use crate::agent_reports::AgentReports;
use crate::attempts::Attempts;
use crate::caller_body;
use crate::caller_body::CallerBodyError;
use crate::caller_error::CallerError;
use crate::config_actor::SharedConfig;
use crate::config_view::ServiceView;
use crate::event;
use crate::in_flight::InFlightCounter;
use crate::protos::control::CallRequest;
use crate::protos::control::PlacementHome;
use crate::protos::settings::EntrySettings;
use crate::protos::template::OrganisationParameters;
use crate::route_query::RouteQuery;
use crate::routing_actor::RoutingCommand;
use crate::shared_quarantine::SharedQuarantine;

const OVERLOAD_RETRY_MS: u64 = 1000;

/// State shared by the request handlers of an entry.
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) peer_key: String,
    pub(crate) channels: AgentChannels,
    pub(crate) config: SharedConfig,
    pub(crate) routing: Actor<RoutingCommand>,
    pub(crate) reports: AgentReports,
    pub(crate) in_flight: InFlightCounter,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: SharedQuarantine,
}

/// The service and the organisation of an authenticated request.
pub(crate) struct Authorised {
    pub(crate) service: Arc<ServiceView>,
    pub(crate) organisation: OrganisationParameters,
}

impl EntryState {
    /// Finds the service and the organisation that a request's credential names.
    pub(crate) fn authorise(
        &self,
        service: &str,
        headers: &HeaderMap,
    ) -> Result<Authorised, CallerError> {
        let config = self.config.load();
        let view = config.service(service).ok_or_else(|| {
            let message = format!("service \"{service}\" does not exist");
            CallerError::not_run(StatusCode::NOT_FOUND, "service-unknown", message)
        })?;
        let organisation = bearer(headers)
            .and_then(|credential| view.organisation(credential))
            .ok_or_else(|| {
                event!(CredentialRefused, "service={service}");
                let message = format!("credential is not declared for service \"{service}\"");
                CallerError::not_run(StatusCode::UNAUTHORIZED, "credential-unknown", message)
            })?;
        Ok(Authorised {
            service: Arc::clone(view),
            organisation: organisation.clone(),
        })
    }

    /// Rejects a request that reached a service through the interface of another kind.
    pub(crate) fn check_kind(service: &ServiceView, kind: &str) -> Result<(), CallerError> {
        let template = service.template();
        if template.kind == kind {
            return Ok(());
        }
        let message = format!(
            "service \"{}\" is of kind \"{}\", not \"{kind}\"",
            template.service, template.kind
        );
        Err(CallerError::not_run(
            StatusCode::BAD_REQUEST,
            "request-malformed",
            message,
        ))
    }

    /// Reads a request's body, up to the configured size limit.
    pub(crate) async fn read_body(&self, request: Request) -> Result<Bytes, CallerError> {
        let limit_bytes = usize::try_from(self.settings.max_body_bytes).unwrap_or(usize::MAX);
        let timeout = Duration::from_millis(self.settings.header_timeout_ms);
        let body = caller_body::read_body(request, limit_bytes, timeout).await;
        body.map_err(|error| {
            let (status, code) = match error {
                CallerBodyError::Timeout { .. } => (StatusCode::REQUEST_TIMEOUT, "body-timeout"),
                CallerBodyError::TooLarge { .. } | CallerBodyError::Broken => {
                    (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large")
                }
            };
            CallerError::not_run(status, code, error.to_string())
        })
    }

    /// Requests from the routing actor the agents that may run calls of `service`.
    pub(crate) async fn homes(&self, service: &str) -> Result<Vec<PlacementHome>, CallerError> {
        let (reply, answer) = oneshot::channel();
        let command = RoutingCommand::Homes {
            service: service.to_owned(),
            reply,
        };
        self.routing.submit(command).map_err(|_| overloaded())?;
        answer.await.map_err(|_| overloaded())
    }

    /// Sends a call once to an agent.
    pub(crate) async fn open_call(
        &self,
        target: CallTarget<'_>,
        call: CallRequest,
    ) -> Result<AgentCall, AgentCallError> {
        AgentCall::open(&self.channels, &self.reports, target, call).await
    }

    /// Creates the attempts of a request that may be sent more than once.
    pub(crate) fn attempts(&self, call: &CallRequest, prompt: Bytes) -> Attempts {
        let query = RouteQuery {
            service: call.service.clone(),
            prompt,
            urgency: call.urgency,
            time_left_ms: call.deadline_ms,
            exclude: Vec::new(),
        };
        Attempts::new(self.routing.clone(), query)
    }

    /// Rejects quarantined content, which has crashed endpoints.
    pub(crate) fn check_content(&self, content: ContentFingerprint) -> Result<(), CallerError> {
        if self.quarantine.content_status(content) != ContentStatus::Quarantined {
            return Ok(());
        }
        Err(CallerError::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            RefusalCode::Quarantined.as_str(),
            "content crashed endpoints before; sending it again does not help",
        ))
    }

    /// Adds this entry's quarantine record of the content to a call.
    pub(crate) fn add_suspicion(&self, call: &mut CallRequest) {
        call.quarantined = self
            .quarantine
            .entry_of(ContentFingerprint(call.fingerprint));
    }

    /// Converts the failure of a call at an agent to an error for the caller, and merges the
    /// quarantine records that came with it.
    pub(crate) fn agent_failure(&self, failure: CallFailure) -> CallerError {
        self.quarantine.merge(&failure.quarantined);
        CallerError::from_agent(
            failure.outcome,
            &failure.code,
            failure.message,
            failure.retry_after_ms,
        )
    }

    /// Returns the deadline of a request of `service`, in milliseconds from its arrival.
    pub(crate) fn deadline_ms(&self, service: &ServiceView) -> u64 {
        match service.template().deadline_ms {
            0 => self.settings.default_deadline_ms,
            deadline_ms => deadline_ms,
        }
    }
}

/// Returns the refusal of an entry whose command rings are full.
pub(crate) fn overloaded() -> CallerError {
    CallerError::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "entry-overloaded",
        "entry has no room for the request",
    )
    .retry_after_ms(OVERLOAD_RETRY_MS)
}

/// Returns the refusal for a service without a usable endpoint.
pub(crate) fn no_endpoint(service: &str) -> CallerError {
    let message = format!("service \"{service}\" has no reachable endpoint");
    CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-endpoint", message)
        .retry_after_ms(OVERLOAD_RETRY_MS)
}

/// Converts a handler's result to a response.
pub(crate) fn respond(result: Result<Response<Body>, CallerError>) -> Response<Body> {
    result.unwrap_or_else(CallerError::into_response)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}
