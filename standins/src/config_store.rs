//! The values of the configuration service.

use std::collections::BTreeMap;

use pomeloramp_proc_macros::document;

use crate::config_value::ConfigValue;

/// What a reader of the configuration service gets.
#[document]
pub(crate) struct ConfigSnapshot {
    pub(crate) revision: u64,
    pub(crate) values: Vec<ConfigValue>,
}

/// All values with the revision of the last change.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigStore {
    revision: u64,
    values: BTreeMap<String, ConfigValue>,
}

impl ConfigStore {
    /// Puts a value and returns the new revision; an empty text marks a deletion.
    pub(crate) fn put(&mut self, key: &str, text: &str) -> u64 {
        self.revision += 1;
        let value = ConfigValue {
            key: key.to_owned(),
            revision: self.revision,
            value: text.to_owned(),
        };
        self.values.insert(key.to_owned(), value);
        self.revision
    }

    /// Returns the values that changed after `revision`.
    ///
    /// Deleted values are left out when everything is asked for.
    pub(crate) fn changed_after(&self, revision: u64) -> ConfigSnapshot {
        let values = self
            .values
            .values()
            .filter(|value| value.revision > revision)
            .filter(|value| revision > 0 || !value.value.is_empty())
            .cloned()
            .collect();
        ConfigSnapshot {
            revision: self.revision,
            values,
        }
    }
}
