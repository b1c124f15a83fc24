//! A caller's question for entry addresses.

use bon::Builder;

/// A caller's question for entry addresses.
#[derive(Debug, Clone, Copy, Builder)]
pub struct AddressRequest<'a> {
    /// Names the caller; the same caller is told the same addresses by all entries.
    pub caller: &'a str,
    /// The caller's availability zone, if it named one.
    pub availability_zone: Option<&'a str>,
    /// Addresses at most.
    #[builder(default = 3)]
    pub max_addresses: usize,
    /// Time for which callers keep an answer at most.
    #[builder(default = 10_000)]
    pub max_lifetime_ms: u64,
}
