//! What one call between two processes costs on the connection and in processor time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pomeloramp_lib::protos::control::CallFrame;
use pomeloramp_lib::protos::control::CallRequest;
use pomeloramp_lib::protos::control::ExchangeReply;
use pomeloramp_lib::protos::control::ExchangeRequest;
use pomeloramp_lib::protos::control::HeartbeatReply;
use pomeloramp_lib::protos::control::HeartbeatRequest;
use pomeloramp_lib::protos::control::KeyRevision;
use pomeloramp_lib::protos::control::LoadReport;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_lib::protos::control::StatusRequest;
use pomeloramp_lib::protos::control::agent_client::AgentClient;
use pomeloramp_lib::protos::control::agent_server::Agent;
use pomeloramp_lib::protos::control::agent_server::AgentServer;
use pomeloramp_lib::protos::control::peer_client::PeerClient;
use pomeloramp_lib::protos::control::peer_server::Peer;
use pomeloramp_lib::protos::control::peer_server::PeerServer;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::runtime::Runtime;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::Server;

use crate::cpu_time;

const CALLS: u64 = 5_000;
const IDLE_TIME: Duration = Duration::from_secs(10);

/// What one call costs.
#[derive(Debug, Clone)]
pub struct RpcCost {
    /// Encoded size of the request.
    pub request_bytes: usize,
    /// Encoded size of the reply.
    pub reply_bytes: usize,
    /// Bytes of HTTP/2 from the caller to the server.
    pub sent_bytes: u64,
    /// Bytes of HTTP/2 from the server to the caller.
    pub received_bytes: u64,
    /// Processor time of both ends together.
    pub cpu_ns: u64,
}

/// Returns a heartbeat as an entry of a large fleet sends it.
#[must_use]
pub fn heartbeat_request() -> HeartbeatRequest {
    HeartbeatRequest {
        from_vm: "entry-vm-00042".to_owned(),
        config_revision: 1_234_567,
        from_address: "10.0.1.42:7000".to_owned(),
        listed_leaving: false,
        quarantine_news: None,
        config_digest: u64::MAX / 5,
    }
}

/// Returns an answer to a heartbeat.
#[must_use]
pub fn heartbeat_reply(queued_requests: u64) -> HeartbeatReply {
    HeartbeatReply {
        vm_name: "endpoint-vm-01234".to_owned(),
        incarnation: u64::MAX / 3,
        clock_ms: 86_400_000,
        leaving: false,
        config_revision: 1_234_567,
        load: Some(LoadReport {
            running_requests: 12,
            queued_requests: u32::try_from(queued_requests).unwrap_or(0),
            queued_tokens: 40_000,
            capacity: 16,
            prefill_tokens_per_s: 20_000,
        }),
        service: "quote-draft".to_owned(),
        endpoint_up: true,
        quarantine_news: None,
        config_digest: u64::MAX / 5,
    }
}

fn exchange_request(keys: usize) -> ExchangeRequest {
    ExchangeRequest {
        from_vm: "entry-vm-00042".to_owned(),
        config_revision: 1_234_567,
        have: (0..keys)
            .map(|n| KeyRevision {
                key: format!("services/service-{n:02}"),
                revision: 1_234_567,
            })
            .collect(),
        quarantine_news: None,
        config_digest: u64::MAX / 5,
        asks_for_values: keys > 0,
        takes_patches: keys > 0,
    }
}

/// Returns an answer of a peer that has no news.
#[must_use]
pub fn exchange_reply() -> ExchangeReply {
    ExchangeReply {
        vm_name: "entry-vm-00043".to_owned(),
        incarnation: u64::MAX / 3,
        config_revision: 1_234_567,
        newer: Vec::new(),
        quarantine_news: None,
        leaving: false,
        config_digest: u64::MAX / 5,
        service_reached_ago_ms: Some(20),
        starting: false,
        patches: Vec::new(),
        has_more: false,
    }
}

/// Answers every call with a fixed message.
#[derive(Clone)]
struct FixedAnswers {
    exchange_reply: ExchangeReply,
}

#[tonic::async_trait]
impl Agent for FixedAnswers {
    async fn heartbeat(
        &self,
        _: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        Ok(Response::new(heartbeat_reply(3)))
    }

    type CallStream = tokio_stream::Empty<Result<CallFrame, Status>>;

    async fn call(&self, _: Request<CallRequest>) -> Result<Response<Self::CallStream>, Status> {
        Err(Status::unimplemented("heartbeats only"))
    }
}

#[tonic::async_trait]
impl Peer for FixedAnswers {
    async fn exchange(
        &self,
        _: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        Ok(Response::new(self.exchange_reply.clone()))
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        Err(Status::unimplemented("exchanges only"))
    }
}

/// Returns what one heartbeat costs, over loopback.
///
/// # Panics
///
/// Panics if loopback connections fail.
#[must_use]
pub fn heartbeat_cost() -> RpcCost {
    let measured = measure(&exchange_reply(), async |channel| {
        let mut client = AgentClient::new(channel);
        for _ in 0..CALLS {
            client
                .heartbeat(heartbeat_request())
                .await
                .expect("the server answers");
        }
    });
    RpcCost {
        request_bytes: heartbeat_request().encoded_len(),
        reply_bytes: heartbeat_reply(3).encoded_len(),
        ..measured
    }
}

/// Returns what one exchange with a peer costs that names so many keys and gets `reply`, over loopback.
///
/// # Panics
///
/// Panics if loopback connections fail.
#[must_use]
pub fn exchange_cost(keys: usize, reply: &ExchangeReply) -> RpcCost {
    let measured = measure(reply, async |channel| {
        let mut client = PeerClient::new(channel);
        for _ in 0..CALLS {
            client
                .exchange(exchange_request(keys))
                .await
                .expect("the server answers");
        }
    });
    RpcCost {
        request_bytes: exchange_request(keys).encoded_len(),
        reply_bytes: reply.encoded_len(),
        ..measured
    }
}

/// Returns the bytes a second, in both directions, of a connection that is only probed.
///
/// # Panics
///
/// Panics if loopback connections fail.
#[must_use]
pub fn idle_bytes_per_s(probe_interval: Duration) -> u64 {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let server = start_server(&exchange_reply()).await;
        let bytes = Arc::new(AtomicU64::new(0));
        let relay = start_relay(server, bytes.clone(), bytes.clone()).await;
        let channel = Endpoint::from_shared(format!("http://{relay}"))
            .expect("a valid address")
            .http2_keep_alive_interval(probe_interval)
            .keep_alive_while_idle(true)
            .connect()
            .await
            .expect("the server listens");
        tokio::time::sleep(probe_interval).await;
        let before = bytes.load(Ordering::Relaxed);
        tokio::time::sleep(IDLE_TIME).await;
        drop(channel);
        (bytes.load(Ordering::Relaxed) - before) / IDLE_TIME.as_secs()
    })
}

/// Counts the bytes of the calls through a relay, and their processor time without it.
fn measure(exchange_reply: &ExchangeReply, calls: impl AsyncFn(Channel)) -> RpcCost {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let server = start_server(exchange_reply).await;
        let sent_bytes = Arc::new(AtomicU64::new(0));
        let received_bytes = Arc::new(AtomicU64::new(0));
        let relay = start_relay(server, sent_bytes.clone(), received_bytes.clone()).await;
        calls(channel(relay).await).await;
        let direct = channel(server).await;
        calls(direct.clone()).await;
        let before_ns = cpu_time::process_cpu_ns();
        calls(direct).await;
        RpcCost {
            request_bytes: 0,
            reply_bytes: 0,
            sent_bytes: sent_bytes.load(Ordering::Relaxed) / CALLS,
            received_bytes: received_bytes.load(Ordering::Relaxed) / CALLS,
            cpu_ns: (cpu_time::process_cpu_ns() - before_ns) / CALLS,
        }
    })
}

async fn channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("a valid address");
    endpoint.connect().await.expect("the server listens")
}

async fn start_server(exchange_reply: &ExchangeReply) -> SocketAddr {
    let answers = FixedAnswers {
        exchange_reply: exchange_reply.clone(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let incoming = TcpListenerStream::new(listener).map(|stream| {
        let stream = stream?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    });
    let server = Server::builder()
        .add_service(AgentServer::new(answers.clone()))
        .add_service(PeerServer::new(answers))
        .serve_with_incoming(incoming);
    tokio::spawn(server);
    address
}

async fn start_relay(
    server: SocketAddr,
    sent_bytes: Arc<AtomicU64>,
    received_bytes: Arc<AtomicU64>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.expect("a client");
        let server = TcpStream::connect(server).await.expect("the server");
        for stream in [&client, &server] {
            stream.set_nodelay(true).expect("an open connection");
        }
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::spawn(relay(from_client, to_server, sent_bytes));
        tokio::spawn(relay(from_server, to_client, received_bytes));
    });
    address
}

async fn relay(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 65_536];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
