//! Numbered log events of the programs.

use std::fmt;

use log::Level;

/// Declares the events with their numbers, levels and texts.
macro_rules! events {
    ($($name:ident = $number:literal $level:ident $text:literal,)*) => {
        /// Log event for operators; `docs/events.md` lists all events.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Event {
            $(
                #[doc = $text]
                $name,
            )*
        }

        impl Event {
            /// All events, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number, whose meaning never changes.
            #[must_use]
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// Returns the name of the variant.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns the text with which every record of the event begins.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    EntryStarted = 1 Info "entry daemon started",
    AgentStarted = 2 Info "agent started",
    SettingsRefused = 3 Error "settings refused",
    ListenFailed = 4 Error "listening failed",
    DrainStarted = 5 Info "drain started",
    DrainFinished = 6 Info "drain finished",
    StoppedAtOnce = 7 Warn "stopped with requests in flight",
    Listening = 8 Info "listening on an interface",
    DrainClosing = 9 Info "entry stops accepting connections",
    CallOutlastsDrain = 10 Warn "call in flight at the end of a drain",

    ConfigAccepted = 101 Info "document accepted",
    ConfigRefused = 102 Warn "document refused",
    ConfigServiceFailed = 103 Warn "reading the configuration service failed",
    ConfigFromPeer = 105 Info "configuration received from a peer",
    ConfigReaderStarted = 106 Info "this process started reading the configuration service",
    ConfigReaderStopped = 107 Info "this process stopped reading the configuration service",

    VmListFailed = 201 Warn "reading the VM list failed",
    AgentFound = 203 Info "agent found, or found restarted",
    AgentSuspected = 204 Warn "agent suspected",
    AgentRecovered = 205 Info "agent answers again",
    AgentLeaving = 207 Info "agent is leaving",
    EndpointsFromPeer = 208 Info "list of endpoints received from a peer",
    EndpointsListed = 209 Info "first list of endpoints applied",
    EndpointJoined = 210 Info "endpoint added to the list",
    EndpointLeaving = 211 Info "endpoint is leaving",
    EndpointKept = 212 Warn "endpoint missing from the list is kept temporarily",
    EndpointGone = 213 Info "endpoint removed from the list",
    PlatformHeard = 214 Info "platform answers again",
    WatchFailed = 215 Info "watch on the platform failed",
    PlatformRestored = 216 Warn "platform was restored from an older copy",
    EndpointHeldBack = 217 Info "endpoint that has left is listed again by a restored platform",
    ItemLeftOut = 218 Warn "item of the platform can't be used",

    OutcomeUnknown = 301 Warn "outcome of a request is unknown",
    RequestRetried = 302 Debug "request retried elsewhere",
    StreamResumed = 303 Info "stream resumed at another endpoint",
    AnswerDamaged = 304 Warn "frames of an answer failed their check",
    PlacementRefused = 305 Warn "placement refused",
    ConnectionsFull = 307 Warn "connection limit reached",
    HeadTimedOut = 308 Debug "caller did not send a request head in time",
    CredentialRefused = 309 Info "credential refused",
    RetryBudgetSpent = 310 Warn "retry budget spent",

    EndpointUp = 401 Info "endpoint answers",
    EndpointDown = 402 Warn "endpoint does not answer",
    EndpointCrashed = 403 Error "endpoint aborted requests",
    ContentQuarantined = 404 Warn "content quarantined",
    CallAtCrash = 405 Info "call was at an endpoint that crashed",
    SuspectQuarantined = 406 Warn "content or part of prompts quarantined on the direct path",

    RankGroupFormed = 501 Info "rank group formed, or loaded after a start",
    MapInUse = 502 Info "expert map in use",
    RankHeld = 503 Warn "rank waits at the switch step of an expert map",
    MapRecoveryStarted = 504 Warn "resolving an undecided expert map",
    RankEngineLost = 505 Warn "engine of the rank does not answer",
    OrderFenced = 506 Warn "engine refused the fencing token of an order",
    MapAborted = 507 Info "expert map aborted",
    PlanEnded = 508 Info "plan for an expert map ended",
    PlanFailed = 509 Warn "plan for an expert map failed",
    PlannerStarted = 510 Info "this agent started planning the expert maps of its group",
    PlannerStopped = 511 Info "this agent stopped planning the expert maps of its group",
    MapPlanned = 512 Info "expert map planned",
    DecisionCarriedOut = 513 Warn "decision on an expert map executed for an unresponsive agent",
    EngineOrdered = 514 Info "order sent to an engine",

    CallSent = 601 Info "call sent to an endpoint",
    CallRetried = 602 Info "call sent again",
    CallFailed = 603 Warn "call abandoned",
    CallRefused = 604 Info "call refused for lack of capacity",
    CallRejected = 605 Info "call rejected by validation",
    CallEnded = 606 Info "call ended",
    GroupStoodStill = 607 Warn "rank group is stalled or down",
    GroupMoved = 608 Info "rank group makes progress again",
    SlowEndpoints = 609 Info "set of slow endpoints changed",
    LimitNamed = 610 Warn "endpoint names a limit on its calls",
    LimitLifted = 611 Info "endpoint names no limit any more",
    LimitInvalid = 612 Warn "endpoint names a limit that is invalid",
    LimitInForce = 613 Info "limit of an endpoint in force",
    CallNotTaken = 614 Info "call refused by an entry that shuts down",
    PauseAsked = 615 Warn "endpoint wants no calls for some time",
    PauseInvalid = 616 Warn "endpoint names an invalid time without calls",
    PauseInForce = 617 Info "endpoint is in a time without calls",
    EndpointSaysLeaving = 618 Info "endpoint says that it leaves",
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "E{:04}", self.number())
    }
}

/// Logs `event` with the details of this occurrence.
pub fn log_event(event: Event, details: fmt::Arguments<'_>) {
    let text = event.text();
    match details.as_str() {
        Some("") => log::log!(target: "pomeloramp", event.level(), "{event} {text}"),
        _ => log::log!(target: "pomeloramp", event.level(), "{event} {text}: {details}"),
    }
}

/// Logs a numbered event: `event!(AgentSuspected, "vm_name={vm_name}")`.
#[macro_export]
macro_rules! event {
    ($name:ident) => {
        $crate::log_event($crate::Event::$name, ::std::format_args!(""))
    };
    ($name:ident, $($details:tt)+) => {
        $crate::log_event($crate::Event::$name, ::std::format_args!($($details)+))
    };
}
