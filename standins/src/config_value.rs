//! One value of the configuration service.

use pomeloramp_proc_macros::document;

/// One value of the configuration service, as its readers see it.
#[document]
pub(crate) struct ConfigValue {
    pub(crate) key: String,
    /// Revision of the store at which the value last changed.
    pub(crate) revision: u64,
    /// Text of the value, empty when it was deleted.
    pub(crate) value: String,
}
