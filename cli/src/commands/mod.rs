//! The commands, one a module.

pub(crate) mod draining;
pub(crate) mod idle;
pub(crate) mod members;
pub(crate) mod quarantine;
pub(crate) mod revisions;
pub(crate) mod status;

/// The names of all commands.
pub(crate) const NAMES: [&str; 6] = [
    "status",
    "members",
    "revisions",
    "draining",
    "quarantine",
    "idle",
];
