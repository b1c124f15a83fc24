//! Queued requests and fair-queueing clocks of one organisation at one endpoint.

use std::collections::BTreeMap;

use crate::QueuedRequest;
use crate::protos::template::OrganisationParameters;
use crate::share_rate::ShareRate;

/// Highest level of urgency.
const MAX_URGENCY: u32 = 9;
const MICROSECONDS_PER_MS: i128 = 1_000;
/// Steps by which one slot-millisecond advances the idle clock at an idle weight of one.
const IDLE_STEPS_PER_MS: u128 = 1 << 20;

/// Queued requests and fair-queueing clocks of one organisation at one endpoint.
#[derive(Debug)]
pub(crate) struct OrganisationQueue {
    pub(crate) name: String,
    /// The parameters in force name the organisation.
    pub(crate) is_declared: bool,
    pub(crate) max_in_flight: u32,
    pub(crate) urgency: u32,
    pub(crate) share_weight: u32,
    pub(crate) idle_weight: u32,
    /// Queued requests in the order of their arrival.
    pub(crate) queued: BTreeMap<u64, QueuedRequest>,
    pub(crate) running_requests: u32,
    /// Expected slot time of the queued requests.
    pub(crate) queued_work_ms: u64,
    /// Time by which the declared share yields all slot time charged to it.
    pub(crate) owned_clock_us: i128,
    /// Virtual time by which idle capacity is lent.
    pub(crate) idle_clock: u128,
}

impl OrganisationQueue {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            is_declared: false,
            max_in_flight: 0,
            urgency: 0,
            share_weight: 0,
            idle_weight: 0,
            queued: BTreeMap::new(),
            running_requests: 0,
            queued_work_ms: 0,
            owned_clock_us: 0,
            idle_clock: 0,
        }
    }

    pub(crate) fn set_parameters(&mut self, parameters: &OrganisationParameters) {
        self.is_declared = true;
        self.max_in_flight = parameters.max_in_flight;
        self.urgency = parameters.urgency.min(MAX_URGENCY);
        self.share_weight = parameters.share_weight;
        self.idle_weight = parameters.idle_weight;
    }

    /// Removes the parameters; requests that were admitted under them still run.
    pub(crate) fn clear_parameters(&mut self) {
        self.is_declared = false;
        self.max_in_flight = 0;
        self.urgency = 0;
        self.share_weight = 0;
        self.idle_weight = 0;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.running_requests == 0
    }

    pub(crate) fn at_limit(&self) -> bool {
        let in_flight = u64::from(self.running_requests) + self.queued.len() as u64;
        in_flight >= u64::from(self.max_in_flight)
    }

    /// Limits the credit gained while the organisation had no demand to the last `share_credit_ms`.
    pub(crate) fn resume_demand(
        &mut self,
        now_ms: u64,
        share_credit_ms: u64,
        idle_virtual_time: u128,
    ) {
        let oldest_ms = i128::from(now_ms) - i128::from(share_credit_ms);
        let oldest_credit_us = oldest_ms * MICROSECONDS_PER_MS;
        self.owned_clock_us = self.owned_clock_us.max(oldest_credit_us);
        self.idle_clock = self.idle_clock.max(idle_virtual_time);
    }

    /// Returns the sort key among organisations that claim their own share. An organisation whose
    /// key is not later than the present is within its share.
    pub(crate) fn owned_key_us(&self, urgency_step_ms: u64) -> i128 {
        let head_start_ms = i128::from(urgency_step_ms) * i128::from(self.urgency);
        self.owned_clock_us - head_start_ms * MICROSECONDS_PER_MS
    }

    /// Converts the lead of the owned clock over the present from the old to the new share rate.
    pub(crate) fn rescale_owned_clock(&mut self, now_ms: u64, from: ShareRate, to: ShareRate) {
        let present_us = i128::from(now_ms) * MICROSECONDS_PER_MS;
        let lead_us = self.owned_clock_us - present_us;
        if lead_us <= 0 || from == to {
            return;
        }
        let lead_us = from
            .slot_us(lead_us)
            .map_or(0, |slot_us| to.wall_us(slot_us));
        self.owned_clock_us = present_us + lead_us;
    }

    /// Charges `delta_ms` slot-milliseconds, which may be negative, to the declared share.
    pub(crate) fn charge_owned(&mut self, delta_ms: i64, rate: ShareRate) {
        self.owned_clock_us += rate.wall_us(i128::from(delta_ms) * MICROSECONDS_PER_MS);
    }

    /// Charges `delta_ms` slot-milliseconds, which may be negative, to the idle clock.
    pub(crate) fn charge_idle(&mut self, delta_ms: i64) {
        let steps = IDLE_STEPS_PER_MS / u128::from(self.idle_weight.max(1));
        let cost = u128::from(delta_ms.unsigned_abs()) * steps.max(1);
        if delta_ms >= 0 {
            self.idle_clock += cost;
        } else {
            self.idle_clock = self.idle_clock.saturating_sub(cost);
        }
    }
}
