//! Reading the values of command-line options.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::standin_error::ArgumentsSnafu;
use crate::standin_error::StandinError;
use crate::standin_error::UnknownArgumentSnafu;

/// Reads an option that must be given.
pub(crate) fn required<T>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<T, StandinError>
where
    T: FromStr,
    T::Err: Display,
{
    arguments.value_from_str(option).context(ArgumentsSnafu)
}

/// Reads an option that has a default.
pub(crate) fn optional<T>(
    arguments: &mut Arguments,
    option: &'static str,
    default: T,
) -> Result<T, StandinError>
where
    T: FromStr,
    T::Err: Display,
{
    let given = arguments
        .opt_value_from_str(option)
        .context(ArgumentsSnafu)?;
    Ok(given.unwrap_or(default))
}

/// Reads an option in milliseconds that has a default.
pub(crate) fn optional_ms(
    arguments: &mut Arguments,
    option: &'static str,
    default_ms: u64,
) -> Result<Duration, StandinError> {
    optional(arguments, option, default_ms).map(Duration::from_millis)
}

/// Refuses arguments that no option consumed.
pub(crate) fn refuse_remaining(arguments: Arguments) -> Result<(), StandinError> {
    match arguments.finish().first() {
        Some(argument) => UnknownArgumentSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail(),
        None => Ok(()),
    }
}
