//! What is compared, and under which conditions.

/// How entries select endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Any endpoint that is not suspected.
    Random,
    /// The fewest requests by the last report and own sends since.
    LeastRequests,
    /// The rendezvous hash of the first block alone.
    PrefixHash,
    /// The router, the prefix index and the retry budget.
    Router,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Seven tenths of the capacity, nothing fails.
    Steady,
    /// The popularity of prefixes moves on by a family every half second.
    DriftingPrefixes,
    /// One endpoint runs at a third of its speed.
    OneSlow,
    /// One endpoint makes no progress for 20 s, while its reports go on.
    OneStalled,
    /// One endpoint refuses every request for 20 s, while its reports look idle.
    OneRefusing,
    /// 1.3 times the capacity for 20 s.
    Rush,
    /// No endpoint answers for 5 s; all lose their caches.
    Outage,
}

/// What entries hear of the prefix caches of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheNews {
    /// Nothing.
    None,
    /// Which blocks were dropped.
    Removed,
    /// Which prefixes came in, whoever sent them, and which blocks were dropped.
    All,
}

/// What entries hear of endpoints.
#[derive(Debug, Clone, Copy)]
pub struct EndpointNews {
    /// Time between two load reports of one endpoint.
    pub report_interval_ms: u64,
    /// The load also comes beside the end of each answer.
    pub words: bool,
    /// Cache events.
    pub cache: CacheNews,
    /// Prefixes of an endpoint that restarted are forgotten.
    pub restarts: bool,
}

impl Default for EndpointNews {
    fn default() -> Self {
        Self {
            report_interval_ms: 500,
            words: false,
            cache: CacheNews::Removed,
            restarts: false,
        }
    }
}

impl RoutePolicy {
    /// Every policy, ours last.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::LeastRequests,
        Self::PrefixHash,
        Self::Router,
    ];

    /// Returns the name that plots show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastRequests => "least requests",
            Self::PrefixHash => "prefix hash",
            Self::Router => "router",
        }
    }
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::DriftingPrefixes,
        Self::OneSlow,
        Self::OneStalled,
        Self::OneRefusing,
        Self::Rush,
        Self::Outage,
    ];

    /// Returns the name that plots show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::DriftingPrefixes => "drifting prefixes",
            Self::OneSlow => "one slow",
            Self::OneStalled => "one stalled",
            Self::OneRefusing => "one refusing",
            Self::Rush => "rush at 1.3 x",
            Self::Outage => "outage of 5 s",
        }
    }
}
