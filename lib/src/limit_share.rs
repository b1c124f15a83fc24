//! The part of an endpoint's limit that this entry may use.

/// The part of an endpoint's limit that this entry may use, from 0 to 1.
///
/// It falls at once, and rises only after it has been computed as greater for some rounds of gossip:
/// by then the entries that lose what this one gains have noticed.
#[derive(Debug, Default)]
pub(crate) struct LimitShare {
    value: f64,
    /// Smallest part of the rounds since the part was last computed as not greater than `value`.
    least_rise: Option<f64>,
    rising_rounds: u32,
}

impl LimitShare {
    /// Creates a part that is used at once.
    pub(crate) fn new(value: f64) -> Self {
        Self {
            value,
            ..Self::default()
        }
    }

    /// Returns the part that may be used.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Applies the part that was computed in a round.
    pub(crate) fn update(&mut self, computed: f64, settle_rounds: u32) {
        if computed <= self.value {
            *self = Self::new(computed);
            return;
        }
        let least_rise = self
            .least_rise
            .map_or(computed, |least| least.min(computed));
        self.least_rise = Some(least_rise);
        self.rising_rounds += 1;
        if self.rising_rounds >= settle_rounds {
            *self = Self::new(least_rise);
        }
    }
}
