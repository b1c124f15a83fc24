//! Formats log records as lines of JSON.

use std::time::Duration;

use serde_json::Map;
use serde_json::Value;

/// Formats a record as one line of JSON.
///
/// A message that begins with an event number is split into the number, the event text and the
/// fields in its details (`name=value`, with values in quotation marks if they contain spaces).
/// Other words of the details become the field `detail`.
#[must_use]
pub fn log_line(since_epoch: Duration, level: &str, target: &str, message: &str) -> String {
    let mut fields = Map::new();
    let time_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    fields.insert("time_ms".to_owned(), time_ms.into());
    fields.insert("level".to_owned(), level.to_ascii_lowercase().into());
    if let Some((number, text, details)) = split_event(message) {
        fields.insert("event".to_owned(), number.into());
        fields.insert("text".to_owned(), text.into());
        add_details(&mut fields, details);
    } else {
        fields.insert("source".to_owned(), target.into());
        fields.insert("message".to_owned(), message.into());
    }
    Value::Object(fields).to_string()
}

/// Splits `E0601 call sent: request_id=7` into its number, text and details.
fn split_event(message: &str) -> Option<(&str, &str, &str)> {
    let (number, rest) = message.split_once(' ')?;
    let digits = number.strip_prefix('E')?;
    let is_number = digits.len() == 4 && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let (text, details) = rest.split_once(": ").unwrap_or((rest, ""));
    Some((number, text, details))
}

fn add_details(fields: &mut Map<String, Value>, details: &str) {
    let mut rest = details.trim();
    let mut detail = String::new();
    while !rest.is_empty() {
        let (word, after) = next_word(rest);
        rest = after.trim_start();
        match word.split_once('=') {
            Some((name, value)) if is_name(name) && !fields.contains_key(name) => {
                let value = value.trim_end_matches(':').trim_matches('"');
                fields.insert(name.to_owned(), value.into());
            }
            _ => {
                if !detail.is_empty() {
                    detail.push(' ');
                }
                detail.push_str(word);
            }
        }
    }
    if !detail.is_empty() {
        fields.insert("detail".to_owned(), detail.into());
    }
}

/// Returns the first word, which ends at a space outside quotation marks, and the rest.
fn next_word(text: &str) -> (&str, &str) {
    let mut is_quoted = false;
    for (at, character) in text.char_indices() {
        match character {
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => return text.split_at(at),
            _ => {}
        }
    }
    (text, "")
}

fn is_name(name: &str) -> bool {
    let is_name_byte =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
    !name.is_empty() && name.bytes().all(is_name_byte)
}
