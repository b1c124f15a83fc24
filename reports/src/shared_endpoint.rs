//! A stand-in endpoint behind either discipline.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::Range;

use pomeloramp_lib::Admission;
use pomeloramp_lib::CapacityAccount;
use pomeloramp_lib::FairQueue;
use pomeloramp_lib::FairQueueSettings;
use pomeloramp_lib::IdleTimeTracker;
use pomeloramp_lib::QueueAction;
use pomeloramp_lib::QueuedRequest;
use pomeloramp_lib::RequestNumber;
use pomeloramp_lib::protos::template::OrganisationParameters;

const MAX_QUEUED_REQUESTS: u32 = 400;
const DEADLINE_MS: u64 = 30_000;
const EXPECTED_RUN_MS: u64 = 2_000;

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// In the order of their arrival, whosever they are.
    OneLine,
    /// By the fair queue.
    Fair,
}

impl Discipline {
    /// Every discipline, ours last.
    pub const ALL: [Self; 2] = [Self::OneLine, Self::Fair];

    /// Returns the name that tables and plots show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OneLine => "one line",
            Self::Fair => "fair queue",
        }
    }
}

struct Sent {
    organisation: usize,
    offered_ms: u64,
    run_ms: u64,
}

/// A stand-in endpoint that records how long each request waited.
pub(crate) struct SharedEndpoint {
    discipline: Discipline,
    capacity: usize,
    queue: FairQueue,
    tracker: IdleTimeTracker,
    line: VecDeque<RequestNumber>,
    now_ms: u64,
    requests: Vec<Sent>,
    ends: BTreeSet<(u64, RequestNumber)>,
    waits_ms: Vec<(usize, u64)>,
    refusals: Vec<usize>,
}

/// Returns the name of an organisation.
pub(crate) fn name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

impl SharedEndpoint {
    pub(crate) fn new(
        discipline: Discipline,
        capacity: u32,
        parameters: &[OrganisationParameters],
    ) -> Self {
        let settings = FairQueueSettings::builder()
            .capacity(capacity)
            .max_queued_requests(MAX_QUEUED_REQUESTS)
            .build();
        let mut queue = FairQueue::new(settings);
        queue.set_parameters(parameters, 0);
        let mut tracker = IdleTimeTracker::new(capacity, 0);
        tracker.set_parameters(parameters, 0);
        Self {
            discipline,
            capacity: capacity as usize,
            queue,
            tracker,
            line: VecDeque::new(),
            now_ms: 0,
            requests: Vec::new(),
            ends: BTreeSet::new(),
            waits_ms: Vec::new(),
            refusals: Vec::new(),
        }
    }

    pub(crate) fn waits_ms(&self, organisations: Range<usize>) -> Vec<u64> {
        let waits = self.waits_ms.iter();
        let waits = waits.filter(|(organisation, _)| organisations.contains(organisation));
        waits.map(|(_, wait_ms)| *wait_ms).collect()
    }

    pub(crate) fn refused(&self, organisations: Range<usize>) -> usize {
        let refusals = self.refusals.iter();
        refusals
            .filter(|organisation| organisations.contains(organisation))
            .count()
    }

    /// Returns who used whose capacity until the present.
    pub(crate) fn accounts(&mut self) -> Vec<CapacityAccount> {
        self.tracker.advance(self.now_ms);
        self.tracker.accounts().to_vec()
    }

    pub(crate) fn advance(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        while let Some((end_ms, number)) = self.ends.first().copied() {
            if end_ms > now_ms {
                break;
            }
            self.ends.remove(&(end_ms, number));
            let organisation = self.request(number).organisation;
            self.tracker.observe_finish(&name(organisation), now_ms);
            if self.discipline == Discipline::Fair {
                self.queue.finish(number, now_ms);
            }
        }
        match self.discipline {
            Discipline::OneLine => self.start_from_line(),
            Discipline::Fair => self.start_from_queue(),
        }
    }

    pub(crate) fn offer(&mut self, organisation: usize, run_ms: u64) {
        let number = RequestNumber(self.requests.len() as u64);
        self.requests.push(Sent {
            organisation,
            offered_ms: self.now_ms,
            run_ms,
        });
        match self.discipline {
            Discipline::OneLine => self.offer_to_line(number, organisation),
            Discipline::Fair => self.offer_to_queue(number, organisation),
        }
    }

    fn offer_to_line(&mut self, number: RequestNumber, organisation: usize) {
        if self.line.len() >= MAX_QUEUED_REQUESTS as usize {
            self.refusals.push(organisation);
            return;
        }
        self.line.push_back(number);
        self.start_from_line();
    }

    fn start_from_line(&mut self) {
        while self.ends.len() < self.capacity
            && let Some(number) = self.line.pop_front()
        {
            let request = self.request(number);
            if self.now_ms + EXPECTED_RUN_MS > request.offered_ms + DEADLINE_MS {
                let organisation = request.organisation;
                self.refusals.push(organisation);
                continue;
            }
            self.start(number);
        }
    }

    fn offer_to_queue(&mut self, number: RequestNumber, organisation: usize) {
        let request = QueuedRequest {
            number,
            organisation: name(organisation),
            deadline_ms: self.now_ms + DEADLINE_MS,
            expected_run_ms: EXPECTED_RUN_MS,
        };
        match self.queue.offer(request, self.now_ms) {
            Admission::Start(_) => self.start(number),
            Admission::Queued { displaced, .. } => {
                if let Some(displaced) = displaced {
                    let organisation = self.request(displaced).organisation;
                    self.refusals.push(organisation);
                }
            }
            Admission::Refused { .. } => self.refusals.push(organisation),
        }
    }

    fn start_from_queue(&mut self) {
        for dispatch in self.queue.next(self.now_ms) {
            match dispatch {
                QueueAction::Start(started) => self.start(started.number),
                QueueAction::Expired { number, .. } => {
                    let organisation = self.request(number).organisation;
                    self.refusals.push(organisation);
                }
            }
        }
    }

    fn start(&mut self, number: RequestNumber) {
        let request = self.request(number);
        let (organisation, run_ms) = (request.organisation, request.run_ms);
        let wait_ms = self.now_ms - request.offered_ms;
        self.waits_ms.push((organisation, wait_ms));
        self.ends.insert((self.now_ms + run_ms, number));
        let now_ms = self.now_ms;
        self.tracker.observe_start(&name(organisation), now_ms);
    }

    fn request(&self, number: RequestNumber) -> &Sent {
        let index = usize::try_from(number.0).expect("a request that was sent");
        &self.requests[index]
    }
}
