//! Datagrams between the agents of a rank group of the direct path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prost::Message;
use tokio::net::UdpSocket;

use crate::MapReply;
use crate::MapRequest;
use crate::protos::control::GossipMessage;
use crate::protos::control::RankDatagram;
use crate::protos::control::RankOrigin;
use crate::protos::control::RankReply;
use crate::protos::control::RankRequest;
use crate::protos::control::rank_datagram::Content;
use crate::protos::control::rank_reply;
use crate::protos::control::rank_request;
use crate::rank_command::MapOrigin;
use crate::rank_command::OutboundRequest;

/// The datagram socket of an agent and the socket addresses of the other ranks' agents.
#[derive(Debug, Clone)]
pub(crate) struct RankDatagrams {
    socket: Arc<UdpSocket>,
    addresses: Arc<Mutex<HashMap<u32, SocketAddr>>>,
}

impl RankDatagrams {
    pub(crate) fn new(socket: UdpSocket) -> Self {
        Self {
            socket: Arc::new(socket),
            addresses: Arc::default(),
        }
    }

    /// Receives a datagram and its source address; `None` if receiving or decoding fails.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> Option<(RankDatagram, SocketAddr)> {
        let (length, from) = match self.socket.recv_from(buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("receiving a datagram from a rank: {error}");
                return None;
            }
        };
        let decoded = RankDatagram::decode(&buffer[..length]);
        decoded
            .inspect_err(|error| log::debug!("decoding a datagram from {from}: {error}"))
            .ok()
            .map(|datagram| (datagram, from))
    }

    /// Records the address of the agent of a rank.
    pub(crate) fn set_address(&self, rank: u32, address: SocketAddr) {
        self.lock_addresses().insert(rank, address);
    }

    /// Removes all recorded addresses, since the engine now belongs to another rank or group.
    pub(crate) fn clear_addresses(&self) {
        self.lock_addresses().clear();
    }

    /// Returns the address of the agent of a rank, if it is recorded.
    pub(crate) fn address(&self, rank: u32) -> Option<SocketAddr> {
        self.lock_addresses().get(&rank).copied()
    }

    /// Sends a datagram to the agent of a rank, if its address is recorded.
    pub(crate) async fn send(&self, rank: u32, datagram: &RankDatagram) {
        match self.address(rank) {
            Some(address) => self.send_to(address, datagram).await,
            None => log::debug!("the address of the agent of rank {rank} is unknown"),
        }
    }

    /// Sends a gossip message to an entry.
    pub(crate) async fn send_to_entry(&self, address: SocketAddr, message: &GossipMessage) {
        self.send_bytes(address, &message.encode_to_vec()).await;
    }

    /// Sends a datagram to an address.
    pub(crate) async fn send_to(&self, address: SocketAddr, datagram: &RankDatagram) {
        self.send_bytes(address, &datagram.encode_to_vec()).await;
    }

    async fn send_bytes(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, address).await {
            log::debug!("sending a datagram to {address}: {error}");
        }
    }

    fn lock_addresses(&self) -> std::sync::MutexGuard<'_, HashMap<u32, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Encodes a map request as the content of a datagram.
pub(crate) fn request_content(outbound: &OutboundRequest) -> Content {
    let request = match &outbound.request {
        MapRequest::Prepare(request) => rank_request::Request::Prepare(request.clone()),
        MapRequest::Decide(request) => rank_request::Request::Decide(*request),
        MapRequest::State(request) => rank_request::Request::State(*request),
    };
    Content::Ask(RankRequest {
        origin: Some(encode_origin(outbound.origin)),
        request: Some(request),
    })
}

/// Decodes a map request; `None` if a required field is missing.
pub(crate) fn decode_request(message: RankRequest) -> Option<(RankOrigin, MapRequest)> {
    let request = match message.request? {
        rank_request::Request::Prepare(request) => MapRequest::Prepare(request),
        rank_request::Request::Decide(request) => MapRequest::Decide(request),
        rank_request::Request::State(request) => MapRequest::State(request),
    };
    Some((message.origin?, request))
}

/// Encodes a reply to a request that came from `origin` as the content of a datagram.
pub(crate) fn reply_content(origin: RankOrigin, reply: MapReply) -> Content {
    let reply = match reply {
        MapReply::Prepare(reply) => rank_reply::Reply::Prepare(reply),
        MapReply::Decide(reply) => rank_reply::Reply::Decide(reply),
        MapReply::State(reply) => rank_reply::Reply::State(reply),
    };
    Content::Answer(RankReply {
        origin: Some(origin),
        reply: Some(reply),
    })
}

/// Decodes a reply and the component of this agent that sent the request; `None` if a required
/// field is missing.
pub(crate) fn decode_reply(message: RankReply) -> Option<(MapOrigin, MapReply)> {
    let reply = match message.reply? {
        rank_reply::Reply::Prepare(reply) => MapReply::Prepare(reply),
        rank_reply::Reply::Decide(reply) => MapReply::Decide(reply),
        rank_reply::Reply::State(reply) => MapReply::State(reply),
    };
    let origin = message.origin?;
    let origin = if origin.is_run {
        MapOrigin::Coordinator {
            nonce: origin.nonce,
            call_id: origin.call,
        }
    } else {
        MapOrigin::Participant
    };
    Some((origin, reply))
}

fn encode_origin(origin: MapOrigin) -> RankOrigin {
    match origin {
        MapOrigin::Participant => RankOrigin::default(),
        MapOrigin::Coordinator { nonce, call_id } => RankOrigin {
            is_run: true,
            nonce,
            call: call_id,
        },
    }
}
