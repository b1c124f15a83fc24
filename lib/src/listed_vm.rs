//! One row of the platform's VM list.

use pomeloramp_proc_macros::value;

/// One row of the platform's VM list, which lags behind the actual state of the VMs.
#[value]
pub struct ListedVm {
    /// Name of the VM.
    pub vm_name: String,
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// IP address and port on which the process on the VM serves other processes.
    pub peer_address: String,
    /// Service of the endpoint on the VM, empty for entry VMs.
    pub service: String,
    /// The platform is about to remove the VM.
    pub leaving: bool,
}
