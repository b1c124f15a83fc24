//! When calls may be sent while every endpoint that could take them names a limit.

use crate::as_f64::as_f64;
use crate::as_f64::whole_part;
use crate::endpoint_limit::EndpointLimit;

const MS_PER_S: f64 = 1_000.0;

/// When calls may be sent while every endpoint that could take them names a limit.
#[derive(Debug, Default)]
pub(crate) struct PermitForecast {
    /// Calls that this entry may send now.
    calls_now: f64,
    /// Calls a second that this entry may send.
    own_calls_per_s: f64,
    /// Calls a second that all entries together may send.
    all_calls_per_s: f64,
    /// Time until this entry may send the next call; absent if its part of all limits is zero.
    next_ms: Option<f64>,
}

impl PermitForecast {
    /// Adds up the limits of endpoints; returns `None` if there is no endpoint, or one without a
    /// limit.
    pub(crate) fn of<'a>(
        limits: impl Iterator<Item = &'a EndpointLimit>,
        now_ms: u64,
    ) -> Option<Self> {
        let mut forecast = None;
        for limit in limits {
            let forecast: &mut Self = forecast.get_or_insert_default();
            forecast.calls_now += limit.permitted_calls(now_ms)?;
            forecast.own_calls_per_s += limit.own_calls_per_s()?;
            forecast.all_calls_per_s += limit.sent_calls_per_s()?;
            if let Some(wait_ms) = limit.permit_wait_ms(now_ms) {
                let next_ms = forecast.next_ms.unwrap_or(wait_ms);
                forecast.next_ms = Some(next_ms.min(wait_ms));
            }
        }
        forecast
    }

    /// Returns how long a call waits for its permit, with `ahead` calls before it; `None` if this
    /// entry has no part of any limit.
    pub(crate) fn wait_ms(&self, ahead: usize) -> Option<u64> {
        let ahead = as_f64(ahead);
        if self.calls_now >= ahead + 1.0 {
            return Some(0);
        }
        let later = ahead - self.calls_now;
        let wait_ms = if later <= 0.0 {
            self.next_ms?
        } else {
            self.next_ms? + later / self.own_calls_per_s * MS_PER_S
        };
        Some(u64::from(whole_part(wait_ms)).max(1))
    }

    /// Returns after which time a refused call should come again, to one of `entries` entries.
    pub(crate) fn retry_after_ms(&self, ahead: usize, entries: u32) -> u64 {
        let elsewhere_ms = f64::from(entries) / self.all_calls_per_s * MS_PER_S;
        self.wait_ms(ahead)
            .unwrap_or(u64::from(whole_part(elsewhere_ms)))
    }
}
