//! What an entry believes of the limit that an endpoint names.

use std::fmt;

/// Where an entry knows a limit from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer of the endpoint to the request with this id.
    Answer(String),
}

impl fmt::Display for LimitSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(request_id) => write!(formatter, "request {request_id}"),
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
    /// Time since the answer that the belief rests on.
    pub age_ms: u64,
}

impl BelievedLimit {
    /// Returns the fields of a log line, each with a space before it.
    pub(crate) fn log_fields(self) -> String {
        format!(
            " limit_per_s={} limit_age_ms={}",
            self.calls_per_s, self.age_ms
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

/// Relative change of a limit from which on it is logged again.
const LOGGED_CHANGE: f64 = 0.1;

/// What an entry believes of the limit that one run of an endpoint names.
#[derive(Debug, Default)]
pub(crate) struct EndpointLimit {
    latest: Option<LimitObservation>,
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

    /// Returns the limit in force; `None` without one.
    pub(crate) fn believed(&self, now_ms: u64) -> Option<BelievedLimit> {
        Some(BelievedLimit {
            calls_per_s: self.calls_per_s()?,
            age_ms: now_ms.saturating_sub(self.observed_ms()?),
        })
    }

    /// Returns the time of the answer that the belief rests on.
    pub(crate) fn observed_ms(&self) -> Option<u64> {
        Some(self.latest.as_ref()?.observed_ms)
    }

    /// Applies an observation unless a newer one is known; returns the change to log.
    pub(crate) fn observe(
        &mut self,
        endpoint: &str,
        observation: LimitObservation,
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
        let endpoint = endpoint.to_owned();
        match (before, after) {
            (None, None) => None,
            (Some(_), None) => {
                self.logged_calls_per_s = None;
                Some(LimitChange::Lifted { endpoint, source })
            }
            (_, Some(calls_per_s)) => {
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
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= LOGGED_CHANGE * a.max(b)
}
