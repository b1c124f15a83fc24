//! Tests of the commands that ask running processes, against a fake process.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::sync::mpsc;
use std::thread;

use googletest::prelude::*;
use pomeloramp_lib::protos::control::ExchangeReply;
use pomeloramp_lib::protos::control::ExchangeRequest;
use pomeloramp_lib::protos::control::IdleTime;
use pomeloramp_lib::protos::control::KeyRevision;
use pomeloramp_lib::protos::control::LentShare;
use pomeloramp_lib::protos::control::MapStateReply;
use pomeloramp_lib::protos::control::MemberStatus;
use pomeloramp_lib::protos::control::QuarantineEntry;
use pomeloramp_lib::protos::control::RankStatus;
use pomeloramp_lib::protos::control::RefusedDocument;
use pomeloramp_lib::protos::control::StatusReply;
use pomeloramp_lib::protos::control::StatusRequest;
use pomeloramp_lib::protos::control::peer_server::Peer;
use pomeloramp_lib::protos::control::peer_server::PeerServer;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

/// Answers every status request in the same way.
struct FakeProcess {
    reply: StatusReply,
}

#[tonic::async_trait]
impl Peer for FakeProcess {
    async fn exchange(
        &self,
        _request: Request<ExchangeRequest>,
    ) -> std::result::Result<Response<ExchangeReply>, Status> {
        Err(Status::unimplemented("the tool never exchanges"))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> std::result::Result<Response<StatusReply>, Status> {
        Ok(Response::new(self.reply.clone()))
    }
}

fn serve(reply: StatusReply) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        Runtime::new().unwrap().block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let service = PeerServer::new(FakeProcess { reply });
            Server::builder()
                .add_service(service)
                .serve_with_incoming(TcpListenerStream::new(listener))
                .await
                .unwrap();
        });
    });
    receiver.recv().unwrap()
}

fn agent(vm_name: &str, used_ms: u64) -> StatusReply {
    StatusReply {
        vm_name: vm_name.to_owned(),
        role: "endpoint".to_owned(),
        incarnation: 0xab,
        draining: vm_name == "endpoint-2",
        config_revision: 7,
        in_flight_requests: 3,
        members: vec![MemberStatus {
            vm_name: "entry-1".to_owned(),
            state: "live".to_owned(),
            ..MemberStatus::default()
        }],
        quarantined: vec![QuarantineEntry {
            fingerprint: u64::MAX,
            crashes: 2,
            expires_in_ms: used_ms,
            ..QuarantineEntry::default()
        }],
        idle_times: vec![IdleTime {
            organisation: "cartago".to_owned(),
            service: "quote-draft".to_owned(),
            used_ms,
            lent_ms: 5,
            idle_ms: 1,
            borrowed_ms: 2,
            lent_to: vec![LentShare {
                borrower: "akagera".to_owned(),
                lent_ms: 4,
            }],
        }],
        refused_documents: vec![RefusedDocument {
            key: "services/b".to_owned(),
            revision: 7,
            reason: "line 2: bad".to_owned(),
        }],
        documents: vec![KeyRevision {
            key: "services/a".to_owned(),
            revision: 5,
        }],
        rank: Some(RankStatus {
            group: "drafts".to_owned(),
            rank: 3,
            engine_known: true,
            map: Some(MapStateReply {
                current_step: 41,
                active_map_id: 0x1,
                prepared_map_id: 0x2,
                switch_step: 42,
                held_ms: 1_500,
                ..MapStateReply::default()
            }),
            waits_for: "the decision on map 0x2 before step 42; not heard: rank 1".to_owned(),
            ..RankStatus::default()
        }),
    }
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pomelorampctl"))
        .args(arguments)
        .output()
        .unwrap()
}

fn run_json(command: &str, peers: &[SocketAddr]) -> Value {
    let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let mut arguments = vec![command, "--json"];
    for peer in &peers {
        arguments.extend(["--peer", peer]);
    }
    let output = run(&arguments);
    assert_that!(output.status.code(), some(eq(0)));
    serde_json::from_slice(&output.stdout).unwrap()
}

#[googletest::test]
fn status_prints_a_table() {
    let peer = serve(agent("endpoint-1", 10)).to_string();
    let output = run(&["status", "--peer", &peer]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<String> = text
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    expect_that!(lines[0], starts_with("VM ROLE INCARNATION"));
    expect_that!(
        lines[1],
        eq("endpoint-1 endpoint 00000000000000ab false 7 3 1 1 1")
    );
}

#[googletest::test]
fn idle_time_sums_over_processes_and_counts_each_once() {
    let first = serve(agent("endpoint-1", 10));
    let second = serve(agent("endpoint-2", 30));
    expect_that!(
        run_json("idle", &[first, second, first]),
        eq(&json!([{
            "organisation": "cartago",
            "service": "quote-draft",
            "endpoints": 2,
            "used_ms": 40,
            "lent_ms": 10,
            "idle_ms": 2,
            "borrowed_ms": 4,
            "lent_to_ms": {"akagera": 8},
        }]))
    );
    let first = first.to_string();
    let other = run(&[
        "idle",
        "--json",
        "--organisation",
        "akagera",
        "--peer",
        &first,
    ]);
    expect_that!(String::from_utf8(other.stdout), ok(eq("[]\n")));
}

#[googletest::test]
fn the_other_commands_show_their_part_of_the_status() {
    let first = serve(agent("endpoint-1", 10));
    let second = serve(agent("endpoint-2", 30));
    let peers = [first, second];
    expect_that!(
        run_json("draining", &peers),
        eq(&json!([{"vm_name": "endpoint-2", "role": "endpoint", "in_flight_requests": 3}]))
    );
    expect_that!(
        run_json("quarantine", &peers),
        eq(&json!([{
            "fingerprint": "ffffffffffffffff",
            "crashes": 2,
            "expires_in_ms": 30,
            "processes": 2,
        }]))
    );
    let members = run_json("members", &peers);
    expect_that!(members[0]["member"], eq("entry-1"));
    expect_that!(members[1]["vm_name"], eq("endpoint-2"));
    let revisions = run_json("revisions", &[first]);
    expect_that!(revisions[0]["state"], eq("in force"));
    expect_that!(revisions[0]["revision"], eq(5));
    expect_that!(revisions[1]["state"], eq("refused"));
    expect_that!(revisions[1]["reason"], eq("line 2: bad"));
    let ranks = run_json("ranks", &[first]);
    expect_that!(ranks[0]["undecided_map"], eq("0000000000000002"));
    expect_that!(ranks[0]["held_ms"], eq(1_500));
    let waits_for = ranks[0]["waits_for"].as_str().unwrap();
    expect_that!(waits_for, ends_with("not heard: rank 1"));
}

#[googletest::test]
fn a_process_that_does_not_answer_ends_with_three_after_the_others_are_shown() {
    let reached = serve(agent("endpoint-1", 10)).to_string();
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let gone = unused.local_addr().unwrap().to_string();
    drop(unused);
    let output = run(&["status", "--peer", &gone, "--peer", &reached]);
    expect_that!(output.status.code(), some(eq(3)));
    let shown = String::from_utf8(output.stdout).unwrap();
    expect_that!(shown, contains_substring("endpoint-1"));
    let complaint = String::from_utf8(output.stderr).unwrap();
    expect_that!(complaint, contains_substring(format!("connect to {gone}")));
}

#[googletest::test]
fn a_silent_process_is_given_up_after_the_timeout() {
    // Accepts connections by its backlog and never answers.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = silent.local_addr().unwrap().to_string();
    let output = run(&["status", "--peer", &peer, "--timeout-ms", "200"]);
    expect_that!(output.status.code(), some(eq(3)));
}
