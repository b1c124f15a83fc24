//! An entry's part of the demand of all entries, which decides its part of a limit.

/// An entry's part of the demand for a service, on a line on which the demands of all entries stand
/// one after the other, ordered by address.
///
/// A limit is divided into permits of equal size. They are dealt out by systematic sampling
/// (J. E. Baker, "Reducing bias and inefficiency in the selection algorithm", 1987): equally spaced
/// points on the line, of which each entry gets those in its interval. So an entry has as many
/// permits as its demand asks for, up to rounding, and entries that agree on the line hand out each
/// permit once, without a message about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemandInterval {
    start: u64,
    end: u64,
    total: u64,
}

impl DemandInterval {
    /// Number of offsets of the first permit.
    const OFFSETS: u128 = 1 << 32;

    /// The interval of an entry that knows of no other.
    pub const WHOLE: Self = Self {
        start: 0,
        end: 1,
        total: 1,
    };

    /// Returns the interval of the entry at `own_address`, which must be among `demands`.
    ///
    /// Each demand is the address of an entry and its new calls in some time; an entry that has not
    /// reported them counts with the mean of the others.
    #[must_use]
    pub fn of(own_address: &str, demands: &[(&str, Option<u32>)]) -> Self {
        let reported: Vec<u64> = demands
            .iter()
            .filter_map(|(_, demand)| demand.map(u64::from))
            .collect();
        let count = u64::try_from(reported.len()).unwrap_or(u64::MAX).max(1);
        let mean = reported.iter().sum::<u64>() / count;
        // Every entry counts with one call at least, so that its first calls find a permit.
        let weight = |demand: Option<u32>| demand.map_or(mean, u64::from).max(1);
        let total: u64 = demands.iter().map(|(_, demand)| weight(*demand)).sum();
        let before = demands.iter().filter(|(address, _)| *address < own_address);
        let start = before.map(|(_, demand)| weight(*demand)).sum();
        let own = demands.iter().find(|(address, _)| *address == own_address);
        let own = own.map_or(0, |(_, demand)| weight(*demand));
        Self {
            start,
            end: start + own,
            total: total.max(1),
        }
    }

    /// Returns how many of `permits` belong to this entry. The first one lies at `offset`, in 2^32nds of
    /// the distance between two.
    #[must_use]
    pub fn permits(&self, permits: u32, offset: u32) -> u32 {
        let before_end = self.permits_before(self.end, permits, offset);
        let before_start = self.permits_before(self.start, permits, offset);
        u32::try_from(before_end - before_start).unwrap_or(permits)
    }

    /// Returns the number of permits that lie before a position on the line.
    fn permits_before(&self, position: u64, permits: u32, offset: u32) -> u128 {
        let distance = u128::from(self.total) * Self::OFFSETS;
        let scaled = u128::from(position) * u128::from(permits) * Self::OFFSETS;
        let first = u128::from(offset) * u128::from(self.total);
        scaled.saturating_sub(first).div_ceil(distance)
    }
}
