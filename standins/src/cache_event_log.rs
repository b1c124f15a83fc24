//! Publishing the events of the prefix cache, late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::cache_event::CacheChange;
use crate::cache_event::CacheEvent;

const MAX_EVENTS: usize = 4096;

/// Holds the newest events until they are old enough to be read; some are lost.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    lag: Duration,
    /// Every event whose sequence is a multiple of this is lost; zero loses none.
    lose_every: u64,
    last_sequence: u64,
    events: VecDeque<LoggedEvent>,
}

#[derive(Debug)]
struct LoggedEvent {
    visible_at: Instant,
    event: CacheEvent,
}

impl CacheEventLog {
    /// Creates an empty log whose events are readable after `lag`.
    pub(crate) fn new(lag: Duration, lose_every: u64) -> Self {
        Self {
            lag,
            lose_every,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Appends changes, dropping the oldest events when there is no room.
    pub(crate) fn append(&mut self, changes: &[CacheChange], now: Instant) {
        for change in changes {
            self.last_sequence += 1;
            if self.is_lost(self.last_sequence) {
                continue;
            }
            if self.events.len() == MAX_EVENTS {
                self.events.pop_front();
            }
            self.events.push_back(LoggedEvent {
                visible_at: now + self.lag,
                event: CacheEvent {
                    sequence: self.last_sequence,
                    change: *change,
                },
            });
        }
    }

    /// Returns the readable events after `sequence`.
    pub(crate) fn after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|logged| logged.visible_at <= now && logged.event.sequence > sequence)
            .map(|logged| logged.event)
            .collect()
    }

    fn is_lost(&self, sequence: u64) -> bool {
        self.lose_every > 0 && sequence.is_multiple_of(self.lose_every)
    }
}
