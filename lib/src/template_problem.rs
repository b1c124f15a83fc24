//! One reason to refuse a template.

use std::fmt;

use pomeloramp_proc_macros::value;

use crate::YamlLocation;

/// One reason to refuse a template.
#[value]
pub struct TemplateProblem {
    /// Where the offending value stands.
    pub location: YamlLocation,
    /// Path of the value, for instance `organisations[2].urgency`; empty if it is not known.
    pub path: String,
    /// What is wrong with it.
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
