//! Problem for which a template is refused.

use std::fmt;

use pomeloramp_proc_macros::value;

use crate::YamlLocation;

/// One problem for which a template is refused.
#[value]
pub struct TemplateProblem {
    /// Location of the invalid value.
    pub location: YamlLocation,
    /// Path of the value, for instance `organisations[2].urgency`; empty if unknown.
    pub path: String,
    /// Description of the problem.
    pub message: String,
}

impl fmt::Display for TemplateProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.location)?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.message)
    }
}
