//! Weighted fair queue that shares the slots of one endpoint among organisations.
//!
//! Free slots go first to organisations that are within their declared share. Each of them has a
//! clock that advances by the charged slot time divided by the rate of the share, and the lowest
//! clock goes first. Slots that they leave idle are lent by idle weight, in the order of a virtual
//! time. Running requests are not preempted, so an organisation whose demand returns gets the first
//! free slot that no other organisation within its share claims.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::Admission;
use crate::FairQueueSettings;
use crate::QueueAction;
use crate::QueuedRequest;
use crate::RefusalCode;
use crate::RequestNumber;
use crate::SlotAccount;
use crate::StartedRequest;
use crate::organisation_queue::OrganisationQueue;
use crate::protos::template::OrganisationParameters;
use crate::queue_order::QueueOrder;
use crate::queue_position::QueuePosition;
use crate::running_request::RunningRequest;
use crate::running_requests::RunningRequests;
use crate::share_rate::ShareRate;
use crate::work_estimate::WorkEstimate;

/// Weighted fair queue that shares the slots of one endpoint among organisations.
///
/// Times are milliseconds of the agent's monotonic clock; a time before that of an earlier call
/// counts as the earlier call's time. After [`finish`](Self::finish), [`cancel`](Self::cancel) or a
/// change of capacity the caller must call [`next`](Self::next) for the requests to start.
#[derive(Debug)]
pub struct FairQueue {
    settings: FairQueueSettings,
    now_ms: u64,
    draining: bool,
    organisations: Vec<OrganisationQueue>,
    index_by_name: HashMap<String, usize>,
    /// Unused indices of `organisations`.
    free_indices: Vec<usize>,
    total_share_weight: u64,
    /// Largest idle clock at which a slot was lent.
    idle_virtual_time: u128,
    next_sequence: u64,
    queued: HashMap<RequestNumber, QueuePosition>,
    /// Expected slot time of all queued requests.
    queued_work_ms: u64,
    /// Latest start times of the queued requests, by which they expire.
    latest_starts: BTreeSet<(u64, RequestNumber)>,
    order: QueueOrder,
    running: RunningRequests,
}

impl FairQueue {
    /// Creates an empty queue without organisations.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> Self {
        Self {
            order: QueueOrder::new(settings.urgency_step_ms),
            settings,
            now_ms: 0,
            draining: false,
            organisations: Vec::new(),
            index_by_name: HashMap::new(),
            free_indices: Vec::new(),
            total_share_weight: 0,
            idle_virtual_time: 0,
            next_sequence: 0,
            queued: HashMap::new(),
            queued_work_ms: 0,
            latest_starts: BTreeSet::new(),
            running: RunningRequests::default(),
        }
    }

    /// Replaces the parameters of all organisations.
    ///
    /// New requests of organisations without parameters are refused. Their admitted requests still
    /// run, after those of all other organisations.
    pub fn set_parameters(&mut self, parameters: &[OrganisationParameters], now_ms: u64) {
        self.advance(now_ms);
        self.order.clear();
        let previous_rates = self.share_rates();
        let named: HashSet<&str> = parameters.iter().map(|p| p.organisation.as_str()).collect();
        for organisation in &mut self.organisations {
            if !named.contains(organisation.name.as_str()) {
                organisation.clear_parameters();
            }
        }
        for parameters in parameters {
            let index = self.index_or_insert(&parameters.organisation);
            self.organisations[index].set_parameters(parameters);
        }
        let organisations = self.organisations.iter();
        self.total_share_weight = organisations.map(|o| u64::from(o.share_weight)).sum();
        self.rebuild_order(&previous_rates);
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn set_capacity(&mut self, capacity: u32, now_ms: u64) {
        self.advance(now_ms);
        self.order.clear();
        let previous_rates = self.share_rates();
        self.settings.capacity = capacity;
        self.rebuild_order(&previous_rates);
    }

    /// Refuses new requests from now on; queued and running requests finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether the queue is draining and no request is queued or running.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.queued.is_empty() && self.running.len() == 0
    }

    /// Returns the number of requests that hold a slot.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.queued.len()
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, request: QueuedRequest, now_ms: u64) -> Admission {
        self.advance(now_ms);
        let index = match self.check_admissible(&request) {
            Ok(index) => index,
            Err(code) => return self.refusal(code),
        };
        if self.has_free_slot() && self.queued.is_empty() {
            self.enqueue(index, request);
            return match self.start_first() {
                Some(started) => Admission::Start(started),
                None => Admission::Queued {
                    displaced: None,
                    retry_after_ms: 0,
                },
            };
        }
        let wait_ms = self.expected_wait_ms(index);
        let latest_start_ms = request.latest_start_ms().unwrap_or(0);
        if self.now_ms.saturating_add(wait_ms) > latest_start_ms {
            return self.refusal(RefusalCode::DeadlineUnreachable);
        }
        let displaced = match self.make_room(index) {
            Ok(displaced) => displaced,
            Err(code) => return self.refusal(code),
        };
        self.enqueue(index, request);
        Admission::Queued {
            displaced,
            retry_after_ms: self.retry_after_ms(),
        }
    }

    /// Releases the slot of a running request; returns whether it was running.
    pub fn finish(&mut self, number: RequestNumber, now_ms: u64) -> bool {
        self.advance(now_ms);
        let Some(request) = self.running.finish(number) else {
            return false;
        };
        self.charge(&request, -request.refund_ms(self.now_ms));
        self.organisations[request.organisation].running_requests -= 1;
        self.remove_if_unused(request.organisation);
        true
    }

    /// Removes a queued or running request; returns whether it was found.
    pub fn cancel(&mut self, number: RequestNumber, now_ms: u64) -> bool {
        self.advance(now_ms);
        self.remove_queued(number).is_some() || self.finish(number, now_ms)
    }

    /// Expires the queued requests that can no longer meet their deadline and starts requests in
    /// the free slots; returns both.
    pub fn next(&mut self, now_ms: u64) -> Vec<QueueAction> {
        self.advance(now_ms);
        let mut actions = Vec::new();
        while let Some(number) = self.remove_expired() {
            actions.push(QueueAction::Expired {
                number,
                retry_after_ms: self.retry_after_ms(),
            });
        }
        while let Some(started) = self.start_first() {
            actions.push(QueueAction::Start(started));
        }
        actions
    }

    /// Returns the time at which [`next`](Self::next) will expire a request, if any is queued.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let (latest_start_ms, _) = self.latest_starts.first()?;
        Some(latest_start_ms.saturating_add(1))
    }

    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((request, added_ms)) = self.running.charge_overdue(self.now_ms) {
            self.charge(&request, added_ms);
        }
    }

    fn share_rate(&self, index: usize) -> ShareRate {
        ShareRate {
            capacity: self.settings.capacity,
            share_weight: self.organisations[index].share_weight,
            total_share_weight: self.total_share_weight,
        }
    }

    fn share_rates(&self) -> Vec<ShareRate> {
        let indices = 0..self.organisations.len();
        indices.map(|index| self.share_rate(index)).collect()
    }

    /// Rebuilds the order of the organisations after the rates of their shares changed from
    /// `previous_rates`.
    fn rebuild_order(&mut self, previous_rates: &[ShareRate]) {
        for index in 0..self.organisations.len() {
            let rate = self.share_rate(index);
            let organisation = &mut self.organisations[index];
            if let Some(previous_rate) = previous_rates.get(index) {
                organisation.rescale_owned_clock(self.now_ms, *previous_rate, rate);
            }
            self.order.insert(index, organisation);
            self.remove_if_unused(index);
        }
    }

    fn charge(&mut self, request: &RunningRequest, delta_ms: i64) {
        let rate = self.share_rate(request.organisation);
        let organisation = &mut self.organisations[request.organisation];
        self.order.remove(request.organisation, organisation);
        match request.account {
            SlotAccount::Owned => organisation.charge_owned(delta_ms, rate),
            SlotAccount::Borrowed => organisation.charge_idle(delta_ms),
        }
        self.order.insert(request.organisation, organisation);
    }

    fn check_admissible(&self, request: &QueuedRequest) -> Result<usize, RefusalCode> {
        if self.draining {
            return Err(RefusalCode::Draining);
        }
        let index = self.index_by_name.get(&request.organisation);
        let index = *index.ok_or(RefusalCode::UnknownOrganisation)?;
        if !self.organisations[index].is_declared {
            return Err(RefusalCode::UnknownOrganisation);
        }
        if self.queued.contains_key(&request.number) || self.running.contains(request.number) {
            return Err(RefusalCode::DuplicateRequest);
        }
        if self.organisations[index].at_limit() {
            return Err(RefusalCode::OrganisationLimit);
        }
        match request.latest_start_ms() {
            Some(latest_start_ms) if latest_start_ms >= self.now_ms => Ok(index),
            _ => Err(RefusalCode::DeadlineUnreachable),
        }
    }

    /// Makes room for one more request of the organisation. When the queue is full, the newest
    /// request of the organisation with the longest queue is displaced.
    fn make_room(&mut self, index: usize) -> Result<Option<RequestNumber>, RefusalCode> {
        if self.queued.len() < self.settings.max_queued_requests as usize {
            return Ok(None);
        }
        let own_length = self.organisations[index].queued.len();
        let longest_index = self.order.longest().ok_or(RefusalCode::QueueFull)?;
        let queue = &self.organisations[longest_index].queued;
        if queue.len() <= own_length + 1 {
            return Err(RefusalCode::QueueFull);
        }
        let newest = queue.last_key_value().map(|(_, request)| request.number);
        let number = newest.ok_or(RefusalCode::QueueFull)?;
        self.remove_queued(number);
        Ok(Some(number))
    }

    fn enqueue(&mut self, index: usize, request: QueuedRequest) {
        let organisation = &mut self.organisations[index];
        self.order.remove(index, organisation);
        if organisation.queued.is_empty() {
            let credit_ms = self.settings.share_credit_ms;
            organisation.resume_demand(self.now_ms, credit_ms, self.idle_virtual_time);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = QueuePosition {
            organisation: index,
            sequence,
        };
        self.queued.insert(request.number, position);
        self.queued_work_ms += request.expected_run_ms;
        organisation.queued_work_ms += request.expected_run_ms;
        let latest_start_ms = request.latest_start_ms().unwrap_or(0);
        self.latest_starts.insert((latest_start_ms, request.number));
        organisation.queued.insert(sequence, request);
        self.order.insert(index, organisation);
    }

    fn remove_queued(&mut self, number: RequestNumber) -> Option<QueuedRequest> {
        let position = self.queued.remove(&number)?;
        let organisation = &mut self.organisations[position.organisation];
        self.order.remove(position.organisation, organisation);
        let request = organisation.queued.remove(&position.sequence)?;
        organisation.queued_work_ms -= request.expected_run_ms;
        self.queued_work_ms -= request.expected_run_ms;
        let latest_start_ms = request.latest_start_ms().unwrap_or(0);
        self.latest_starts.remove(&(latest_start_ms, number));
        self.order.insert(position.organisation, organisation);
        self.remove_if_unused(position.organisation);
        Some(request)
    }

    fn remove_expired(&mut self) -> Option<RequestNumber> {
        let (latest_start_ms, number) = *self.latest_starts.first()?;
        if latest_start_ms >= self.now_ms {
            return None;
        }
        self.remove_queued(number)?;
        Some(number)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    /// Starts the first request in order if a slot is free.
    fn start_first(&mut self) -> Option<StartedRequest> {
        if !self.has_free_slot() {
            return None;
        }
        let (index, account) = self.order.first(self.now_ms)?;
        let first = self.organisations[index].queued.first_key_value();
        let number = first.map(|(_, request)| request.number)?;
        self.organisations[index].running_requests += 1;
        let request = self.remove_queued(number)?;
        if account == SlotAccount::Borrowed {
            let idle_clock = self.organisations[index].idle_clock;
            self.idle_virtual_time = self.idle_virtual_time.max(idle_clock);
        }
        let run_ms = request.expected_run_ms;
        let charge_ms = self
            .running
            .start(number, index, account, self.now_ms, run_ms);
        let running = RunningRequest::new(index, account, self.now_ms, run_ms);
        self.charge(&running, charge_ms);
        Some(StartedRequest {
            number,
            organisation: request.organisation,
            account,
        })
    }

    fn work_estimate(&self) -> WorkEstimate {
        WorkEstimate {
            capacity: self.settings.capacity,
            running_ms: self.running.remaining_work_ms(self.now_ms),
            queued_ms: self.queued_work_ms,
        }
    }

    /// Estimates the time that one more request of the organisation would be queued.
    fn expected_wait_ms(&self, index: usize) -> u64 {
        let organisation = &self.organisations[index];
        let own_ms = organisation.queued_work_ms;
        let weight = organisation.share_weight;
        self.work_estimate()
            .share_ms(own_ms, weight, self.total_share_weight)
    }

    fn refusal(&self, code: RefusalCode) -> Admission {
        let retry_after_ms = match code {
            RefusalCode::Draining | RefusalCode::DuplicateRequest => 0,
            _ => self.retry_after_ms(),
        };
        Admission::Refused {
            code,
            retry_after_ms,
        }
    }

    /// Returns the estimated time to process all admitted requests, within the bounds of the
    /// settings.
    fn retry_after_ms(&self) -> u64 {
        let settings = &self.settings;
        let wait_ms = self.work_estimate().total_ms();
        let wait_ms = wait_ms.max(settings.min_retry_after_ms);
        wait_ms.min(settings.max_retry_after_ms)
    }

    fn index_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.index_by_name.get(name) {
            return *index;
        }
        let organisation = OrganisationQueue::new(name);
        let index = if let Some(index) = self.free_indices.pop() {
            self.organisations[index] = organisation;
            index
        } else {
            self.organisations.push(organisation);
            self.organisations.len() - 1
        };
        self.index_by_name.insert(name.to_owned(), index);
        index
    }

    fn remove_if_unused(&mut self, index: usize) {
        let organisation = &self.organisations[index];
        if organisation.is_declared || !organisation.is_empty() {
            return;
        }
        if self.index_by_name.remove(&organisation.name).is_some() {
            self.organisations[index].name.clear();
            self.free_indices.push(index);
        }
    }
}
