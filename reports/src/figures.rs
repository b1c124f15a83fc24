//! Arithmetic on measured figures.

/// Returns the mean, zero for no values.
#[must_use]
pub(crate) fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count.max(1))
}

/// Returns the value that so many in 100 do not exceed, zero for no values.
pub(crate) fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let position = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or(0)
}

/// Returns a count as a number to draw or divide.
#[expect(clippy::cast_precision_loss)]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
