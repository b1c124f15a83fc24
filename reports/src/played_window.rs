//! Requests of one time window of a played day.

use pomeloramp_proc_macros::document;

/// Requests of one time window of a played day, as the bench counts them.
#[document]
pub struct PlayedWindow {
    /// Start of the window, in seconds from the start of traffic.
    pub name: String,
    /// Requests that were sent.
    #[serde(rename = "n")]
    pub requests: u32,
    /// Requests that were answered on time.
    #[serde(rename = "in_aim")]
    pub on_time: u32,
    /// Requests that were answered late.
    pub late: u32,
    /// Requests that were refused to the end.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests for which no answer was owed.
    pub not_owed: u32,
    /// Credit earned, as a share of the credit owed.
    #[serde(rename = "worth")]
    pub earned_share: f64,
}
