//! Decides when a newly started process may serve with its copy of the configuration.

use std::collections::BTreeMap;

use pomeloramp_proc_macros::key;

/// Whether a newly started process may serve.
#[key]
pub enum StartupDecision {
    /// Continue exchanging: a peer may have a later revision than the configuration service
    /// returns.
    Wait,
    /// Serve: the values of the peers are applied, or no peer is serving.
    Serve,
}

#[key]
enum PeerState {
    /// Has not answered yet.
    Pending,
    /// Answered while serving with its own copy.
    Answered,
    /// Refused the connection, or is starting as well.
    Absent,
}

/// Prevents a newly started process from serving before it has the configuration of its peers.
///
/// The configuration service may be stale, so its answer alone does not prove that a revision is
/// the latest. A peer that does not answer may have a later revision, so a process that can reach
/// none of its peers waits without limit. Once one serving peer has answered, the process waits for
/// the other peers only until the deadline.
#[derive(Debug)]
pub struct ConfigStartupGate {
    deadline_ms: u64,
    service_answered: bool,
    peers: BTreeMap<Box<str>, PeerState>,
}

impl ConfigStartupGate {
    /// Creates a gate that, once one serving peer has answered, waits for the others at most until
    /// `deadline_ms`.
    #[must_use]
    pub fn new(deadline_ms: u64) -> Self {
        Self {
            deadline_ms,
            service_answered: false,
            peers: BTreeMap::new(),
        }
    }

    /// Adds a peer whose answer is awaited; call it for each peer of the VM list before any answer.
    pub fn expect_peer(&mut self, vm_name: &str) {
        self.peers
            .entry(vm_name.into())
            .or_insert(PeerState::Pending);
    }

    /// Records that all newer values of a serving peer were received and applied.
    pub fn peer_answered(&mut self, vm_name: &str) {
        self.peers.insert(vm_name.into(), PeerState::Answered);
    }

    /// Records that a peer's address refused the connection, or that the peer is starting as well.
    pub fn peer_absent(&mut self, vm_name: &str) {
        self.peers.insert(vm_name.into(), PeerState::Absent);
    }

    /// Removes a peer that is no longer in the VM list.
    pub fn peer_removed(&mut self, vm_name: &str) {
        self.peers.remove(vm_name);
    }

    /// Records that all values of the configuration service were received and applied.
    pub fn service_answered(&mut self) {
        self.service_answered = true;
    }

    /// Decides whether the process may serve.
    #[must_use]
    pub fn decide(&self, now_ms: u64) -> StartupDecision {
        let any = |state| self.peers.values().any(|peer| *peer == state);
        let is_pending = any(PeerState::Pending);
        let is_ready = if any(PeerState::Answered) {
            !is_pending || now_ms >= self.deadline_ms
        } else {
            !is_pending && self.service_answered
        };
        if is_ready {
            StartupDecision::Serve
        } else {
            StartupDecision::Wait
        }
    }
}
