//! Where the credit of a played day was lost.

use std::fmt::Write as _;

use crate::BarArrangement;
use crate::BarChart;
use crate::BarSeries;
use crate::LateStreams;
use crate::PlayedDay;
use crate::PlayedWindow;
use crate::report_error::ReportError;

/// Cost of a price below which it is not listed.
const MIN_LISTED_COST: f64 = 0.001;

/// Credit that a window lost, as shares of the credit owed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Loss {
    late: f64,
    refused: f64,
    failed: f64,
}

impl Loss {
    fn of(window: &PlayedWindow) -> Self {
        let owed = f64::from(window.requests.saturating_sub(window.not_owed).max(1));
        let refused = f64::from(window.refused) / owed;
        let failed = f64::from(window.failed) / owed;
        let late = (1.0 - window.earned_share - refused - failed).max(0.0);
        Self {
            late,
            refused,
            failed,
        }
    }
}

/// Returns a table of the credit that a day lost by cause, and one by time window.
///
/// Late answers are divided by cause where the log of the entries is given.
#[must_use]
pub fn lost_credit_tables(name: &str, day: &PlayedDay, late: Option<&LateStreams>) -> String {
    let mut text = format!(
        "## {name}: worth {:.3}\n\n| lost by | share |\n| --- | --- |\n",
        day.worth
    );
    let loss = Loss::of(&day.total);
    // Writing to a string never fails.
    let _ = writeln!(text, "| late answers | {:.3} |", loss.late);
    let _ = writeln!(text, "| refused | {:.3} |", loss.refused);
    let _ = writeln!(text, "| failed | {:.3} |", loss.failed);
    for (price, _, cost) in &day.prices {
        if *cost >= MIN_LISTED_COST {
            let _ = writeln!(text, "| price: {price} | {cost:.3} |");
        }
    }
    text.push_str(
        "\n| from s | asked | late | refused | failed | first event late | long pause |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (index, window) in day.windows.iter().enumerate() {
        let loss = Loss::of(window);
        let (first_event, pause) = causes(day, index, late);
        let _ = writeln!(
            text,
            "| {} | {} | {:.3} | {:.3} | {:.3} | {first_event} | {pause} |",
            window.name, window.requests, loss.late, loss.refused, loss.failed
        );
    }
    text
}

/// Draws the credit that a day lost by time window, as an SVG document.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn lost_credit_chart(name: &str, day: &PlayedDay) -> Result<String, ReportError> {
    let losses: Vec<Loss> = day.windows.iter().map(Loss::of).collect();
    let series = |name: &str, share: fn(&Loss) -> f64| BarSeries {
        name: name.to_owned(),
        values: losses.iter().map(share).collect(),
    };
    let chart = BarChart::builder()
        .title(format!("{name}: credit lost"))
        .x_label("seconds from the start of traffic")
        .y_label("share of the credit owed")
        .categories(
            day.windows
                .iter()
                .map(|window| window.name.clone())
                .collect(),
        )
        .series(vec![
            series("late", |loss| loss.late),
            series("refused", |loss| loss.refused),
            series("failed", |loss| loss.failed),
        ])
        .arrangement(BarArrangement::Stacked)
        .build();
    chart.draw()
}

/// Returns the numbers of late streams in a window by cause, or dashes where they are unknown.
fn causes(day: &PlayedDay, index: usize, late: Option<&LateStreams>) -> (String, String) {
    let start = |index: usize| day.windows.get(index)?.name.parse::<i64>().ok();
    let (Some(late), Some(from_s)) = (late, start(index)) else {
        return ("-".to_owned(), "-".to_owned());
    };
    let (first_event, pause) = late.between(from_s, start(index + 1).unwrap_or(i64::MAX));
    (first_event.to_string(), pause.to_string())
}
