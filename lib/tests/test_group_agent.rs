//! Tests of the agent of a rank on the direct path, with functions in place of an engine.

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
/// Ranks of the largest groups that the users run, and experts of all sets there.
const GROWN_RANKS: u32 = 72;
const GROWN_EXPERTS: usize = 1_728;
/// Part of the smallest link that the choices of all ranks may take at their planner, in a second.
const MAX_COUNTS_BYTES_PER_S: usize = 400_000;
/// Time in which an agent has read the list of ranks.
const READ_TIME: Duration = Duration::from_millis(2_500);

fn answer<T: Send + 'static>(value: T) -> EngineReply<T> {
    Box::pin(async move { Ok(value) })
}

/// An engine of a rank in the given formation, which no pass runs on.
fn engine(formation: &Arc<AtomicU64>, rank: u32, rank_count: u32) -> DirectEngine {
    let formation = Arc::clone(formation);
    DirectEngine {
        report: Arc::new(move || {
            answer(RankReport {
                group: "group-1".to_owned(),
                group_incarnation: formation.load(Ordering::SeqCst),
                rank,
                rank_count,
                is_open: true,
                born_ms: 1,
                step: 10,
                active_map_id: 0,
                copied_map_id: None,
                armed_map_id: None,
                armed_step: None,
                pace_percent: 100,
                held_step: None,
            })
        }),
        choices: Arc::new(|| answer(ExpertChoices::default())),
        experts: Arc::new(|| answer((0, Vec::new()))),
        order: Arc::new(|_, _, _| Box::pin(async { OrderResult::Unknown })),
        model: Arc::new(|| answer(None)),
    }
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

/// Makes an agent beside an engine, which reads the places of the other ranks by `peers`.
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

/// Returns the place of an agent whose engine is never asked.
fn place(agent: SocketAddr) -> RankLocation {
    RankLocation {
        agent,
        engine: "127.0.0.1:1".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_went_on_telling_the_place_of_a_rank_that_had_moved() {
    let formation = Arc::new(AtomicU64::new(1));
    let reads = Arc::new(AtomicU32::new(0));
    let places = [free_address(), free_address()];
    let peers = {
        let formation = Arc::clone(&formation);
        let reads = Arc::clone(&reads);
        move || {
            reads.fetch_add(1, Ordering::SeqCst);
            let moved = usize::from(formation.load(Ordering::SeqCst) > 1);
            answer(vec![place(places[moved])])
        }
    };
    let moved_to = tokio::net::UdpSocket::bind(places[1]).await.unwrap();
    let own_engine = engine(&formation, 0, RANKS);
    let agent = agent(&own_engine, free_address(), peers);
    let (close, closing) = watch::channel(false);
    let running = tokio::spawn(agent.run(closing));
    tokio::time::sleep(READ_TIME).await;
    let reads_before = reads.load(Ordering::SeqCst);
    assert_that!(reads_before, eq(1));

    // A rank of another VM joined, so that the group was formed anew.
    formation.store(2, Ordering::SeqCst);
    let mut buffer = [0; 2_048];
    let heard = tokio::time::timeout(READ_TIME, moved_to.recv_from(&mut buffer)).await;
    assert_that!(heard, ok(ok(anything())));
    tokio::time::sleep(READ_TIME).await;
    assert_that!(reads.load(Ordering::SeqCst), eq(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn ranks_of_a_large_group_told_their_planner_more_than_its_link_carries() {
    let planner = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let planner_address = planner.local_addr().unwrap();
    let formation = Arc::new(AtomicU64::new(1));
    let mut own_engine = engine(&formation, 5, GROWN_RANKS);
    own_engine.choices = Arc::new(|| {
        let counts = vec![0; GROWN_EXPERTS];
        answer(ExpertChoices { counts })
    });
    let agent_address = free_address();
    let peers = move || answer(vec![place(planner_address)]);
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
    let watched = Duration::from_secs(4);
    let until = tokio::time::Instant::now() + watched;
    let mut told_bytes = 0;
    let mut told_choices = 0;
    let mut buffer = [0; 16_384];
    while tokio::time::Instant::now() < until {
        planner.send_to(&beacon, agent_address).await.unwrap();
        let receiving = planner.recv_from(&mut buffer);
        let received = tokio::time::timeout(Duration::from_millis(100), receiving).await;
        let Ok(Ok((length, _))) = received else {
            continue;
        };
        told_bytes += length;
        let told = RankDatagram::decode(&buffer[..length]).unwrap();
        if let Some(Content::Counts(counts)) = told.content {
            told_choices += usize::from(counts.choices.len() == GROWN_EXPERTS);
        }
    }
    let of_all = told_bytes * GROWN_RANKS as usize / 4;
    assert_that!(of_all, lt(MAX_COUNTS_BYTES_PER_S));
    assert_that!(told_choices, ge(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_asked_for_the_sizes_of_experts_ten_times_a_second_while_there_were_none() {
    let formation = Arc::new(AtomicU64::new(1));
    let asked = Arc::new(AtomicU32::new(0));
    let mut own_engine = engine(&formation, 0, RANKS);
    own_engine.model = {
        let asked = Arc::clone(&asked);
        Arc::new(move || {
            asked.fetch_add(1, Ordering::SeqCst);
            answer(None)
        })
    };
    let agent = agent(&own_engine, free_address(), || answer(Vec::new()));
    let (close, closing) = watch::channel(false);
    let running = tokio::spawn(agent.run(closing));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_that!(asked.load(Ordering::SeqCst), le(5));
    assert_that!(asked.load(Ordering::SeqCst), ge(2));
    close.send(true).unwrap();
    running.await.unwrap().unwrap();
}
