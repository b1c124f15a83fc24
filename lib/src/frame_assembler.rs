//! Validates and assembles the frames of an answer, on the entry's side.

use snafu::ensure;
use xxhash_rust::xxh3::Xxh3;

use crate::CallFailure;
use crate::FrameEvent;
use crate::frame_error::DigestSnafu;
use crate::frame_error::DuplicatedSnafu;
use crate::frame_error::FrameError;
use crate::frame_error::GapSnafu;
use crate::frame_error::MissingFinalSnafu;
use crate::frame_error::StatusSnafu;
use crate::frame_error::TruncatedSnafu;
use crate::frame_error::UnexpectedKindSnafu;
use crate::frame_error::WrongRequestSnafu;
use crate::protos::control;
use crate::protos::control::call_frame::Frame;

/// Validates the frames of one answer and reports when the answer is complete.
///
/// After an error, every further frame is rejected with the same error, so that a damaged answer is
/// never taken for a complete one.
#[derive(Clone)]
pub struct FrameAssembler {
    request_id: Box<str>,
    next_sequence: u64,
    stage: Stage,
    data_frames: u64,
    delivered_tokens: u64,
    digest: Xxh3,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Head,
    Data,
    Ended,
    Broken(FrameError),
}

impl FrameAssembler {
    /// Creates an assembler for the answer to a new request.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self::resumed(request_id, 0)
    }

    /// Creates an assembler for the rest of an answer of which `delivered_tokens` were delivered
    /// before its stream broke.
    #[must_use]
    pub fn resumed(request_id: &str, delivered_tokens: u64) -> Self {
        Self {
            request_id: request_id.into(),
            next_sequence: 0,
            stage: Stage::Head,
            data_frames: 0,
            delivered_tokens,
            digest: Xxh3::new(),
        }
    }

    /// Validates the next frame of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another request, is not the next in sequence, or shows that
    /// part of the answer is missing or corrupted.
    pub fn accept(&mut self, frame: control::CallFrame) -> Result<FrameEvent, FrameError> {
        if let Stage::Broken(error) = &self.stage {
            return Err(error.clone());
        }
        let accepted = self.accept_next(frame);
        if let Err(error) = &accepted {
            self.stage = Stage::Broken(error.clone());
        }
        accepted
    }

    /// Returns whether a valid final frame was received.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// Fails unless a valid final frame was received.
    pub fn close(&self) -> Result<(), FrameError> {
        match &self.stage {
            Stage::Ended => Ok(()),
            Stage::Broken(error) => Err(error.clone()),
            Stage::Head | Stage::Data => MissingFinalSnafu {
                request_id: &*self.request_id,
                frames: self.next_sequence,
            }
            .fail(),
        }
    }

    /// Returns the number of tokens delivered over all streams of the answer.
    ///
    /// A broken stream is resumed after this many tokens.
    #[must_use]
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered_tokens
    }

    fn accept_next(&mut self, frame: control::CallFrame) -> Result<FrameEvent, FrameError> {
        self.check_order(&frame)?;
        let sequence = frame.sequence;
        self.next_sequence += 1;
        match (&self.stage, frame.frame) {
            (Stage::Head, Some(Frame::Head(head))) => self.accept_head(head),
            (Stage::Data, Some(Frame::Data(data))) => Ok(self.accept_data(data)),
            (Stage::Head | Stage::Data, Some(Frame::Final(final_frame))) => {
                self.accept_final(final_frame)
            }
            (_, frame) => UnexpectedKindSnafu {
                request_id: &*self.request_id,
                kind: kind_name(frame.as_ref()),
                sequence,
            }
            .fail(),
        }
    }

    fn check_order(&self, frame: &control::CallFrame) -> Result<(), FrameError> {
        let request_id = &*self.request_id;
        let sequence = frame.sequence;
        let expected = self.next_sequence;
        ensure!(
            frame.request_id == request_id,
            WrongRequestSnafu {
                expected: request_id,
                found: &frame.request_id,
            }
        );
        ensure!(
            sequence >= expected,
            DuplicatedSnafu {
                request_id,
                sequence,
            }
        );
        ensure!(
            sequence == expected,
            GapSnafu {
                request_id,
                expected,
                sequence,
            }
        );
        Ok(())
    }

    fn accept_head(&mut self, head: control::HeadFrame) -> Result<FrameEvent, FrameError> {
        let status = u16::try_from(head.status)
            .ok()
            .filter(|status| (200..600).contains(status));
        let Some(status) = status else {
            return StatusSnafu {
                request_id: &*self.request_id,
                status: head.status,
            }
            .fail();
        };
        self.stage = Stage::Data;
        Ok(FrameEvent::Head {
            status,
            content_type: head.content_type,
        })
    }

    fn accept_data(&mut self, data: control::DataFrame) -> FrameEvent {
        self.data_frames += 1;
        self.delivered_tokens += u64::from(data.tokens);
        self.digest.update(&data.payload);
        FrameEvent::Data {
            payload: data.payload,
            tokens: data.tokens,
        }
    }

    fn accept_final(&mut self, final_frame: control::FinalFrame) -> Result<FrameEvent, FrameError> {
        let request_id = &*self.request_id;
        ensure!(
            final_frame.data_frames == self.data_frames,
            TruncatedSnafu {
                request_id,
                announced: final_frame.data_frames,
                found: self.data_frames,
            }
        );
        ensure!(
            final_frame.digest == self.digest.digest(),
            DigestSnafu { request_id }
        );
        let is_complete = final_frame.code.is_empty();
        let has_head = self.stage == Stage::Data;
        let has_run = final_frame.outcome() == control::Outcome::Ran;
        ensure!(
            !is_complete || (has_head && has_run),
            UnexpectedKindSnafu {
                request_id,
                kind: "final",
                sequence: self.next_sequence - 1,
            }
        );
        self.stage = Stage::Ended;
        if is_complete {
            return Ok(FrameEvent::Complete);
        }
        Ok(FrameEvent::Failed(CallFailure {
            outcome: final_frame.outcome().into(),
            code: final_frame.code,
            message: final_frame.message,
            retry_after_ms: final_frame.retry_after_ms,
            quarantined: final_frame.quarantined,
        }))
    }
}

fn kind_name(frame: Option<&Frame>) -> &'static str {
    match frame {
        Some(Frame::Head(_)) => "head",
        Some(Frame::Data(_)) => "data",
        Some(Frame::Final(_)) => "final",
        None => "empty",
    }
}
