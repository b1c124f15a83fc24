//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod admission;
mod dispatch;
mod fair_queue;
mod fair_queue_settings;
mod incarnation;
mod organisation_queue;
mod outcome;
pub mod protos;
mod queue_order;
mod queue_place;
mod queued_request;
mod refusal_code;
mod request_number;
mod running_request;
mod running_requests;
mod share_rate;
mod slot_account;
mod started_request;

pub use admission::Admission;
pub use dispatch::Dispatch;
pub use fair_queue::FairQueue;
pub use fair_queue_settings::FairQueueSettings;
pub use incarnation::Incarnation;
pub use outcome::Outcome;
pub use queued_request::QueuedRequest;
pub use refusal_code::RefusalCode;
pub use request_number::RequestNumber;
pub use slot_account::SlotAccount;
pub use started_request::StartedRequest;
