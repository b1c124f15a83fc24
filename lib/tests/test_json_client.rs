//! Tests of the HTTP client for JSON documents.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::JsonClient;
use pomeloramp_lib::JsonError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(100);
const MAX_ANSWER_BYTES: usize = 1 << 16;

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(future)
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

#[googletest::test]
fn a_request_that_times_out_closes_its_connection() {
    block_on(async {
        let (listener, address) = listener().await;
        let client = JsonClient::new(&address, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        let client_side = client.get::<u64>("/slow", TIMEOUT);
        let server_side = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            let reading = stream.read_to_end(&mut received);
            tokio::time::timeout(TIMEOUT * 20, reading).await.is_ok()
        };
        let (answer, is_closed) = tokio::join!(client_side, server_side);
        expect_that!(answer, err(matches_pattern!(JsonError::Timeout { .. })));
        expect_that!(is_closed, eq(true));
    });
}

#[googletest::test]
fn a_reused_connection_serves_several_requests_and_is_replaced_after_it_closes() {
    block_on(async {
        let (listener, address) = listener().await;
        let client = JsonClient::new(&address, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        let client = client.with_connection_reuse();
        let client_side = async {
            let mut answers = Vec::new();
            for _ in 0..4 {
                answers.push(client.get::<u64>("/number", TIMEOUT * 20).await.ok());
                tokio::time::sleep(TIMEOUT / 10).await;
            }
            answers
        };
        let server_side = async {
            let mut connections = 0;
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                connections += 1;
                for _ in 0..2 {
                    let mut buffer = [0; 1024];
                    assert_that!(stream.read(&mut buffer).await.unwrap(), gt(0));
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7";
                    stream.write_all(answer).await.unwrap();
                }
            }
            connections
        };
        let (answers, connections) = tokio::join!(client_side, server_side);
        expect_that!(answers, each(some(eq(&7))));
        expect_that!(connections, eq(2));
    });
}

#[googletest::test]
fn a_document_whose_end_only_its_connection_marked_was_taken_for_whole() {
    block_on(async {
        let (listener, address) = listener().await;
        let client = JsonClient::new(&address, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        let client_side = async {
            let cut = client.framed_bytes("/weights", TIMEOUT * 20).await;
            let whole = client.framed_bytes("/weights", TIMEOUT * 20).await;
            (cut, whole)
        };
        let server_side = async {
            for head in ["Connection: close", "Content-Length: 4"] {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 1024];
                assert_that!(stream.read(&mut buffer).await.unwrap(), gt(0));
                let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\nhalf");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        };
        let ((cut, whole), ()) = tokio::join!(client_side, server_side);
        expect_that!(cut, err(matches_pattern!(JsonError::Body { .. })));
        expect_that!(whole, ok(eq(&b"half"[..])));
    });
}

#[googletest::test]
fn an_answer_whose_head_is_none_in_the_protocol_is_no_document() {
    let heads = [
        "HTTP/1.1 000 OK\r\n",
        "HTTP/1.1 000\r\n",
        "HTTP/1.1 099 OK\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
        "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u{0}Odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u{7f}Odd: 1\r\n",
    ];
    block_on(async {
        let (listener, address) = listener().await;
        let client = JsonClient::new(&address, CONNECT_TIMEOUT, MAX_ANSWER_BYTES);
        let client_side = async {
            for head in heads {
                let answer = client.get::<u64>("/number", TIMEOUT * 20).await;
                expect_that!(
                    answer,
                    err(matches_pattern!(JsonError::Exchange { .. })),
                    "{head:?}"
                );
            }
        };
        let server_side = async {
            for head in heads {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 1024];
                assert_that!(stream.read(&mut buffer).await.unwrap(), gt(0));
                let answer = format!("{head}Content-Length: 1\r\n\r\n7");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        };
        tokio::join!(client_side, server_side);
    });
}
