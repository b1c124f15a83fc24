//! Decisions, messages and services of the pomeloramp load balancer.
//!
//! Decisions are plain state machines: events and the time go in, actions come out. Threads and
//! sockets live in modules of their own and drive them.

mod block_hash;
mod block_queue;
mod cache_event;
mod cached_prefix;
mod endpoint_flags;
mod endpoint_id;
mod endpoint_view;
mod incarnation;
mod outcome;
mod prefix_chain;
mod prefix_index;
mod prefix_index_settings;
pub mod protos;
mod refusal_code;
mod retry_budget;
mod route_choice;
mod route_request;
mod router;
mod router_settings;
mod send_ticket;

pub use block_hash::BlockHash;
pub use cache_event::CacheEvent;
pub use cached_prefix::CachedPrefix;
pub use endpoint_flags::EndpointFlags;
pub use endpoint_id::EndpointId;
pub use incarnation::Incarnation;
pub use outcome::Outcome;
pub use prefix_chain::PrefixChain;
pub use prefix_index::PrefixIndex;
pub use prefix_index_settings::PrefixIndexSettings;
pub use refusal_code::RefusalCode;
pub use retry_budget::RetryBudget;
pub use route_choice::RouteChoice;
pub use route_request::RouteRequest;
pub use router::Router;
pub use router_settings::MAX_URGENCY;
pub use router_settings::RouterSettings;
pub use send_ticket::SendTicket;
