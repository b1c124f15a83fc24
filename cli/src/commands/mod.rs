//! The commands, one a module.

pub(crate) mod check;
pub(crate) mod draining;
pub(crate) mod idle;
pub(crate) mod members;
pub(crate) mod quarantine;
pub(crate) mod ranks;
pub(crate) mod render;
pub(crate) mod revisions;
pub(crate) mod status;

/// The names of all commands.
pub(crate) const NAMES: [&str; 9] = [
    "check",
    "render",
    "status",
    "members",
    "revisions",
    "draining",
    "quarantine",
    "idle",
    "ranks",
];
