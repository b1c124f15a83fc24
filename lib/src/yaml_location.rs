//! Locations of values in YAML documents.

use std::fmt;

use pomeloramp_proc_macros::key;
use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_norway::Deserializer as YamlDeserializer;

/// Line and column in a YAML document, both counted from 1.
#[key]
pub struct YamlLocation {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
}

impl YamlLocation {
    /// Start of the document.
    pub const START: Self = Self { line: 1, column: 1 };

    /// Returns the location of a parser error, if the error has one.
    pub(crate) fn of_error(error: &serde_norway::Error) -> Option<Self> {
        error.location().map(|location| Self {
            line: location.line(),
            column: location.column(),
        })
    }

    /// Returns the location of the value at `path`, or `None` if there is no such value.
    ///
    /// Each step of the path is a key of a mapping or the index of an item in a sequence.
    pub(crate) fn of_path(text: &str, path: &[&str]) -> Option<Self> {
        let probe = LocationProbe { path };
        let error = probe.deserialize(YamlDeserializer::from_str(text)).err()?;
        Self::of_error(&error)
    }
}

impl fmt::Display for YamlLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {} column {}", self.line, self.column)
    }
}

/// Returns the message of a parser error without its location, which is displayed separately.
pub(crate) fn message_of(error: &serde_norway::Error) -> String {
    let message = error.to_string();
    match YamlLocation::of_error(error) {
        Some(location) => message.replacen(&format!(" at {location}"), "", 1),
        None => message,
    }
}

/// Returns the line, counted from 1, of the value at `path`, or `None` if there is no such value.
///
/// Each step of the path is a key of a mapping or the index of an item in a sequence.
#[must_use]
pub fn line_of(text: &str, path: &[&str]) -> Option<usize> {
    YamlLocation::of_path(text, path).map(|location| location.line)
}

/// Deserializes up to the value at `path` and fails there, because parser errors carry the location
/// at which they occurred.
#[derive(Clone, Copy)]
struct LocationProbe<'a> {
    path: &'a [&'a str],
}

impl<'de> DeserializeSeed<'de> for LocationProbe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for LocationProbe<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut mapping: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(key) = mapping.next_key::<String>()? {
            if key == *step {
                return mapping.next_value_seed(LocationProbe { path: rest });
            }
            mapping.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        let index = step.parse::<usize>().map_err(A::Error::custom)?;
        for _ in 0..index {
            items.next_element::<IgnoredAny>()?;
        }
        items
            .next_element_seed(LocationProbe { path: rest })
            .map(|_| ())
    }
}
