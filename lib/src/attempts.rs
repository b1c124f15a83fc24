//! Attempts of one repeatable request, within its deadline and the retry budget.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tokio::sync::oneshot;

use crate::RefusalCode;
use crate::RouteChoice;
use crate::actor::Actor;
use crate::as_ms::as_ms;
use crate::caller_error::CallerError;
use crate::entry_server::overloaded;
use crate::event;
use crate::route_query::RouteQuery;
use crate::routing_actor::RoutingCommand;
use crate::service_routes::RoutedSend;

const MAX_ATTEMPTS: usize = 4;

/// The attempts of one request, within its deadline and the retry budget of its service.
///
/// Each attempt goes to an endpoint that was not tried yet, while there is one.
pub(crate) struct Attempts {
    routing: Actor<RoutingCommand>,
    query: RouteQuery,
    deadline: Instant,
    attempt_count: usize,
}

impl Attempts {
    /// Creates the attempts of a request whose deadline starts to run now.
    pub(crate) fn new(routing: Actor<RoutingCommand>, query: RouteQuery) -> Self {
        let deadline = Instant::now() + Duration::from_millis(query.time_left_ms);
        Self {
            routing,
            query,
            deadline,
            attempt_count: 0,
        }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Requests an endpoint that was not tried yet from the routing actor.
    pub(crate) async fn choose(&mut self) -> Result<RoutedSend, CallerError> {
        let chosen = match self.request_route(self.query.clone()).await? {
            // Every endpoint was tried once. One whose connection broke may be tried again.
            Err(RouteChoice::Refuse {
                code: RefusalCode::NoEndpoint,
                ..
            }) if !self.query.exclude.is_empty() => {
                self.query.exclude.clear();
                self.request_route(self.query.clone()).await?
            }
            answer => answer,
        };
        let chosen = chosen.map_err(|choice| refusal_error(&self.query.service, choice))?;
        self.query.exclude.push(chosen.vm_name.clone());
        self.attempt_count += 1;
        Ok(chosen)
    }

    async fn request_route(
        &self,
        mut query: RouteQuery,
    ) -> Result<Result<RoutedSend, RouteChoice>, CallerError> {
        query.time_left_ms = as_ms(self.time_left());
        let (reply, answer) = oneshot::channel();
        self.routing
            .submit(RoutingCommand::Choose { query, reply })
            .map_err(|_| overloaded())?;
        answer.await.map_err(|_| overloaded())
    }

    /// Returns whether the request may be sent again, and takes the retry from the service's
    /// budget.
    pub(crate) async fn may_retry(&self) -> bool {
        if self.attempt_count >= MAX_ATTEMPTS || self.time_left().is_zero() {
            return false;
        }
        let (reply, answer) = oneshot::channel();
        let command = RoutingCommand::Retry {
            service: self.query.service.clone(),
            reply,
        };
        let allowed = self.routing.submit(command).is_ok() && answer.await.unwrap_or(false);
        let service = &self.query.service;
        if allowed {
            event!(RequestRetried, "service={service}");
        } else {
            event!(RetryBudgetSpent, "service={service}");
        }
        allowed
    }

    /// Reports the first token of an answer to the routing actor.
    pub(crate) fn record_first_token(&self, send: &RoutedSend) {
        let _ = self.routing.submit(RoutingCommand::FirstToken {
            service: self.query.service.clone(),
            ticket: send.ticket,
        });
    }

    /// Reports the end of an attempt to the routing actor.
    pub(crate) fn record_finished(&self, send: &RoutedSend) {
        let command = RoutingCommand::Finished {
            service: self.query.service.clone(),
            ticket: send.ticket,
        };
        if let Err(error) = self.routing.submit(command) {
            log::warn!("report the end of an attempt to the routing actor: {error}");
        }
    }
}

fn refusal_error(service: &str, choice: RouteChoice) -> CallerError {
    let RouteChoice::Refuse {
        code,
        retry_after_ms,
    } = choice
    else {
        return overloaded();
    };
    let message = format!("service \"{service}\" can't take the request now");
    CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, code.as_str(), message)
        .retry_after_ms(retry_after_ms)
}
