//! Creates the frames of an answer, on the agent's side.

use xxhash_rust::xxh3::Xxh3;

use crate::Refusal;
use crate::RetryAdvice;
use crate::protos::control;
use crate::protos::control::call_frame::Frame;

/// Creates the frames of one answer, with sequence numbers and a digest of the payloads.
#[derive(Clone)]
pub struct FrameWriter {
    request_id: Box<str>,
    sequence: u64,
    data_frames: u64,
    digest: Xxh3,
}

impl FrameWriter {
    /// Creates the writer of the answer to one request.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.into(),
            sequence: 0,
            data_frames: 0,
            digest: Xxh3::new(),
        }
    }

    /// Creates the head frame, which must be the first.
    pub fn head(&mut self, status: u16, content_type: &str) -> control::CallFrame {
        let head = control::HeadFrame {
            status: u32::from(status),
            content_type: content_type.to_owned(),
        };
        self.frame(Frame::Head(head))
    }

    /// Creates a data frame with a part of the body and its number of tokens (zero for answers of
    /// plain services).
    pub fn data(&mut self, payload: Vec<u8>, tokens: u32) -> control::CallFrame {
        self.data_frames += 1;
        self.digest.update(&payload);
        self.frame(Frame::Data(control::DataFrame { payload, tokens }))
    }

    /// Creates the final frame of a complete answer.
    #[must_use]
    pub fn finish(mut self) -> control::CallFrame {
        let final_frame = control::FinalFrame {
            outcome: control::Outcome::Ran.into(),
            data_frames: self.data_frames,
            digest: self.digest.digest(),
            ..control::FinalFrame::default()
        };
        self.frame(Frame::Final(final_frame))
    }

    /// Creates the final frame of an incomplete answer from a refusal. May come before the head
    /// frame.
    #[must_use]
    pub fn refuse(self, refusal: &Refusal, message: &str) -> control::CallFrame {
        let retry_after_ms = match refusal.retry {
            RetryAdvice::Never => 0,
            RetryAdvice::FreshPlacement { after_ms } | RetryAdvice::SamePlacement { after_ms } => {
                after_ms.max(1)
            }
        };
        let outcome = refusal.outcome.into();
        self.fail(outcome, refusal.code.as_str(), message, retry_after_ms)
    }

    /// Creates the final frame of an incomplete answer from an outcome and a stable error code.
    ///
    /// `retry_after_ms` is zero when a retry can't succeed.
    #[must_use]
    pub fn fail(
        mut self,
        outcome: control::Outcome,
        code: &str,
        message: &str,
        retry_after_ms: u64,
    ) -> control::CallFrame {
        let final_frame = control::FinalFrame {
            outcome: outcome.into(),
            code: code.to_owned(),
            message: message.to_owned(),
            retry_after_ms,
            data_frames: self.data_frames,
            digest: self.digest.digest(),
            ..control::FinalFrame::default()
        };
        self.frame(Frame::Final(final_frame))
    }

    /// Creates the final frame of a call during which the endpoint crashed.
    #[must_use]
    pub fn fail_crashed(
        mut self,
        refusal: &Refusal,
        message: &str,
        quarantined: Vec<control::QuarantineEntry>,
    ) -> control::CallFrame {
        let final_frame = control::FinalFrame {
            outcome: control::Outcome::from(refusal.outcome).into(),
            code: refusal.code.as_str().to_owned(),
            message: message.to_owned(),
            data_frames: self.data_frames,
            digest: self.digest.digest(),
            quarantined,
            ..control::FinalFrame::default()
        };
        self.frame(Frame::Final(final_frame))
    }

    fn frame(&mut self, frame: Frame) -> control::CallFrame {
        let sequence = self.sequence;
        self.sequence += 1;
        control::CallFrame {
            request_id: self.request_id.to_string(),
            sequence,
            frame: Some(frame),
        }
    }
}
