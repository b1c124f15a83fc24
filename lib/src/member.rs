//! What one process knows of another VM.

use std::collections::VecDeque;

use crate::Incarnation;
use crate::ListedVm;
use crate::MemberState;
use crate::MemberWord;
use crate::WordEffect;

/// Former incarnations of one VM whose words are told from a new incarnation's.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// What one process knows of another VM.
#[derive(Debug)]
pub struct Member {
    listed: ListedVm,
    pub(crate) is_listed: bool,
    /// The list's leaving mark was made for an incarnation that is gone.
    leaving_mark_outdated: bool,
    word: Option<MemberWord>,
    /// Time of sending of the request that the freshest word answered.
    asked_ms: u64,
    /// Time of receipt of the latest word of the known incarnation.
    heard_ms: u64,
    former_incarnations: VecDeque<Incarnation>,
    pub(crate) next_heartbeat_ms: u64,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, next_heartbeat_ms: u64) -> Self {
        Self {
            listed,
            is_listed: true,
            leaving_mark_outdated: false,
            word: None,
            asked_ms: 0,
            heard_ms: 0,
            former_incarnations: VecDeque::new(),
            next_heartbeat_ms,
        }
    }

    /// Returns the VM's row in the list, as last seen there.
    #[must_use]
    pub fn listed(&self) -> &ListedVm {
        &self.listed
    }

    /// Returns the latest word of the known incarnation, if any was heard.
    #[must_use]
    pub fn word(&self) -> Option<&MemberWord> {
        self.word.as_ref()
    }

    /// Returns the time of sending of the request that the freshest word answered; the process was
    /// in the state of its word at that time or later.
    #[must_use]
    pub fn asked_ms(&self) -> u64 {
        self.asked_ms
    }

    pub(crate) fn state(&self, now_ms: u64, suspect_after_ms: u64) -> MemberState {
        let leaving_by_list = self.listed.leaving && !self.leaving_mark_outdated;
        let Some(word) = &self.word else {
            return if leaving_by_list {
                MemberState::Leaving
            } else {
                MemberState::Unheard
            };
        };
        if leaving_by_list || word.leaving {
            return MemberState::Leaving;
        }
        if now_ms.saturating_sub(self.asked_ms) > suspect_after_ms {
            return MemberState::Suspected;
        }
        if word.endpoint_up {
            MemberState::Alive
        } else {
            MemberState::EndpointDown
        }
    }

    pub(crate) fn observe_listed(&mut self, listed: &ListedVm) {
        self.is_listed = true;
        if !listed.leaving {
            self.leaving_mark_outdated = false;
        }
        self.listed = listed.clone();
    }

    /// Takes a word that answers a request sent at `asked_ms`.
    ///
    /// Incarnations have no order. A word of another incarnation is newer for certain only if its
    /// request was sent after the last word of the known one had come; any other is ignored, and
    /// the next heartbeat settles the matter.
    pub(crate) fn observe_word(
        &mut self,
        word: &MemberWord,
        asked_ms: u64,
        now_ms: u64,
    ) -> WordEffect {
        let Some(known) = &self.word else {
            self.adopt(word, asked_ms, now_ms);
            return WordEffect::NewIncarnation;
        };
        if known.incarnation == word.incarnation {
            self.merge(word, asked_ms, now_ms);
            return WordEffect::Refreshed;
        }
        let is_former = self.former_incarnations.contains(&word.incarnation);
        if is_former || asked_ms <= self.heard_ms {
            return WordEffect::Ignored;
        }
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.pop_front();
        }
        self.former_incarnations.push_back(known.incarnation);
        self.leaving_mark_outdated = self.listed.leaving;
        self.adopt(word, asked_ms, now_ms);
        WordEffect::NewIncarnation
    }

    /// Takes another process's word that the given incarnation is leaving.
    pub(crate) fn observe_relayed_leaving(&mut self, incarnation: Incarnation) {
        if let Some(word) = &mut self.word
            && word.incarnation == incarnation
        {
            word.leaving = true;
        }
    }

    /// Tells whether a heartbeat is due, and plans the next one.
    pub(crate) fn take_due_heartbeat(&mut self, now_ms: u64, interval_ms: u64) -> bool {
        if self.word.is_some() {
            let after_word_ms = self.asked_ms.saturating_add(interval_ms);
            self.next_heartbeat_ms = self.next_heartbeat_ms.max(after_word_ms);
        }
        if self.next_heartbeat_ms > now_ms {
            return false;
        }
        self.next_heartbeat_ms = now_ms.saturating_add(interval_ms);
        true
    }

    fn adopt(&mut self, word: &MemberWord, asked_ms: u64, now_ms: u64) {
        self.word = Some(word.clone());
        self.asked_ms = asked_ms;
        self.heard_ms = now_ms;
    }

    /// Merges a word of the known incarnation, which may have been overtaken by a later one.
    fn merge(&mut self, word: &MemberWord, asked_ms: u64, now_ms: u64) {
        let Some(known) = &mut self.word else {
            return;
        };
        known.leaving |= word.leaving;
        known.clock_ms = known.clock_ms.max(word.clock_ms);
        known.config_revision = known.config_revision.max(word.config_revision);
        if asked_ms >= self.asked_ms {
            known.endpoint_up = word.endpoint_up;
        }
        self.asked_ms = self.asked_ms.max(asked_ms);
        self.heard_ms = self.heard_ms.max(now_ms);
    }
}
