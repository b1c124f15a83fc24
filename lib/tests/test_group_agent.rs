//! Tests of the agent of a rank on the direct path, with a fake engine.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::DirectEngine;
use pomeloramp_lib::EngineReply;
use pomeloramp_lib::ExpertChoices;
use pomeloramp_lib::GroupAgent;
use pomeloramp_lib::OrderResult;
use pomeloramp_lib::RankLocation;
use pomeloramp_lib::RankReport;
use pomeloramp_lib::protos::control::PlannerBeacon;
use pomeloramp_lib::protos::control::RankDatagram;
use pomeloramp_lib::protos::control::rank_datagram::Content;
use prost::Message;
use tokio::sync::watch;

const RANKS: u32 = 2;
/// Number of ranks of the largest groups in use.
const LARGE_RANKS: u32 = 72;
/// Number of experts of such a group, over all sets of layers.
const LARGE_EXPERTS: usize = 1_728;
/// Rate, on the smallest link of a planner, that the choices reported by all ranks may take.
const MAX_COUNTS_BYTES_PER_S: usize = 400_000;
/// Time within which an agent has read the addresses of the ranks.
const READ_TIME: Duration = Duration::from_millis(2_500);

fn answer<T: Send + 'static>(value: T) -> EngineReply<T> {
    Box::pin(async move { Ok(value) })
}

/// An engine of a rank in the given group incarnation, which runs no steps.
fn engine(group_incarnation: &Arc<AtomicU64>, rank: u32, rank_count: u32) -> DirectEngine {
    let group_incarnation = Arc::clone(group_incarnation);
    DirectEngine {
        report: Arc::new(move || {
            answer(RankReport {
                group: "group-1".to_owned(),
                group_incarnation: group_incarnation.load(Ordering::SeqCst),
                rank,
                rank_count,
                is_open: true,
                started_ms: 1,
                step: 10,
                active_map_id: 0,
                copied_map_id: None,
                armed_map_id: None,
                armed_step: None,
                slowdown_percent: 100,
                held_step: None,
                order_count: None,
            })
        }),
        choices: Arc::new(|| answer(ExpertChoices::default())),
        experts: Arc::new(|| answer((0, Vec::new()))),
        order: Arc::new(|_, _| Box::pin(async { OrderResult::Unknown })),
        model: Arc::new(|| answer(None)),
    }
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

/// Creates an agent beside an engine, which reads the addresses of the other ranks by `peers`.
fn agent(
    engine: &DirectEngine,
    address: SocketAddr,
    peers: impl Fn() -> EngineReply<Vec<RankLocation>> + Send + Sync + 'static,
) -> GroupAgent {
    let other_engine = engine.clone();
    GroupAgent {
        engine: engine.clone(),
        peers: Arc::new(peers),
        engine_at: Arc::new(move |_| other_engine.clone()),
        address,
        endpoint_address: "127.0.0.1:2".to_owned(),
        entries: Vec::new(),
    }
}

/// Returns the addresses of a rank whose engine receives no requests.
fn location(agent: SocketAddr) -> RankLocation {
    RankLocation {
        agent,
        engine: "127.0.0.1:1".to_owned(),
    }
}

/// Guards against an agent that keeps the old address of a rank after the group was formed again
/// with a rank on another VM.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_sends_to_the_new_address_of_a_rank_that_moved() {
    let group_incarnation = Arc::new(AtomicU64::new(1));
    let reads = Arc::new(AtomicU32::new(0));
    let addresses = [free_address(), free_address()];
    let peers = {
        let group_incarnation = Arc::clone(&group_incarnation);
        let reads = Arc::clone(&reads);
        move || {
            reads.fetch_add(1, Ordering::SeqCst);
            let moved = usize::from(group_incarnation.load(Ordering::SeqCst) > 1);
            answer(vec![location(addresses[moved])])
        }
    };
    let moved_to = tokio::net::UdpSocket::bind(addresses[1]).await.unwrap();
    let own_engine = engine(&group_incarnation, 0, RANKS);
    let agent = agent(&own_engine, free_address(), peers);
    let (close, closing) = watch::channel(false);
    let running = tokio::spawn(agent.run(closing));
    tokio::time::sleep(READ_TIME).await;
    let reads_before = reads.load(Ordering::SeqCst);
    assert_that!(reads_before, eq(1));

    // A rank on another VM joined, which gives the group a new incarnation.
    group_incarnation.store(2, Ordering::SeqCst);
    let mut buffer = [0; 2_048];
    let received = tokio::time::timeout(READ_TIME, moved_to.recv_from(&mut buffer)).await;
    assert_that!(received, ok(ok(anything())));
    tokio::time::sleep(READ_TIME).await;
    assert_that!(reads.load(Ordering::SeqCst), eq(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}

/// Guards against ranks of a large group that together report more bytes than the link of their
/// planner carries.
#[tokio::test(flavor = "multi_thread")]
async fn ranks_of_a_large_group_report_choices_within_the_capacity_of_their_planners_link() {
    let planner = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let planner_address = planner.local_addr().unwrap();
    let group_incarnation = Arc::new(AtomicU64::new(1));
    let mut own_engine = engine(&group_incarnation, 5, LARGE_RANKS);
    own_engine.choices = Arc::new(|| {
        let counts = vec![0; LARGE_EXPERTS];
        answer(ExpertChoices { counts })
    });
    let agent_address = free_address();
    let peers = move || answer(vec![location(planner_address)]);
    let agent = agent(&own_engine, agent_address, peers);
    let (close, closing) = watch::channel(false);
    let running = tokio::spawn(agent.run(closing));
    let beacon = RankDatagram {
        group: "group-1".to_owned(),
        group_incarnation: 1,
        rank: 0,
        content: Some(Content::Planner(PlannerBeacon { known_map_id: 0 })),
    };
    let beacon = beacon.encode_to_vec();
    let observed = Duration::from_secs(4);
    let until = tokio::time::Instant::now() + observed;
    let mut reported_bytes = 0;
    let mut choice_reports = 0;
    let mut buffer = [0; 16_384];
    while tokio::time::Instant::now() < until {
        planner.send_to(&beacon, agent_address).await.unwrap();
        let receiving = planner.recv_from(&mut buffer);
        let received = tokio::time::timeout(Duration::from_millis(100), receiving).await;
        let Ok(Ok((length, _))) = received else {
            continue;
        };
        reported_bytes += length;
        let datagram = RankDatagram::decode(&buffer[..length]).unwrap();
        if let Some(Content::Counts(counts)) = datagram.content {
            choice_reports += usize::from(counts.choices.len() == LARGE_EXPERTS);
        }
    }
    let group_bytes_per_s = reported_bytes * LARGE_RANKS as usize / 4;
    assert_that!(group_bytes_per_s, lt(MAX_COUNTS_BYTES_PER_S));
    assert_that!(choice_reports, ge(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}

/// Guards against reading the sizes of the experts in every round, ten times per second, while none
/// are published.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_reads_the_sizes_of_experts_about_once_per_second_while_there_are_none() {
    let group_incarnation = Arc::new(AtomicU64::new(1));
    let read_count = Arc::new(AtomicU32::new(0));
    let mut own_engine = engine(&group_incarnation, 0, RANKS);
    own_engine.model = {
        let read_count = Arc::clone(&read_count);
        Arc::new(move || {
            read_count.fetch_add(1, Ordering::SeqCst);
            answer(None)
        })
    };
    let agent = agent(&own_engine, free_address(), || answer(Vec::new()));
    let (close, closing) = watch::channel(false);
    let running = tokio::spawn(agent.run(closing));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_that!(read_count.load(Ordering::SeqCst), le(5));
    assert_that!(read_count.load(Ordering::SeqCst), ge(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}
