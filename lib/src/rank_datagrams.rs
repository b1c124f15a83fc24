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

/// The socket of an agent, with the addresses of the other ranks' agents.
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

    /// Waits for a datagram; one that can't be read is `None`.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> Option<(RankDatagram, SocketAddr)> {
        let (length, from) = match self.socket.recv_from(buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("datagram of a rank: {error}");
                return None;
            }
        };
        let decoded = RankDatagram::decode(&buffer[..length]);
        decoded
            .inspect_err(|error| log::debug!("datagram of {from}: {error}"))
            .ok()
            .map(|datagram| (datagram, from))
    }

    /// Notes where the agent of a rank is.
    pub(crate) fn learn(&self, rank: u32, address: SocketAddr) {
        self.lock().insert(rank, address);
    }

    /// Forgets the ranks, whose group is formed anew with others.
    pub(crate) fn clear_addresses(&self) {
        self.lock().clear();
    }

    /// Returns where the agent of a rank is, if it is known.
    pub(crate) fn address(&self, rank: u32) -> Option<SocketAddr> {
        self.lock().get(&rank).copied()
    }

    /// Sends to the agent of a rank, if it is known.
    pub(crate) async fn send(&self, rank: u32, datagram: &RankDatagram) {
        match self.address(rank) {
            Some(address) => self.send_to(address, datagram).await,
            None => log::debug!("agent of rank {rank} is not known"),
        }
    }

    /// Tells an entry.
    pub(crate) async fn send_to_entry(&self, address: SocketAddr, message: &GossipMessage) {
        self.send_bytes(address, &message.encode_to_vec()).await;
    }

    /// Sends to an address.
    pub(crate) async fn send_to(&self, address: SocketAddr, datagram: &RankDatagram) {
        self.send_bytes(address, &datagram.encode_to_vec()).await;
    }

    async fn send_bytes(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, address).await {
            log::debug!("datagram to {address}: {error}");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u32, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes a request of the agreement on maps.
pub(crate) fn ask_content(send: &OutboundRequest) -> Content {
    let request = match &send.request {
        MapRequest::Prepare(request) => rank_request::Request::Prepare(request.clone()),
        MapRequest::Decide(request) => rank_request::Request::Decide(*request),
        MapRequest::State(request) => rank_request::Request::State(*request),
    };
    Content::Ask(RankRequest {
        origin: Some(origin_message(send.origin)),
        request: Some(request),
    })
}

/// Reads a request of the agreement on maps.
pub(crate) fn request_of(ask: RankRequest) -> Option<(RankOrigin, MapRequest)> {
    let request = match ask.request? {
        rank_request::Request::Prepare(request) => MapRequest::Prepare(request),
        rank_request::Request::Decide(request) => MapRequest::Decide(request),
        rank_request::Request::State(request) => MapRequest::State(request),
    };
    Some((ask.origin?, request))
}

/// Writes an answer to a request that came from `origin`.
pub(crate) fn answer_content(origin: RankOrigin, reply: MapReply) -> Content {
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

/// Reads an answer with what of this agent had asked.
pub(crate) fn reply_of(answer: RankReply) -> Option<(MapOrigin, MapReply)> {
    let reply = match answer.reply? {
        rank_reply::Reply::Prepare(reply) => MapReply::Prepare(reply),
        rank_reply::Reply::Decide(reply) => MapReply::Decide(reply),
        rank_reply::Reply::State(reply) => MapReply::State(reply),
    };
    let origin = answer.origin?;
    let origin = if origin.is_run {
        MapOrigin::Run {
            nonce: origin.nonce,
            call_id: origin.call,
        }
    } else {
        MapOrigin::Rank
    };
    Some((origin, reply))
}

fn origin_message(origin: MapOrigin) -> RankOrigin {
    match origin {
        MapOrigin::Rank => RankOrigin::default(),
        MapOrigin::Run { nonce, call_id } => RankOrigin {
            is_run: true,
            nonce,
            call: call_id,
        },
    }
}
