//! A caller's request for entry addresses.

use bon::Builder;

/// A caller's request for entry addresses.
#[derive(Debug, Clone, Copy, Builder)]
pub struct AddressRequest<'a> {
    /// Identity of the caller; all entries give the same caller the same addresses.
    pub caller: &'a str,
    /// Availability zone of the caller, if it was given.
    pub availability_zone: Option<&'a str>,
    /// Maximum number of addresses in the answer.
    #[builder(default = 3)]
    pub max_addresses: usize,
    /// Longest time for which callers may cache an answer.
    #[builder(default = 10_000)]
    pub max_lifetime_ms: u64,
}
