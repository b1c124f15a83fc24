//! Admission of requests to the batch of an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::engine_load::EngineLoad;
use crate::load_history::LoadHistory;

/// Admits requests to a bounded batch, the most urgent of the queue first.
#[derive(Debug)]
pub(crate) struct EngineScheduler {
    state: Mutex<SchedulerState>,
}

#[derive(Debug)]
struct SchedulerState {
    load: EngineLoad,
    next_arrival: u64,
    queue: BTreeMap<QueueRank, QueuedRequest>,
    history: LoadHistory,
}

/// Orders the queue by falling priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    inverted_priority: u32,
    arrival: u64,
}

#[derive(Debug)]
struct QueuedRequest {
    tokens: u64,
    admitted: oneshot::Sender<BatchSlot>,
}

/// A place in the batch; it is given back on drop.
#[derive(Debug)]
pub(crate) struct BatchSlot {
    scheduler: Arc<EngineScheduler>,
}

/// A place in the queue; it is given up on drop.
#[derive(Debug)]
struct QueuePlace {
    scheduler: Arc<EngineScheduler>,
    rank: QueueRank,
}

impl EngineScheduler {
    /// Creates a scheduler of `capacity` slots whose reports lag by `lag`.
    pub(crate) fn new(capacity: u32, prefill_tokens_per_s: u64, lag: Duration) -> Self {
        let load = EngineLoad {
            capacity,
            prefill_tokens_per_s,
            ..EngineLoad::default()
        };
        let state = SchedulerState {
            load: load.clone(),
            next_arrival: 0,
            queue: BTreeMap::new(),
            history: LoadHistory::new(lag, load),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a slot in the batch.
    pub(crate) async fn admit(self: &Arc<Self>, priority: u32, tokens: u64) -> BatchSlot {
        let waiting = self.lock().enter(priority, tokens);
        if let Some((rank, admitted)) = waiting {
            let _place = QueuePlace {
                scheduler: Arc::clone(self),
                rank,
            };
            if let Ok(slot) = admitted.await {
                return slot;
            }
        }
        BatchSlot {
            scheduler: Arc::clone(self),
        }
    }

    /// Returns the lagging load report.
    pub(crate) fn report(&self) -> EngineLoad {
        self.lock().history.report(Instant::now()).clone()
    }

    fn lock(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl SchedulerState {
    fn enter(
        &mut self,
        priority: u32,
        tokens: u64,
    ) -> Option<(QueueRank, oneshot::Receiver<BatchSlot>)> {
        let waiting = if self.load.running < self.load.capacity {
            self.load.running += 1;
            None
        } else {
            Some(self.enqueue(priority, tokens))
        };
        self.record();
        waiting
    }

    fn enqueue(&mut self, priority: u32, tokens: u64) -> (QueueRank, oneshot::Receiver<BatchSlot>) {
        let rank = QueueRank {
            inverted_priority: u32::MAX - priority,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        let (admitted, receiver) = oneshot::channel();
        self.queue.insert(rank, QueuedRequest { tokens, admitted });
        (rank, receiver)
    }

    /// Takes the head of the queue, or closes the slot when nobody waits.
    fn release(&mut self) -> Option<QueuedRequest> {
        let next = self.queue.pop_first().map(|(_, request)| request);
        if next.is_none() {
            self.load.running -= 1;
        }
        self.record();
        next
    }

    fn record(&mut self) {
        self.load.queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.load.queued_tokens = self.queue.values().map(|queued| queued.tokens).sum();
        let load = self.load.clone();
        self.history.record(load, Instant::now());
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let next = self.scheduler.lock().release();
        if let Some(request) = next {
            let slot = BatchSlot {
                scheduler: Arc::clone(&self.scheduler),
            };
            // A slot that its receiver has abandoned comes back and is released to the next.
            drop(request.admitted.send(slot));
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        if state.queue.remove(&self.rank).is_some() {
            state.record();
        }
    }
}
