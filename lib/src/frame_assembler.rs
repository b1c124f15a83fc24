//! The entry's side of an answer's frames.

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

/// Checks the frames of one answer and tells when it is whole.
///
/// After an error every further frame is rejected with the same error, so a broken answer can
/// never be taken for a whole one.
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
    /// Expects the answer to a new request.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self::resumed(request_id, 0)
    }

    /// Expects the rest of an answer of which `delivered_tokens` were passed on before a cut.
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

    /// Takes the next frame of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another request, is not the next one, or shows that the
    /// answer lost or changed bytes.
    pub fn accept(&mut self, frame: control::CallFrame) -> Result<FrameEvent, FrameError> {
        if let Stage::Broken(error) = &self.stage {
            return Err(error.clone());
        }
        let accepted = self.accept_unbroken(frame);
        if let Err(error) = &accepted {
            self.stage = Stage::Broken(error.clone());
        }
        accepted
    }

    /// Returns whether the final frame has come and was valid.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Tells that the stream ended.
    ///
    /// # Errors
    ///
    /// Fails unless a valid final frame came before.
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

    /// Returns how many tokens were passed on, over all streams of the answer.
    ///
    /// A cut stream is resumed after this token.
    #[must_use]
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered_tokens
    }

    fn accept_unbroken(&mut self, frame: control::CallFrame) -> Result<FrameEvent, FrameError> {
        self.check_order(&frame)?;
        let sequence = frame.sequence;
        self.next_sequence += 1;
        match (&self.stage, frame.frame) {
            (Stage::Head, Some(Frame::Head(head))) => self.accept_head(head),
            (Stage::Data, Some(Frame::Data(data))) => Ok(self.accept_data(data)),
            (Stage::Head | Stage::Data, Some(Frame::Final(end))) => self.accept_final(end),
            (_, frame) => UnexpectedKindSnafu {
                request_id: &*self.request_id,
                kind: kind_of(frame.as_ref()),
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

    fn accept_final(&mut self, end: control::FinalFrame) -> Result<FrameEvent, FrameError> {
        let request_id = &*self.request_id;
        ensure!(
            end.data_frames == self.data_frames,
            TruncatedSnafu {
                request_id,
                announced: end.data_frames,
                found: self.data_frames,
            }
        );
        ensure!(
            end.digest == self.digest.digest(),
            DigestSnafu { request_id }
        );
        let whole = end.code.is_empty();
        let began = self.stage == Stage::Data;
        let ran = end.outcome() == control::Outcome::Ran;
        ensure!(
            !whole || (began && ran),
            UnexpectedKindSnafu {
                request_id,
                kind: "final",
                sequence: self.next_sequence - 1,
            }
        );
        self.stage = Stage::Ended;
        if whole {
            return Ok(FrameEvent::Whole);
        }
        Ok(FrameEvent::Failed(CallFailure {
            outcome: end.outcome().into(),
            code: end.code,
            message: end.message,
            retry_after_ms: end.retry_after_ms,
            quarantined: end.quarantined,
        }))
    }
}

fn kind_of(frame: Option<&Frame>) -> &'static str {
    match frame {
        Some(Frame::Head(_)) => "head",
        Some(Frame::Data(_)) => "data",
        Some(Frame::Final(_)) => "final",
        None => "empty",
    }
}
