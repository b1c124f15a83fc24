//! The sends of one request that may be repeated.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tokio::sync::oneshot;

use crate::RefusalCode;
use crate::RouteChoice;
use crate::actor::Actor;
use crate::caller_error::CallerError;
use crate::entry_server::overloaded;
use crate::event;
use crate::route_query::RouteQuery;
use crate::routing_actor::RoutingCommand;
use crate::service_routes::RoutedSend;

const MAX_SENDS: usize = 4;

/// The sends of one request, each to another endpoint while there is one, within its deadline and retry budget.
pub(crate) struct Attempts {
    routing: Actor<RoutingCommand>,
    query: RouteQuery,
    deadline: Instant,
    sends: usize,
}

impl Attempts {
    /// Starts the clock of a request.
    pub(crate) fn new(routing: Actor<RoutingCommand>, query: RouteQuery) -> Self {
        let deadline = Instant::now() + Duration::from_millis(query.time_left_ms);
        Self {
            routing,
            query,
            deadline,
            sends: 0,
        }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Asks the routing actor for an endpoint that was not tried yet.
    pub(crate) async fn choose(&mut self) -> Result<RoutedSend, CallerError> {
        let chosen = match self.ask(self.query.clone()).await? {
            // Every endpoint was tried, so one whose connection broke may be tried again.
            Err(RouteChoice::Refuse {
                code: RefusalCode::NoEndpoint,
                ..
            }) if !self.query.exclude.is_empty() => {
                self.query.exclude.clear();
                self.ask(self.query.clone()).await?
            }
            answer => answer,
        };
        let chosen = chosen.map_err(|choice| refused(&self.query.service, choice))?;
        self.query.exclude.push(chosen.vm_name.clone());
        self.sends += 1;
        Ok(chosen)
    }

    async fn ask(
        &self,
        mut query: RouteQuery,
    ) -> Result<Result<RoutedSend, RouteChoice>, CallerError> {
        query.time_left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        let (reply, answer) = oneshot::channel();
        self.routing
            .submit(RoutingCommand::Choose { query, reply })
            .map_err(|_| overloaded())?;
        answer.await.map_err(|_| overloaded())
    }

    /// Tells whether the request may be sent once more.
    pub(crate) async fn may_retry(&self) -> bool {
        if self.sends >= MAX_SENDS || self.time_left().is_zero() {
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

    /// Notes the first token of an answer.
    pub(crate) fn first_token(&self, send: &RoutedSend) {
        let _ = self.routing.submit(RoutingCommand::FirstToken {
            service: self.query.service.clone(),
            ticket: send.ticket,
        });
    }

    /// Notes that a send has ended.
    pub(crate) fn finished(&self, send: &RoutedSend) {
        let command = RoutingCommand::Finished {
            service: self.query.service.clone(),
            ticket: send.ticket,
        };
        if let Err(error) = self.routing.submit(command) {
            log::warn!("end of a request: {error}");
        }
    }
}

fn refused(service: &str, choice: RouteChoice) -> CallerError {
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
