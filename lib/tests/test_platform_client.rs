//! Tests of the client of the platform's configuration service and VM list.

use std::time::Duration;

use googletest::prelude::*;
use pomeloramp_lib::PlatformClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one request with a JSON body; returns the address.
async fn answer_once(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        assert_that!(stream.read(&mut request).await.unwrap(), gt(0));
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

/// Guards against a VM list that can't be read as a whole for one odd row.
#[tokio::test]
async fn an_odd_row_hid_all_vms() {
    let body = r#"{"vms": [{"vm_name": "a"}, {"vm_name": 7}, null, {"vm_name": "b\udc80"},
        {"vm_name": "b", "state": []}, {"vm_name": "c"}]}"#;
    let client = PlatformClient::new(&answer_once(body).await, TIMEOUT);
    let list = client.vms().await.unwrap();
    let names: Vec<&str> = list.vms.iter().map(|vm| vm.vm_name.as_str()).collect();
    assert_that!(names, elements_are![eq(&"a"), eq(&"c")]);
}

/// Guards against a watch of the configuration that fails as a whole for one odd value.
#[tokio::test]
async fn an_odd_value_hid_all_changes_of_the_configuration() {
    let body = r#"{"revision": 4, "values": [{"key": "a", "revision": 2, "value": 7},
        {"revision": 3, "value": ""}, {"key": "b", "revision": 4, "value": "x"}]}"#;
    let client = PlatformClient::new(&answer_once(body).await, TIMEOUT);
    let published = client.watch(1, TIMEOUT).await.unwrap();
    assert_that!(published.revision, eq(4));
    let keys: Vec<&str> = published
        .values
        .iter()
        .map(|value| value.key.as_str())
        .collect();
    assert_that!(keys, elements_are![eq(&"b")]);
}
