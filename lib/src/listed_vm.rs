//! One row of the platform's VM list.

use pomeloramp_proc_macros::value;

/// One row of the platform's VM list, which lags behind reality.
#[value]
pub struct ListedVm {
    /// Name of the VM.
    pub vm_name: String,
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// IP address and port of the process on the VM.
    pub peer_address: String,
    /// Service of the endpoint on the VM, empty for entry VMs.
    pub service: String,
    /// The platform means to remove the VM.
    pub leaving: bool,
}
