//! Fuzzes frames on their way from agent to entry.

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
const EARLIER_REQUEST: &str = "request-0";

/// Frames a whole answer, one token in each payload.
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
enum Damage {
    Drop(Index),
    Duplicate(Index, Index),
    Swap(Index, Index),
    Truncate(Index),
    Cross(Index, Index),
    Flip(Index),
}

fn damage() -> impl Strategy<Value = Damage> {
    let index = any::<Index>;
    prop_oneof![
        index().prop_map(Damage::Drop),
        (index(), index()).prop_map(|(from, to)| Damage::Duplicate(from, to)),
        (index(), index()).prop_map(|(from, to)| Damage::Swap(from, to)),
        index().prop_map(Damage::Truncate),
        (index(), index()).prop_map(|(from, to)| Damage::Cross(from, to)),
        index().prop_map(Damage::Flip),
    ]
}

fn inflict(damage: &Damage, frames: &mut Vec<CallFrame>, earlier: &[CallFrame]) {
    let len = frames.len();
    if len == 0 {
        return;
    }
    match damage {
        Damage::Drop(at) => {
            frames.remove(at.index(len));
        }
        Damage::Duplicate(from, to) => {
            let copy = frames[from.index(len)].clone();
            frames.insert(to.index(len + 1), copy);
        }
        Damage::Swap(from, to) => frames.swap(from.index(len), to.index(len)),
        Damage::Truncate(at) => frames.truncate(at.index(len)),
        Damage::Cross(from, to) => {
            let late = earlier[from.index(earlier.len())].clone();
            frames.insert(to.index(len + 1), late);
        }
        Damage::Flip(at) => {
            if let Some(Frame::Data(data)) = &mut frames[at.index(len)].frame
                && let Some(byte) = data.payload.first_mut()
            {
                *byte ^= 1;
            }
        }
    }
}

/// Feeds frames as an entry does: up to the first error, then closes.
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
    fn an_answer_is_whole_only_as_it_was_sent(
        payloads in payloads(),
        earlier in payloads(),
        damages in prop::collection::vec(damage(), 0..3),
    ) {
        let sent = frames(REQUEST, &payloads);
        let earlier = frames(EARLIER_REQUEST, &earlier);
        let mut received = sent.clone();
        for damage in &damages {
            inflict(damage, &mut received, &earlier);
        }
        let intact = received == sent;
        let (body, closed) = assemble(received);
        prop_assert_eq!(closed.is_ok(), intact, "{:?}", closed);
        if intact {
            prop_assert_eq!(body, payloads.concat());
        }
    }

    #[test]
    fn a_resumed_answer_has_every_token_once(
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
fn each_kind_of_damage_has_its_error() {
    let sent = frames(REQUEST, &[b"a".to_vec(), b"b".to_vec()]);
    let crossed = frames(EARLIER_REQUEST, &[]);
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
    let mixed = [&sent[..1], &crossed[1..]].concat();
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
fn a_refusal_before_or_amid_an_answer_is_no_whole_answer() {
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
    let end = writer.refuse(&Refusal::unknown_final(RefusalCode::EndpointLost), "");
    let mut assembler = FrameAssembler::new(REQUEST);
    expect_that!(assembler.accept(head), ok(anything()));
    expect_that!(
        assembler.accept(end),
        ok(matches_pattern!(FrameEvent::Failed(_)))
    );
}
