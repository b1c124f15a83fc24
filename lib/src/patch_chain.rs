//! Recent patches of one configuration value, kept for peers that have an older revision.

use std::collections::VecDeque;

use prost::Message;

use crate::protos::control::PatchStep;

const MAX_STEPS: usize = 64;
const MAX_BYTES: usize = 64 << 10;

/// Recent patches of one configuration value, each from one revision in force to the next.
///
/// The chain is bounded in steps and bytes, and the oldest steps are dropped first. A step larger
/// than the bound leaves the chain empty.
#[derive(Debug, Default)]
pub struct PatchChain {
    /// Revision to which the first step applies.
    base_revision: u64,
    steps: VecDeque<PatchStep>,
    bytes: usize,
}

impl PatchChain {
    /// Creates a chain without steps at `revision`.
    #[must_use]
    pub fn new(revision: u64) -> Self {
        Self {
            base_revision: revision,
            ..Self::default()
        }
    }

    /// Adds the step that applies to `previous_revision`. If the chain does not end at that
    /// revision, it is emptied first.
    pub fn push(&mut self, previous_revision: u64, step: PatchStep) {
        if self.revision() != previous_revision || step.revision <= previous_revision {
            *self = Self::new(previous_revision);
        }
        if step.revision <= previous_revision {
            return;
        }
        self.bytes += step.encoded_len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_BYTES {
            self.drop_first();
        }
    }

    /// Returns the steps after `revision`, or `None` if the chain does not contain that revision.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<PatchStep>> {
        if revision == self.base_revision {
            return Some(self.steps.iter().cloned().collect());
        }
        let mut steps = self.steps.iter();
        let at = steps.position(|step| step.revision == revision)?;
        Some(self.steps.iter().skip(at + 1).cloned().collect())
    }

    /// Returns the revision to which the last step leads.
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
