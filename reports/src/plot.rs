//! One plot of a report.

use crate::bar_chart::BarChart;
use crate::line_chart::LineChart;
use crate::report_error::ReportError;

/// One plot of a report.
#[derive(Debug, Clone)]
pub struct Plot {
    /// Name of its file, without the directory.
    pub file_name: String,
    /// What it shows and what to look for.
    pub caption: String,
    /// The SVG document.
    pub svg: String,
}

impl Plot {
    /// Draws bars.
    ///
    /// # Errors
    ///
    /// Returns what the plotting library refused.
    pub fn of_bars(name: &str, caption: &str, chart: &BarChart) -> Result<Self, ReportError> {
        Ok(Self::new(name, caption, chart.draw()?))
    }

    /// Draws lines.
    ///
    /// # Errors
    ///
    /// Returns what the plotting library refused.
    pub fn of_lines(name: &str, caption: &str, chart: &LineChart) -> Result<Self, ReportError> {
        Ok(Self::new(name, caption, chart.draw()?))
    }

    fn new(name: &str, caption: &str, svg: String) -> Self {
        Self {
            file_name: format!("{name}.svg"),
            caption: caption.to_owned(),
            svg,
        }
    }
}
