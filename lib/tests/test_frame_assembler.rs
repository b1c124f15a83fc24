//! Property tests of the frames that carry an answer from agent to entry: lost, duplicated, reordered,
//! altered or foreign frames must not yield an answer that counts as whole.

use googletest::prelude::*;
use pomeloramp_lib::CallFailure;
use pomeloramp_lib::FrameAssembler;
use pomeloramp_lib::FrameError;
use pomeloramp_lib::FrameEvent;
use pomeloramp_lib::FrameWriter;
use pomeloramp_lib::Outcome;
use pomeloramp_lib::Refusal;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::protos::control::CallFrame;
use pomeloramp_lib::protos::control::call_frame::Frame;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::Config;

const REQUEST: &str = "request-1";
const OTHER_REQUEST: &str = "request-0";

/// Returns the frames of a whole answer with one token in each payload.
fn frames(request_id: &str, payloads: &[Vec<u8>]) -> Vec<CallFrame> {
    let mut writer = FrameWriter::new(request_id);
    let mut frames = vec![writer.head(200, "text/plain")];
    frames.extend(
        payloads
            .iter()
            .map(|payload| writer.data(payload.clone(), 1)),
    );
    frames.push(writer.finish());
    frames
}

#[derive(Debug, Clone)]
enum Corruption {
    Drop(Index),
    Duplicate(Index, Index),
    Swap(Index, Index),
    Truncate(Index),
    InsertForeign(Index, Index),
    FlipBit(Index),
}

fn corruption() -> impl Strategy<Value = Corruption> {
    let index = any::<Index>;
    prop_oneof![
        index().prop_map(Corruption::Drop),
        (index(), index()).prop_map(|(from, to)| Corruption::Duplicate(from, to)),
        (index(), index()).prop_map(|(from, to)| Corruption::Swap(from, to)),
        index().prop_map(Corruption::Truncate),
        (index(), index()).prop_map(|(from, to)| Corruption::InsertForeign(from, to)),
        index().prop_map(Corruption::FlipBit),
    ]
}

fn corrupt(corruption: &Corruption, frames: &mut Vec<CallFrame>, foreign: &[CallFrame]) {
    let len = frames.len();
    if len == 0 {
        return;
    }
    match corruption {
        Corruption::Drop(at) => {
            frames.remove(at.index(len));
        }
        Corruption::Duplicate(from, to) => {
            let copy = frames[from.index(len)].clone();
            frames.insert(to.index(len + 1), copy);
        }
        Corruption::Swap(from, to) => frames.swap(from.index(len), to.index(len)),
        Corruption::Truncate(at) => frames.truncate(at.index(len)),
        Corruption::InsertForeign(from, to) => {
            let foreign_frame = foreign[from.index(foreign.len())].clone();
            frames.insert(to.index(len + 1), foreign_frame);
        }
        Corruption::FlipBit(at) => {
            if let Some(Frame::Data(data)) = &mut frames[at.index(len)].frame
                && let Some(byte) = data.payload.first_mut()
            {
                *byte ^= 1;
            }
        }
    }
}

/// Feeds frames to an assembler up to the first error and closes it, as an entry does.
fn assemble(frames: Vec<CallFrame>) -> (Vec<u8>, std::result::Result<(), FrameError>) {
    let mut assembler = FrameAssembler::new(REQUEST);
    let mut body = Vec::new();
    for frame in frames {
        match assembler.accept(frame) {
            Ok(FrameEvent::Data { payload, .. }) => body.extend(payload),
            Ok(_) => {}
            Err(error) => {
                assert_eq!(assembler.close(), Err(error.clone()));
                return (body, Err(error));
            }
        }
    }
    (body, assembler.close())
}

fn payloads() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 0..5), 0..8)
}

proptest! {
    #![proptest_config(Config { cases: 2_000, ..Config::default() })]

    #[test]
    fn an_answer_is_whole_only_if_its_frames_arrive_unchanged(
        payloads in payloads(),
        foreign in payloads(),
        corruptions in prop::collection::vec(corruption(), 0..3),
    ) {
        let sent = frames(REQUEST, &payloads);
        let foreign = frames(OTHER_REQUEST, &foreign);
        let mut received = sent.clone();
        for corruption in &corruptions {
            corrupt(corruption, &mut received, &foreign);
        }
        let intact = received == sent;
        let (body, closed) = assemble(received);
        prop_assert_eq!(closed.is_ok(), intact, "{:?}", closed);
        if intact {
            prop_assert_eq!(body, payloads.concat());
        }
    }

    #[test]
    fn a_resumed_answer_contains_every_token_once(
        payloads in payloads(),
        cuts in prop::collection::vec(any::<Index>(), 0..4),
    ) {
        let mut body = Vec::new();
        let mut delivered = 0;
        for (attempt, cut) in cuts.iter().enumerate() {
            let request_id = format!("{REQUEST}.{attempt}");
            let rest = &payloads[usize::try_from(delivered).expect("small")..];
            let sent = frames(&request_id, rest);
            let mut assembler = FrameAssembler::resumed(&request_id, delivered);
            for frame in sent.iter().take(cut.index(sent.len())).cloned() {
                if let Ok(FrameEvent::Data { payload, .. }) = assembler.accept(frame) {
                    body.push(payload);
                }
            }
            prop_assert!(assembler.close().is_err());
            delivered = assembler.delivered_tokens();
        }
        body.extend_from_slice(&payloads[usize::try_from(delivered).expect("small")..]);
        prop_assert_eq!(body, payloads);
    }
}

#[googletest::test]
fn each_kind_of_corruption_has_its_error() {
    let sent = frames(REQUEST, &[b"a".to_vec(), b"b".to_vec()]);
    let foreign = frames(OTHER_REQUEST, &[]);
    let without = |at: usize| {
        let mut frames = sent.clone();
        frames.remove(at);
        assemble(frames).1
    };
    expect_that!(
        without(1),
        err(matches_pattern!(FrameError::Gap {
            expected: eq(&1),
            ..
        }))
    );
    expect_that!(
        without(3),
        err(matches_pattern!(FrameError::MissingFinal {
            frames: eq(&3),
            ..
        }))
    );
    let twice = [&sent[..2], &sent[1..]].concat();
    expect_that!(
        assemble(twice).1,
        err(matches_pattern!(FrameError::Duplicated { .. }))
    );
    let mixed = [&sent[..1], &foreign[1..]].concat();
    expect_that!(
        assemble(mixed).1,
        err(matches_pattern!(FrameError::WrongRequest { .. }))
    );
    let headless = CallFrame {
        sequence: 0,
        ..sent[1].clone()
    };
    expect_that!(
        assemble(vec![headless]).1,
        err(matches_pattern!(FrameError::UnexpectedKind { .. }))
    );
    let mut short = vec![sent[0].clone(), sent[3].clone()];
    short[1].sequence = 1;
    expect_that!(
        assemble(short).1,
        err(matches_pattern!(FrameError::Truncated { .. }))
    );
}

#[googletest::test]
fn a_refusal_before_or_within_an_answer_is_not_a_whole_answer() {
    let refusal = Refusal::not_run(RefusalCode::QueueFull, 7);
    let frame = FrameWriter::new(REQUEST).refuse(&refusal, "queue of vm-1 is full");
    let event = FrameAssembler::new(REQUEST).accept(frame);
    let expected = FrameEvent::Failed(CallFailure {
        outcome: Outcome::NotRun,
        code: "queue-full".to_owned(),
        message: "queue of vm-1 is full".to_owned(),
        quarantined: Vec::new(),
        retry_after_ms: 7,
    });
    expect_that!(event, ok(eq(&expected)));
    let mut writer = FrameWriter::new(REQUEST);
    let head = writer.head(200, "text/plain");
    let refused = writer.refuse(&Refusal::unknown_final(RefusalCode::EndpointLost), "");
    let mut assembler = FrameAssembler::new(REQUEST);
    expect_that!(assembler.accept(head), ok(anything()));
    expect_that!(
        assembler.accept(refused),
        ok(matches_pattern!(FrameEvent::Failed(_)))
    );
}
