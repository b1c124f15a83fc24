//! The next control traffic of an entry.

use pomeloramp_proc_macros::value;

/// An agent to which a heartbeat is due.
#[value]
pub(crate) struct HeartbeatTarget {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
    /// The platform's list marks the VM as leaving.
    pub(crate) is_listed_leaving: bool,
    /// Digest of the state that the heartbeat carries.
    pub(crate) update_digest: u64,
}

/// Another entry of the fleet.
#[value]
pub(crate) struct PeerTarget {
    pub(crate) vm_name: String,
    pub(crate) peer_address: String,
}

/// The next control traffic of an entry: due heartbeats, and the entries to exchange
/// configuration with.
#[value]
pub(crate) struct ControlPlan {
    /// The platform's list has been read at least once.
    pub(crate) has_list: bool,
    /// Number of VMs on the list.
    pub(crate) listed_vms: usize,
    pub(crate) heartbeats: Vec<HeartbeatTarget>,
    /// This entry watches the configuration service for its availability zone.
    pub(crate) is_reader: bool,
    /// Other entries of the availability zone that watch the service.
    pub(crate) readers: Vec<PeerTarget>,
    /// Other entries that are not leaving and have not failed to answer a recent exchange.
    pub(crate) peers: Vec<PeerTarget>,
}
