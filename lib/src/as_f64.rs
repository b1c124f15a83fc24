//! Conversion of counts and times to floating point, and back.

use std::time::Duration;

/// Returns a count or a time as floating point; values above `u32::MAX` count as that.
pub(crate) fn as_f64<T>(value: T) -> f64
where
    u32: TryFrom<T>,
{
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Returns the whole part of a number; zero for negative ones, `u32::MAX` for greater ones.
pub(crate) fn whole_part(value: f64) -> u32 {
    let whole = Duration::try_from_secs_f64(value.max(0.0)).map(|value| value.as_secs());
    whole.map_or(u32::MAX, |whole| u32::try_from(whole).unwrap_or(u32::MAX))
}
