//! Conversion of counts and times to floating point.

/// Returns a count or a time as floating point; values above `u32::MAX` count as that.
pub(crate) fn as_f64<T>(value: T) -> f64
where
    u32: TryFrom<T>,
{
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
