//! Tests of the splitter of server-sent events.

use googletest::prelude::*;
use pomeloramp_lib::EventSplitter;

#[googletest::test]
fn events_are_whole_for_every_chunk_size() {
    let text = b"x-weight-versions: 3\nid: 7\ndata: one\n\nid: 8\r\ndata: two\r\n\r\nid: 9\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut length = 0;
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            while let Some(event) = splitter.next_event() {
                length += event.bytes.len();
                ids.push(event.id);
            }
        }
        expect_that!(
            ids,
            elements_are![some(eq(&7)), some(eq(&8))],
            "size {size}"
        );
        let rest = splitter.take_rest();
        expect_that!(&rest[..], eq(b"id: 9\nda"), "size {size}");
        expect_that!(length + rest.len(), eq(text.len()));
    }
}

#[googletest::test]
fn an_event_without_a_number_has_no_id() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: x\n\nid: y\n\n");
    expect_that!(splitter.next_event().and_then(|event| event.id), none());
    expect_that!(splitter.next_event().and_then(|event| event.id), none());
    expect_that!(splitter.next_event(), none());
}

#[googletest::test]
fn an_event_is_unfinished_until_its_blank_line() {
    let has_unfinished_event = |text: &str| {
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        while splitter.next_event().is_some() {}
        splitter.has_unfinished_event()
    };
    for unfinished in [
        "d",
        "data: x\n",
        "data: x\r\n\r",
        "data: x\n\nid: 2\n",
        ":x",
    ] {
        expect_that!(has_unfinished_event(unfinished), eq(true), "{unfinished:?}");
    }
    for whole in [
        "",
        "\n",
        "\r\n",
        "data: x\n\n",
        "data: x\r\n\r\n\n",
        "data: x\n\r\n",
        "data: x\r\n\n",
        "data: x\n\n: end\n",
    ] {
        expect_that!(has_unfinished_event(whole), eq(false), "{whole:?}");
    }
}
