//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod incarnation;
mod outcome;
pub mod protos;

pub use incarnation::Incarnation;
pub use outcome::Outcome;
