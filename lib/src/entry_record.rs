//! An entry as seen by an entry, which may be itself.

use pomeloramp_proc_macros::value;

/// An entry as seen by an entry, which may be itself.
#[value]
#[derive(Copy)]
pub struct EntryRecord<'a> {
    /// Name of the VM; all entries know it by the same name.
    pub vm_name: &'a str,
    /// IP address and port on which callers connect.
    pub caller_address: &'a str,
    /// Availability zone of the VM.
    pub availability_zone: &'a str,
    /// The entry is shutting down.
    pub leaving: bool,
    /// The entry is suspected of having failed.
    pub suspected: bool,
}
