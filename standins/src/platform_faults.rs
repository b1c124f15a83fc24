//! Faults that tests switch on at the platform.

use serde::Deserialize;
use serde::Serialize;

/// How one of the platform's services misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ServiceFault {
    /// The service works.
    #[default]
    None,
    /// Every call is answered 503.
    Down,
    /// Reads see the state of the moment at which the fault was set.
    Stale,
    /// Reads of the configuration see the state before its latest publication.
    Previous,
    /// Every call waits before it is answered.
    Slow,
}

/// Faults to set; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PlatformFaults {
    pub(crate) config: Option<ServiceFault>,
    pub(crate) vm_list: Option<ServiceFault>,
    pub(crate) slow_ms: Option<u64>,
    pub(crate) vm_list_lag_ms: Option<u64>,
}
