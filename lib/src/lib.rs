//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod admission;
mod connection_action;
mod dispatch;
mod endpoint_subset;
mod fair_queue;
mod fair_queue_settings;
mod idle_account;
mod idle_ledger;
mod incarnation;
mod lent_time;
mod listed_vm;
mod member;
mod member_state;
mod member_word;
mod membership;
mod membership_settings;
mod organisation_queue;
mod outcome;
mod ownership_rotation;
pub mod protos;
mod queue_order;
mod queue_place;
mod queued_request;
mod reader_election;
mod reader_election_settings;
mod refusal_code;
mod rendezvous;
mod request_number;
mod running_request;
mod running_requests;
mod share_rate;
mod silent_connection;
mod slot_account;
mod started_request;
mod word_effect;

pub use admission::Admission;
pub use connection_action::ConnectionAction;
pub use dispatch::Dispatch;
pub use endpoint_subset::EndpointSubset;
pub use fair_queue::FairQueue;
pub use fair_queue_settings::FairQueueSettings;
pub use idle_account::IdleAccount;
pub use idle_ledger::IdleLedger;
pub use incarnation::Incarnation;
pub use lent_time::LentTime;
pub use listed_vm::ListedVm;
pub use member::Member;
pub use member_state::MemberState;
pub use member_word::MemberWord;
pub use membership::Membership;
pub use membership_settings::MembershipSettings;
pub use outcome::Outcome;
pub use queued_request::QueuedRequest;
pub use reader_election::ReaderElection;
pub use reader_election_settings::ReaderElectionSettings;
pub use refusal_code::RefusalCode;
pub use request_number::RequestNumber;
pub use silent_connection::SilentConnection;
pub use slot_account::SlotAccount;
pub use started_request::StartedRequest;
pub use word_effect::WordEffect;
