//! Finding the line of a key in a YAML document.

use std::fmt;

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_norway::Deserializer as YamlDeserializer;

/// Returns the line, counted from 1, of the value at `path`.
///
/// A step of the path is a key of a mapping or the position of an item in a sequence.
#[must_use]
pub fn line_of(text: &str, path: &[&str]) -> Option<usize> {
    let probe = LocationProbe { path };
    let error = probe.deserialize(YamlDeserializer::from_str(text)).err()?;
    error.location().map(|location| location.line())
}

/// Descends to a value and fails there, since errors carry the line at which they arose.
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

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(key) = entries.next_key::<String>()? {
            if key == *step {
                return entries.next_value_seed(LocationProbe { path: rest });
            }
            entries.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        let position = step.parse::<usize>().map_err(A::Error::custom)?;
        for _ in 0..position {
            items.next_element::<IgnoredAny>()?;
        }
        items
            .next_element_seed(LocationProbe { path: rest })
            .map(|_| ())
    }
}
