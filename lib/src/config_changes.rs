//! What one process sends another to bring its copy of the configuration up to date.

use crate::protos::control::ConfigPatch;
use crate::protos::control::ConfigValue;

/// What one process sends another to bring its copy of the configuration up to date.
///
/// Whole values are to be taken before the patches, each in its order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigChanges {
    /// Whole values, by ascending revision.
    pub values: Vec<ConfigValue>,
    /// Changes of values that the receiver holds, by ascending revision.
    pub patches: Vec<ConfigPatch>,
    /// Changes with higher revisions were left out.
    pub has_more: bool,
}
