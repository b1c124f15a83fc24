//! What an entry knows of an entry, itself included.

use pomeloramp_proc_macros::value;

/// What an entry knows of an entry, itself included.
#[value]
#[derive(Copy)]
pub struct EntryRecord<'a> {
    /// Name of the VM, the same at all entries.
    pub vm_name: &'a str,
    /// IP address and port on which callers connect.
    pub caller_address: &'a str,
    /// Availability zone of the VM.
    pub availability_zone: &'a str,
    /// The entry shuts down.
    pub leaving: bool,
    /// The entry has not been heard for too long.
    pub suspected: bool,
}
