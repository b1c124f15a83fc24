//! Queue in front of one endpoint that shares its slots among organisations.
//!
//! A free slot goes first to the organisations that are within their declared share, in the order
//! of an own clock for each that runs ahead by the slot time charged over the share's rate. What
//! they leave is lent by idle weight, in the order of a virtual time. Slots are not taken from a
//! running request, so an organisation whose demand returns gets the first slot that falls free
//! and is not claimed by another organisation within its share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::Admission;
use crate::Dispatch;
use crate::FairQueueSettings;
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

/// Queue in front of one endpoint that shares its slots among organisations.
///
/// Times are those of the agent's monotonic clock; a time before an earlier call's counts as that
/// of the earlier call. After [`finish`](Self::finish), [`cancel`](Self::cancel) or a change of
/// capacity the caller asks [`next`](Self::next) what to start.
#[derive(Debug)]
pub struct FairQueue {
    settings: FairQueueSettings,
    now_ms: u64,
    draining: bool,
    organisations: Vec<OrganisationQueue>,
    index_by_name: HashMap<String, usize>,
    vacant: Vec<usize>,
    total_share_weight: u64,
    idle_virtual_time: u128,
    next_sequence: u64,
    waiting: HashMap<RequestNumber, QueuePosition>,
    waiting_work_ms: u64,
    latest_starts: BTreeSet<(u64, RequestNumber)>,
    order: QueueOrder,
    running: RunningRequests,
}

impl FairQueue {
    /// Makes an empty queue that knows no organisation.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> Self {
        Self {
            order: QueueOrder::new(settings.urgency_step_ms),
            settings,
            now_ms: 0,
            draining: false,
            organisations: Vec::new(),
            index_by_name: HashMap::new(),
            vacant: Vec::new(),
            total_share_weight: 0,
            idle_virtual_time: 0,
            next_sequence: 0,
            waiting: HashMap::new(),
            waiting_work_ms: 0,
            latest_starts: BTreeSet::new(),
            running: RunningRequests::default(),
        }
    }

    /// Puts parameters in force; organisations that they don't name are refused from now on, while
    /// their admitted requests still run, after those of all others.
    pub fn set_parameters(&mut self, parameters: &[OrganisationParameters], now_ms: u64) {
        self.advance(now_ms);
        self.order.clear();
        let rates = self.share_rates();
        let named: HashSet<&str> = parameters.iter().map(|p| p.organisation.as_str()).collect();
        for organisation in &mut self.organisations {
            if !named.contains(organisation.name.as_str()) {
                organisation.withdraw();
            }
        }
        for parameters in parameters {
            let index = self.index_or_insert(&parameters.organisation);
            self.organisations[index].declare(parameters);
        }
        let weights = self.organisations.iter();
        self.total_share_weight = weights.map(|o| u64::from(o.share_weight)).sum();
        self.restore_order(&rates);
    }

    /// Changes the number of requests that the endpoint runs at once; running ones go on.
    pub fn set_capacity(&mut self, capacity: u32, now_ms: u64) {
        self.advance(now_ms);
        self.order.clear();
        let rates = self.share_rates();
        self.settings.capacity = capacity;
        self.restore_order(&rates);
    }

    /// Refuses new requests from now on; queued and running ones finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Tells whether the queue refuses new requests and has none left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.waiting.is_empty() && self.running.len() == 0
    }

    /// Returns the number of requests that hold a slot.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn queued_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Admits a request, or refuses it at once.
    pub fn offer(&mut self, request: QueuedRequest, now_ms: u64) -> Admission {
        self.advance(now_ms);
        let index = match self.admissible(&request) {
            Ok(index) => index,
            Err(code) => return self.refusal(code),
        };
        if self.has_free_slot() && self.waiting.is_empty() {
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

    /// Releases the slot of a running request; tells whether it was running.
    pub fn finish(&mut self, number: RequestNumber, now_ms: u64) -> bool {
        self.advance(now_ms);
        let Some(request) = self.running.finish(number) else {
            return false;
        };
        self.charge(&request, -request.refund_ms(self.now_ms));
        self.organisations[request.organisation].running_requests -= 1;
        self.drop_if_unused(request.organisation);
        true
    }

    /// Forgets a request that waits or runs; tells whether it was known.
    pub fn cancel(&mut self, number: RequestNumber, now_ms: u64) -> bool {
        self.advance(now_ms);
        self.remove_waiting(number).is_some() || self.finish(number, now_ms)
    }

    /// Returns the requests to start now, and those that would miss their deadline.
    pub fn next(&mut self, now_ms: u64) -> Vec<Dispatch> {
        self.advance(now_ms);
        let mut dispatches = Vec::new();
        while let Some(number) = self.remove_expired() {
            dispatches.push(Dispatch::Expired {
                number,
                retry_after_ms: self.retry_after_ms(),
            });
        }
        while let Some(started) = self.start_first() {
            dispatches.push(Dispatch::Start(started));
        }
        dispatches
    }

    /// Returns the time at which [`next`](Self::next) has a request to give up, if any waits.
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

    /// Orders the organisations anew after the rates of their shares changed from `rates`.
    fn restore_order(&mut self, rates: &[ShareRate]) {
        for index in 0..self.organisations.len() {
            let rate = self.share_rate(index);
            let organisation = &mut self.organisations[index];
            if let Some(former) = rates.get(index) {
                organisation.rescale_owned(self.now_ms, *former, rate);
            }
            self.order.insert(index, organisation);
            self.drop_if_unused(index);
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

    fn admissible(&self, request: &QueuedRequest) -> Result<usize, RefusalCode> {
        if self.draining {
            return Err(RefusalCode::Draining);
        }
        let known = self.index_by_name.get(&request.organisation);
        let index = *known.ok_or(RefusalCode::UnknownOrganisation)?;
        if !self.organisations[index].declared {
            return Err(RefusalCode::UnknownOrganisation);
        }
        if self.waiting.contains_key(&request.number) || self.running.contains(request.number) {
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

    /// Makes room for one more request, if need be by displacing the newest one of the longest
    /// queue.
    fn make_room(&mut self, index: usize) -> Result<Option<RequestNumber>, RefusalCode> {
        if self.waiting.len() < self.settings.max_queued_requests as usize {
            return Ok(None);
        }
        let own_length = self.organisations[index].waiting.len();
        let longest = self.order.longest().ok_or(RefusalCode::QueueFull)?;
        let waiting = &self.organisations[longest].waiting;
        if waiting.len() <= own_length + 1 {
            return Err(RefusalCode::QueueFull);
        }
        let newest = waiting.last_key_value().map(|(_, request)| request.number);
        let number = newest.ok_or(RefusalCode::QueueFull)?;
        self.remove_waiting(number);
        Ok(Some(number))
    }

    fn enqueue(&mut self, index: usize, request: QueuedRequest) {
        let organisation = &mut self.organisations[index];
        self.order.remove(index, organisation);
        if organisation.waiting.is_empty() {
            let credit_ms = self.settings.share_credit_ms;
            organisation.resume_demand(self.now_ms, credit_ms, self.idle_virtual_time);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let place = QueuePosition {
            organisation: index,
            sequence,
        };
        self.waiting.insert(request.number, place);
        self.waiting_work_ms += request.expected_run_ms;
        organisation.waiting_work_ms += request.expected_run_ms;
        let latest_start_ms = request.latest_start_ms().unwrap_or(0);
        self.latest_starts.insert((latest_start_ms, request.number));
        organisation.waiting.insert(sequence, request);
        self.order.insert(index, organisation);
    }

    fn remove_waiting(&mut self, number: RequestNumber) -> Option<QueuedRequest> {
        let place = self.waiting.remove(&number)?;
        let organisation = &mut self.organisations[place.organisation];
        self.order.remove(place.organisation, organisation);
        let request = organisation.waiting.remove(&place.sequence)?;
        organisation.waiting_work_ms -= request.expected_run_ms;
        self.waiting_work_ms -= request.expected_run_ms;
        let latest_start_ms = request.latest_start_ms().unwrap_or(0);
        self.latest_starts.remove(&(latest_start_ms, number));
        self.order.insert(place.organisation, organisation);
        self.drop_if_unused(place.organisation);
        Some(request)
    }

    fn remove_expired(&mut self) -> Option<RequestNumber> {
        let (latest_start_ms, number) = *self.latest_starts.first()?;
        if latest_start_ms >= self.now_ms {
            return None;
        }
        self.remove_waiting(number)?;
        Some(number)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    /// Gives a free slot to the first request in order, if there are both.
    fn start_first(&mut self) -> Option<StartedRequest> {
        if !self.has_free_slot() {
            return None;
        }
        let (index, account) = self.order.first(self.now_ms)?;
        let first = self.organisations[index].waiting.first_key_value();
        let number = first.map(|(_, request)| request.number)?;
        self.organisations[index].running_requests += 1;
        let request = self.remove_waiting(number)?;
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
            waiting_ms: self.waiting_work_ms,
        }
    }

    /// Estimates how long one more request of the organisation would wait.
    fn expected_wait_ms(&self, index: usize) -> u64 {
        let organisation = &self.organisations[index];
        let own_ms = organisation.waiting_work_ms;
        let weight = organisation.share_weight;
        self.work_estimate()
            .own_ms(own_ms, weight, self.total_share_weight)
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

    /// Returns the time in which the endpoint does the work present, within the settings' bounds.
    fn retry_after_ms(&self) -> u64 {
        let settings = &self.settings;
        let wait_ms = self.work_estimate().all_ms();
        let wait_ms = wait_ms.max(settings.min_retry_after_ms);
        wait_ms.min(settings.max_retry_after_ms)
    }

    fn index_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.index_by_name.get(name) {
            return *index;
        }
        let organisation = OrganisationQueue::new(name);
        let index = if let Some(index) = self.vacant.pop() {
            self.organisations[index] = organisation;
            index
        } else {
            self.organisations.push(organisation);
            self.organisations.len() - 1
        };
        self.index_by_name.insert(name.to_owned(), index);
        index
    }

    fn drop_if_unused(&mut self, index: usize) {
        let organisation = &self.organisations[index];
        if organisation.declared || !organisation.is_empty() {
            return;
        }
        if self.index_by_name.remove(&organisation.name).is_some() {
            self.organisations[index].name.clear();
            self.vacant.push(index);
        }
    }
}
