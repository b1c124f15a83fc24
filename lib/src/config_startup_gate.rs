//! When a newly started process may serve with its copy of the configuration.

use std::collections::BTreeMap;

use pomeloramp_proc_macros::key;

/// What a newly started process may do.
#[key]
pub enum StartupDecision {
    /// Ask on: a peer may hold a later revision than the configuration service serves.
    Wait,
    /// Serve: what peers hold was taken, or there is no peer.
    Serve,
}

#[key]
enum PeerState {
    Asked,
    /// Answered, while serving with its own copy.
    Answered,
    /// Nobody listens at its address, or the process there is starting as well.
    Absent,
}

/// Keeps a newly started process from serving before its peers told what they have in force.
///
/// The configuration service may be stale, so its answer alone is no proof that a revision is the
/// latest. A peer that is silent may know more, so silence never counts as consent: a process
/// that can reach none of its peers waits. Once one serving peer has answered, the silent ones are
/// waited for until the deadline only.
#[derive(Debug)]
pub struct ConfigStartupGate {
    deadline_ms: u64,
    service_answered: bool,
    peers: BTreeMap<Box<str>, PeerState>,
}

impl ConfigStartupGate {
    /// Begins to wait, for silent peers at most until `deadline_ms` once one has answered.
    #[must_use]
    pub fn new(deadline_ms: u64) -> Self {
        Self {
            deadline_ms,
            service_answered: false,
            peers: BTreeMap::new(),
        }
    }

    /// Notes that a peer was asked; call it for each peer of the VM list before any answer.
    pub fn expect_peer(&mut self, vm_name: &str) {
        self.peers.entry(vm_name.into()).or_insert(PeerState::Asked);
    }

    /// Notes that a serving peer told all it has, and that it was taken.
    pub fn peer_answered(&mut self, vm_name: &str) {
        self.peers.insert(vm_name.into(), PeerState::Answered);
    }

    /// Notes that a peer's address refused the connection, or that the peer is starting as well.
    pub fn peer_absent(&mut self, vm_name: &str) {
        self.peers.insert(vm_name.into(), PeerState::Absent);
    }

    /// Notes that the VM list does not hold a peer any more.
    pub fn peer_removed(&mut self, vm_name: &str) {
        self.peers.remove(vm_name);
    }

    /// Notes that the configuration service told all it has, and that it was taken.
    pub fn service_answered(&mut self) {
        self.service_answered = true;
    }

    /// Decides whether to serve.
    #[must_use]
    pub fn decide(&self, now_ms: u64) -> StartupDecision {
        let any = |state| self.peers.values().any(|peer| *peer == state);
        let silent = any(PeerState::Asked);
        let ready = if any(PeerState::Answered) {
            !silent || now_ms >= self.deadline_ms
        } else {
            !silent && self.service_answered
        };
        if ready {
            StartupDecision::Serve
        } else {
            StartupDecision::Wait
        }
    }
}
