//! How entries divide the limits of endpoints among themselves.

use std::collections::HashMap;

use crate::DemandInterval;
use crate::as_f64::whole_part;
use crate::short_hash::short_hash;

/// Permits of a limit beyond one for each call a second.
///
/// All entries together may save up one call for each permit. The bound of a limit allows half as
/// much again as the limit, and some calls more, in any window; so few permits keep it.
const EXTRA_PERMITS: u32 = 3;
/// Most permits of a limit beyond these; at more calls a second each is worth several.
const MAX_PERMITS: u32 = 4_096;

/// How the entries divide the limits of endpoints, as one entry sees it in one round of gossip.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitDivision {
    /// Number of the turn, in which permits lie at the same entries while demand stays as it is.
    /// In the next one they move, so that each entry gets its part also of a small limit.
    pub turn: u64,
    /// This entry's part of the demand, by short hash of the service.
    pub demand_by_service: HashMap<u32, DemandInterval>,
    /// This entry's part of services whose demand is not reported.
    pub even_demand: DemandInterval,
    /// This entry's part of what each entry may do as often as any other, from 0 to 1.
    pub entry_share: f64,
    /// Rounds after which all entries have noticed a change.
    pub settle_rounds: u32,
}

impl Default for LimitDivision {
    /// Returns the division of an entry that has no gossip with others.
    fn default() -> Self {
        Self {
            turn: 0,
            demand_by_service: HashMap::new(),
            even_demand: DemandInterval::WHOLE,
            entry_share: 1.0,
            settle_rounds: 0,
        }
    }
}

/// The division of the limits of one service's endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceDivision {
    turn: u64,
    demand: DemandInterval,
    pub(crate) settle_rounds: u32,
    /// Whether the entry has taken part in the gossip for so many rounds that its view of the others
    /// can be used at once.
    pub(crate) is_settled: bool,
}

impl ServiceDivision {
    /// Returns the division for a service, at an entry that has seen `rounds` rounds.
    pub(crate) fn new(division: &LimitDivision, service: &str, rounds: u32) -> Self {
        let demand = division.demand_by_service.get(&short_hash(service));
        Self {
            turn: division.turn,
            demand: demand.copied().unwrap_or(division.even_demand),
            settle_rounds: division.settle_rounds,
            is_settled: rounds >= division.settle_rounds,
        }
    }

    /// Returns the part of an endpoint's limit that the division gives to this entry, from 0 to 1.
    pub(crate) fn share(&self, limit_key: u32, calls_per_s: f64) -> f64 {
        let permits = permit_count(calls_per_s);
        let offset = short_hash(&format!("{limit_key}/{}", self.turn));
        let own = self.demand.permits(permits, offset);
        f64::from(own) / f64::from(permits)
    }
}

/// Returns the number of permits into which a limit is divided.
fn permit_count(calls_per_s: f64) -> u32 {
    whole_part(calls_per_s).min(MAX_PERMITS) + EXTRA_PERMITS
}
