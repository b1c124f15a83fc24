//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod attempt_number;
mod attempt_policy;
mod call_attempt;
mod call_decision;
mod call_key;
mod call_occupancy;
mod call_record;
mod call_registry;
mod call_registry_settings;
mod digest_horizon;
mod frame_assembler;
mod frame_error;
mod frame_event;
mod frame_writer;
mod incarnation;
mod outcome;
mod placement;
mod placement_error;
pub mod protos;
mod refusal;
mod refusal_code;
mod retry_advice;
mod stored_answer;
mod void_table;

pub use attempt_number::AttemptNumber;
pub use attempt_number::AttemptNumberError;
pub use attempt_policy::AttemptPolicy;
pub use call_attempt::CallAttempt;
pub use call_decision::CallDecision;
pub use call_key::CallKey;
pub use call_occupancy::CallOccupancy;
pub use call_registry::CallRegistry;
pub use call_registry_settings::CallRegistrySettings;
pub use frame_assembler::FrameAssembler;
pub use frame_error::FrameError;
pub use frame_event::FrameEvent;
pub use frame_writer::FrameWriter;
pub use incarnation::Incarnation;
pub use outcome::Outcome;
pub use placement::Placement;
pub use placement_error::PlacementError;
pub use refusal::Refusal;
pub use refusal_code::RefusalCode;
pub use retry_advice::RetryAdvice;
pub use stored_answer::StoredAnswer;
