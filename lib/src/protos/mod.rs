//! Generated code for the messages and settings, beside their schemas.

#![allow(missing_docs, clippy::pedantic)]

/// Messages between processes.
pub mod control {
    include!("pomeloramp.control.rs");
}

/// Settings of the daemon.
pub mod settings {
    include!("pomeloramp.settings.rs");
}

/// Documents that operators publish.
pub mod template {
    include!("pomeloramp.template.rs");
}
