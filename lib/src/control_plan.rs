//! What the control traffic of an entry does next.

use pomeloramp_proc_macros::value;

/// An agent that is due a heartbeat.
#[value]
pub(crate) struct HeartbeatTarget {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
    /// The platform's list marks the VM as leaving.
    pub(crate) is_listed_leaving: bool,
    /// Digest of what the heartbeat tells.
    pub(crate) update_digest: u64,
}

/// Another entry.
#[value]
pub(crate) struct PeerTarget {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
}

/// What the control traffic of an entry does next.
#[value]
pub(crate) struct ControlPlan {
    /// The platform's list has been read at least once.
    pub(crate) has_list: bool,
    /// VMs on the list.
    pub(crate) listed_vms: usize,
    pub(crate) heartbeats: Vec<HeartbeatTarget>,
    /// This entry watches the configuration service for its availability zone.
    pub(crate) is_reader: bool,
    /// Other entries of the availability zone that watch the service.
    pub(crate) readers: Vec<PeerTarget>,
    /// Other entries that are not known to be gone.
    pub(crate) peers: Vec<PeerTarget>,
}
