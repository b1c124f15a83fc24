//! State shared by the handlers of calls that an entry sends to endpoints directly.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::AnswerTimes;
use crate::CallTimes;
use crate::Clock;
use crate::DirectProtocol;
use crate::EndpointFeed;
use crate::Metrics;
use crate::RouteRule;
use crate::RouteTable;
use crate::actor::Actor;
use crate::as_ms::as_ms;
use crate::calls_in_flight::CallsInFlight;
use crate::crash_tracker::CrashTracker;
use crate::direct_actor::DirectCommand;
use crate::direct_actor::PauseSamples;
use crate::entry_drain::EntryDrain;
use crate::in_flight::InFlightCounter;

/// State shared by the handlers of calls that an entry sends to endpoints directly.
pub(crate) struct DirectState {
    pub(crate) clock: Clock,
    /// The configuration in force; absent until the first one is read.
    pub(crate) table: ArcSwapOption<RouteTable>,
    pub(crate) dispatcher: Actor<DirectCommand>,
    pub(crate) endpoints: EndpointFeed,
    pub(crate) pauses: PauseSamples,
    /// Ids of the endpoints that are slow while other endpoints of their service are not.
    pub(crate) slow_endpoints: watch::Receiver<HashSet<String>>,
    /// Services whose rank groups are down.
    pub(crate) down_services: watch::Receiver<BTreeSet<String>>,
    pub(crate) crash_tracker: CrashTracker,
    pub(crate) protocol: DirectProtocol,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: InFlightCounter,
    /// The calls in flight whose requests were read.
    pub(crate) calls: CallsInFlight,
    pub(crate) drain: Arc<EntryDrain>,
    pub(crate) call_times: CallTimes,
    pub(crate) answer_times: AnswerTimes,
    /// Whether other entries take new work.
    pub(crate) has_serving_peers: AtomicBool,
    /// Number of the next call.
    pub(crate) next_call: AtomicU64,
}

impl DirectState {
    /// Returns a number for a call, unique in this process.
    pub(crate) fn call_number(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the configuration in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Returns the longest time that the latest calls of a route took, for the log.
    pub(crate) fn longest_call_ms(&self, rule: &RouteRule) -> String {
        let timeout = Duration::from_millis(rule.timeout_ms);
        let longest = self.call_times.longest(&rule.name, timeout);
        longest.map_or("unknown".to_owned(), |time| as_ms(time).to_string())
    }

    /// Returns the retry delay of a call that this draining entry refuses: none if another entry takes
    /// it, else the time until a process that replaces this one takes calls.
    pub(crate) fn retry_elsewhere_ms(&self) -> u64 {
        if self.has_serving_peers.load(Ordering::Relaxed) {
            return 0;
        }
        let draining = self.drain.elapsed().unwrap_or_default();
        as_ms(self.drain.policy().time_until_replaced(draining))
    }
}
