//! Configuration changes that one process sends to another.

use crate::protos::control::ConfigPatch;
use crate::protos::control::ConfigValue;

/// Configuration changes that bring another process's copy up to date.
///
/// The receiver must apply whole values before patches, and each list in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigChanges {
    /// Whole values, in ascending order of revision.
    pub values: Vec<ConfigValue>,
    /// Patches to values that the receiver already has, in ascending order of revision.
    pub patches: Vec<ConfigPatch>,
    /// Whether changes with higher revisions were left out to limit the message size.
    pub has_more: bool,
}
