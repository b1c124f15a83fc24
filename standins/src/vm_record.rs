//! One entry of the VM list.

use pomeloramp_proc_macros::document;

/// One entry of the VM list; fields may be empty.
#[document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct VmRecord {
    pub(crate) vm_name: String,
    pub(crate) region: String,
    pub(crate) availability_zone: String,
    /// "entry" or "endpoint".
    pub(crate) role: String,
    pub(crate) caller_address: String,
    pub(crate) peer_address: String,
    pub(crate) service: String,
    /// "live" or "leaving".
    pub(crate) state: String,
}
