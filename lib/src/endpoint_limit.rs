//! What an entry believes of the limit that an endpoint names.

use std::fmt;

use crate::EndpointRecord;
use crate::limit_division::ServiceDivision;
use crate::limit_share::LimitShare;
use crate::token_bucket::TokenBucket;

/// Calls a second that all entries together send to an endpoint that names less, so that they learn
/// when it takes more again.
const MIN_CALLS_PER_S: f64 = 0.1;
/// Most of a call that an entry keeps from an earlier turn in which it had a part of the limit.
const MAX_KEPT_CALLS: f64 = 0.5;
/// Time for which an entry tells others that an endpoint names no limit any more.
const LIFTED_REPORT_MS: u64 = 10_000;
/// Relative change of a limit from which on it is logged again.
const LOGGED_CHANGE: f64 = 0.1;

/// Where an entry knows a limit from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer of the endpoint to the request with this id.
    Answer(String),
    /// The entry with this gossip address.
    Entry(String),
}

impl fmt::Display for LimitSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(request_id) => write!(formatter, "request {request_id}"),
            Self::Entry(address) => write!(formatter, "entry {address}"),
        }
    }
}

/// The latest that an entry knows of an endpoint's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitObservation {
    /// Calls a second that the endpoint takes from all entries together; absent when it has
    /// stopped naming a limit.
    pub calls_per_s: Option<f64>,
    /// Time at which the endpoint answered so, on the clock of this process.
    pub observed_ms: u64,
    /// Where the entry knows it from.
    pub source: LimitSource,
}

/// A limit in force, as far as an entry knows, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BelievedLimit {
    /// Calls a second that the endpoint takes from all entries together.
    pub calls_per_s: f64,
    /// Part of them that this entry may send.
    pub own_calls_per_s: f64,
    /// Time since the answer that the belief rests on.
    pub age_ms: u64,
}

impl BelievedLimit {
    /// Returns the fields of a log line, each with a space before it.
    pub(crate) fn log_fields(self) -> String {
        format!(
            " limit_per_s={} own_limit_per_s={:.3} limit_age_ms={}",
            self.calls_per_s, self.own_calls_per_s, self.age_ms
        )
    }
}

/// A change of what an entry believes of an endpoint's limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitChange {
    /// The endpoint names another limit than before, or its first one.
    Named {
        /// Id of the endpoint.
        endpoint: String,
        /// Calls a second that the endpoint takes from all entries together.
        calls_per_s: f64,
        /// Where the entry knows it from.
        source: LimitSource,
    },
    /// The endpoint has stopped naming a limit.
    Lifted {
        /// Id of the endpoint.
        endpoint: String,
        /// Where the entry knows it from.
        source: LimitSource,
    },
    /// The endpoint names something that is no limit; the belief stays as it was.
    Invalid {
        /// Id of the endpoint.
        endpoint: String,
        /// What the endpoint names.
        text: String,
        /// Where the entry knows it from.
        source: LimitSource,
    },
}

/// What an entry knows of one endpoint's limit and has done about it, for the log and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitStatus {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// The limit in force.
    pub limit: BelievedLimit,
    /// Where the entry knows it from.
    pub source: LimitSource,
    /// Calls since the process started.
    pub calls: LimitedCalls,
}

/// Calls that a limit has concerned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitedCalls {
    /// Calls that were sent to the endpoint.
    pub sent: u64,
    /// Calls that another endpoint took while this one had no permit.
    pub elsewhere: u64,
    /// Calls that were refused while this one had no permit.
    pub refused: u64,
}

impl LimitedCalls {
    /// Returns the number of calls that the limit has concerned.
    pub(crate) fn concerned(&self) -> u64 {
        self.sent + self.elsewhere + self.refused
    }
}

/// What an entry believes of the limit that one run of an endpoint names, and its part of it.
#[derive(Debug, Default)]
pub(crate) struct EndpointLimit {
    latest: Option<LimitObservation>,
    /// Time of the last change between a limit and none.
    changed_ms: u64,
    share: LimitShare,
    /// Permits of this entry.
    permits: TokenBucket,
    calls: LimitedCalls,
    /// Limit that was logged last.
    logged_calls_per_s: Option<f64>,
    /// Whether the last answer that named anything named something invalid.
    names_invalid: bool,
}

impl EndpointLimit {
    /// Returns the calls a second that the endpoint takes from all entries; `None` without a limit.
    pub(crate) fn calls_per_s(&self) -> Option<f64> {
        self.latest.as_ref()?.calls_per_s
    }

    /// Returns the calls a second that all entries together send to the endpoint.
    pub(crate) fn sent_calls_per_s(&self) -> Option<f64> {
        Some(self.calls_per_s()?.max(MIN_CALLS_PER_S))
    }

    /// Returns this entry's part of the limit; `None` without a limit.
    pub(crate) fn own_calls_per_s(&self) -> Option<f64> {
        self.calls_per_s()?;
        Some(self.permits.calls_per_s())
    }

    /// Returns the limit in force; `None` without one.
    pub(crate) fn believed(&self, now_ms: u64) -> Option<BelievedLimit> {
        Some(BelievedLimit {
            calls_per_s: self.calls_per_s()?,
            own_calls_per_s: self.own_calls_per_s()?,
            age_ms: now_ms.saturating_sub(self.observed_ms()?),
        })
    }

    /// Returns the limit in force with what was done about it; `None` without one.
    pub(crate) fn status(&self, endpoint: &EndpointRecord, now_ms: u64) -> Option<LimitStatus> {
        Some(LimitStatus {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            limit: self.believed(now_ms)?,
            source: self.latest.as_ref()?.source.clone(),
            calls: self.calls,
        })
    }

    /// Returns the time of the answer that the belief rests on.
    pub(crate) fn observed_ms(&self) -> Option<u64> {
        Some(self.latest.as_ref()?.observed_ms)
    }

    /// Returns the time of the last change between a limit and none.
    pub(crate) fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns the belief if others are to be told of it: a limit, or that one has ended recently.
    pub(crate) fn reported(&self, now_ms: u64) -> Option<&LimitObservation> {
        let latest = self.latest.as_ref()?;
        let is_recent = now_ms.saturating_sub(self.changed_ms) < LIFTED_REPORT_MS;
        (latest.calls_per_s.is_some() || is_recent).then_some(latest)
    }

    /// Returns the calls that this entry may send now; `None` without a limit.
    pub(crate) fn permitted_calls(&self, now_ms: u64) -> Option<f64> {
        self.calls_per_s()?;
        Some(self.permits.calls(now_ms))
    }

    /// Returns whether this entry may send a call now.
    pub(crate) fn has_permit(&self, now_ms: u64) -> bool {
        let calls = self.permitted_calls(now_ms);
        calls.is_none_or(|calls| calls >= 1.0)
    }

    /// Returns the time until this entry may send a call; `None` if its part of the limit is zero.
    pub(crate) fn permit_wait_ms(&self, now_ms: u64) -> Option<f64> {
        self.permits.wait_ms(now_ms)
    }

    /// Takes the permit of a call that is sent.
    pub(crate) fn take_permit(&mut self, now_ms: u64) {
        if self.calls_per_s().is_some() {
            self.permits.take(now_ms);
            self.calls.sent += 1;
        }
    }

    /// Counts a call that another endpoint takes, if this one has no permit.
    pub(crate) fn count_elsewhere(&mut self, now_ms: u64) {
        self.calls.elsewhere += u64::from(!self.has_permit(now_ms));
    }

    /// Counts a call that is refused, if this endpoint has no permit.
    pub(crate) fn count_refused(&mut self, now_ms: u64) {
        self.calls.refused += u64::from(!self.has_permit(now_ms));
    }

    /// Applies an observation unless a newer one is known; returns the change to log.
    pub(crate) fn observe(
        &mut self,
        endpoint: LimitedEndpoint<'_>,
        observation: LimitObservation,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let known_ms = self.observed_ms();
        if known_ms.is_some_and(|known_ms| observation.observed_ms < known_ms) {
            return None;
        }
        let before = self.calls_per_s();
        let after = observation.calls_per_s;
        let source = observation.source.clone();
        self.names_invalid = false;
        self.latest = Some(observation);
        if before.is_some() != after.is_some() {
            self.changed_ms = now_ms;
        }
        if let (None, Some(calls_per_s)) = (before, after) {
            self.share = LimitShare::new(endpoint.first_share(calls_per_s));
            self.permits.truncate(0.0, now_ms);
        }
        self.update_rate(now_ms);
        self.change(endpoint.id, before, after, source)
    }

    /// Applies a round's division of limits among entries.
    pub(crate) fn divide(&mut self, key: u32, division: &ServiceDivision, now_ms: u64) {
        let Some(calls_per_s) = self.calls_per_s() else {
            return;
        };
        let had_part = self.share.value() > 0.0;
        let share = division.share(key, calls_per_s);
        self.share.update(share, division.settle_rounds);
        if !had_part {
            self.permits.truncate(MAX_KEPT_CALLS, now_ms);
        }
        self.update_rate(now_ms);
    }

    /// Records an answer whose limit is invalid; returns the change to log, once until the endpoint
    /// names a valid one.
    pub(crate) fn observe_invalid(
        &mut self,
        endpoint: &str,
        text: &str,
        source: LimitSource,
    ) -> Option<LimitChange> {
        let is_known = std::mem::replace(&mut self.names_invalid, true);
        (!is_known).then(|| LimitChange::Invalid {
            endpoint: endpoint.to_owned(),
            text: text.to_owned(),
            source,
        })
    }

    fn update_rate(&mut self, now_ms: u64) {
        let calls_per_s = self.sent_calls_per_s().unwrap_or(0.0);
        self.permits
            .set_rate(calls_per_s * self.share.value(), now_ms);
    }

    /// Returns the change from one limit to another if it is to be logged.
    fn change(
        &mut self,
        endpoint: &str,
        before: Option<f64>,
        after: Option<f64>,
        source: LimitSource,
    ) -> Option<LimitChange> {
        let endpoint = endpoint.to_owned();
        let Some(calls_per_s) = after else {
            self.logged_calls_per_s = None;
            return before.map(|_| LimitChange::Lifted { endpoint, source });
        };
        let logged = self.logged_calls_per_s;
        if logged.is_some_and(|logged| is_close(logged, calls_per_s)) {
            return None;
        }
        self.logged_calls_per_s = Some(calls_per_s);
        Some(LimitChange::Named {
            endpoint,
            calls_per_s,
            source,
        })
    }
}

/// One run of an endpoint, with the division of the limits of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitedEndpoint<'a> {
    pub(crate) id: &'a str,
    /// Hash of the id and the run of the endpoint.
    pub(crate) key: u32,
    pub(crate) division: &'a ServiceDivision,
}

impl LimitedEndpoint<'_> {
    /// Returns this entry's part of a limit that it has just learnt of.
    fn first_share(&self, calls_per_s: f64) -> f64 {
        if self.division.is_settled {
            self.division.share(self.key, calls_per_s)
        } else {
            0.0
        }
    }
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= LOGGED_CHANGE * a.max(b)
}
