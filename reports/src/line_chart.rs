//! Lines of several series over a common axis.

use std::ops::Range;

use plotters::chart::ChartBuilder;
use plotters::coord::combinators::IntoLogRange;
use plotters::coord::ranged1d::AsRangedCoord;
use plotters::coord::ranged1d::Ranged;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::element::Circle;
use plotters::series::DashedLineSeries;
use plotters::series::LineSeries;
use plotters::style::Color;

use crate::chart_frame::BOTTOM_SPACE;
use crate::chart_frame::DrawError;
use crate::chart_frame::GOAL_COLOUR;
use crate::chart_frame::LEFT_SPACE;
use crate::chart_frame::LIMIT_COLOUR;
use crate::chart_frame::LegendEntry;
use crate::chart_frame::MARGIN;
use crate::chart_frame::Scale;
use crate::chart_frame::SvgArea;
use crate::chart_frame::colour;
use crate::chart_frame::draw_axes;
use crate::chart_frame::draw_document;
use crate::chart_frame::value_range;
use crate::report_error::ReportError;

/// Most points of a line that are marked with dots.
const MOST_DOTS: usize = 20;

/// What a line stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// Measured values, drawn in a colour of its own.
    Measured,
    /// A bound or limit, drawn dashed.
    Bound,
    /// A goal, drawn dashed and lighter.
    Goal,
}

/// Points of one series, by the horizontal axis.
#[derive(Debug, Clone)]
pub struct LineSeriesData {
    /// Name in the legend.
    pub name: String,
    /// Points, as horizontal and vertical value.
    pub points: Vec<(f64, f64)>,
    /// What the line stands for.
    pub kind: LineKind,
}

/// Lines of several series.
#[derive(Debug, Clone, bon::Builder)]
pub struct LineChart {
    /// Title.
    #[builder(into)]
    title: String,
    /// What the horizontal axis shows, with its unit.
    #[builder(into)]
    x_label: String,
    /// What the vertical axis shows, with its unit.
    #[builder(into)]
    y_label: String,
    /// The series.
    series: Vec<LineSeriesData>,
    /// How values are mapped to heights.
    #[builder(default = Scale::Linear)]
    scale: Scale,
    /// Range of the vertical axis; values outside of it are drawn at its ends.
    y_range: Option<Range<f64>>,
}

impl LineChart {
    /// Draws the chart as an SVG document.
    ///
    /// # Errors
    ///
    /// Returns what the plotting library refused.
    pub fn draw(&self) -> Result<String, ReportError> {
        let series = self.series.iter().enumerate();
        let entries = series.map(|(number, series)| LegendEntry {
            name: &series.name,
            colour: series.colour(number),
            is_line: true,
        });
        let legend: Vec<LegendEntry> = entries.collect();
        draw_document(&self.title, &legend, |area| self.draw_scaled(area))
    }

    fn draw_scaled(&self, area: &SvgArea) -> Result<(), DrawError> {
        let points = self.series.iter().flat_map(|series| &series.points);
        let values: Vec<f64> = points.map(|(_, value)| *value).collect();
        let own_range = || value_range(&values, self.scale);
        let range = self.y_range.clone().unwrap_or_else(own_range);
        match self.scale {
            Scale::Linear => self.draw_on(area, range.clone(), &range),
            Scale::Logarithmic => self.draw_on(area, range.clone().log_scale(), &range),
        }
    }

    fn draw_on<R, Y>(
        &self,
        area: &SvgArea,
        coordinates: R,
        range: &Range<f64>,
    ) -> Result<(), DrawError>
    where
        R: AsRangedCoord<CoordDescType = Y, Value = f64>,
        Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        let points = self.series.iter().flat_map(|series| &series.points);
        let furthest = points.map(|(x, _)| *x).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(BOTTOM_SPACE)
            .y_label_area_size(LEFT_SPACE)
            .build_cartesian_2d(0.0..furthest, coordinates)?;
        draw_axes(&mut chart, &self.x_label, &self.y_label, 9)?;
        for (number, series) in self.series.iter().enumerate() {
            let points = series.points.iter();
            let points = points.map(|(x, y)| (*x, y.clamp(range.start, range.end)));
            let points: Vec<(f64, f64)> = points.collect();
            let style = series.colour(number).stroke_width(2);
            if series.kind != LineKind::Measured {
                chart.draw_series(DashedLineSeries::new(points, 6, 4, style))?;
                continue;
            }
            if points.len() <= MOST_DOTS {
                let dots = points.iter();
                let dots = dots.map(|point| Circle::new(*point, 4, style.filled()));
                chart.draw_series(dots)?;
            }
            chart.draw_series(LineSeries::new(points, style))?;
        }
        Ok(())
    }
}

impl LineSeriesData {
    fn colour(&self, number: usize) -> plotters::style::RGBColor {
        match self.kind {
            LineKind::Measured => colour(number),
            LineKind::Bound => LIMIT_COLOUR,
            LineKind::Goal => GOAL_COLOUR,
        }
    }
}
