//! Decodes the items of a list one by one, so that one that can't be read does not hide the others.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// Decodes the items of a JSON list that can be read; the others are left out, and their number is logged.
pub(crate) fn deserialize<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let texts: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    let mut items = Vec::with_capacity(texts.len());
    let mut first_error = None;
    for text in &texts {
        match serde_json::from_str(text.get()) {
            Ok(item) => items.push(item),
            Err(error) => first_error = first_error.or(Some(error)),
        }
    }
    if let Some(error) = first_error {
        let left_out = texts.len() - items.len();
        log::warn!("{left_out} items of a list can't be read, the first: {error}");
    }
    Ok(items)
}
