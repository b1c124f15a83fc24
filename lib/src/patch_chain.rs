//! The latest changes of one value, kept for peers that hold an older revision.

use std::collections::VecDeque;

use prost::Message;

use crate::protos::control::PatchStep;

const MAX_STEPS: usize = 64;
const MAX_BYTES: usize = 64 << 10;

/// The latest changes of one value, each from one revision in force to the next.
///
/// The chain is bounded in steps and bytes; the oldest are dropped first. A change that cannot be
/// told as a short patch empties it.
#[derive(Debug, Default)]
pub struct PatchChain {
    /// Revision from which the first step leads on.
    base_revision: u64,
    steps: VecDeque<PatchStep>,
    bytes: usize,
}

impl PatchChain {
    /// Makes a chain without steps that ends at `revision`.
    #[must_use]
    pub fn new(revision: u64) -> Self {
        Self {
            base_revision: revision,
            ..Self::default()
        }
    }

    /// Adds the step that leads on from `former_revision`; a gap empties the chain before.
    pub fn push(&mut self, former_revision: u64, step: PatchStep) {
        if self.revision() != former_revision || step.revision <= former_revision {
            *self = Self::new(former_revision);
        }
        if step.revision <= former_revision {
            return;
        }
        self.bytes += step.encoded_len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_BYTES {
            self.drop_first();
        }
    }

    /// Returns the steps from `revision` to the last one, or `None` if the chain does not hold it.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<PatchStep>> {
        if revision == self.base_revision {
            return Some(self.steps.iter().cloned().collect());
        }
        let mut steps = self.steps.iter();
        let at = steps.position(|step| step.revision == revision)?;
        Some(self.steps.iter().skip(at + 1).cloned().collect())
    }

    /// Returns the revision at which the chain ends.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let last = self.steps.back();
        last.map_or(self.base_revision, |step| step.revision)
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.steps.pop_front() {
            self.base_revision = first.revision;
            self.bytes -= first.encoded_len();
        }
    }
}
