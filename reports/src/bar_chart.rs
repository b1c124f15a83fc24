//! Bars of several series, grouped or stacked by category.

use plotters::chart::ChartBuilder;
use plotters::coord::combinators::IntoLogRange;
use plotters::coord::ranged1d::AsRangedCoord;
use plotters::coord::ranged1d::Ranged;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::element::Text;
use plotters::style::Color;
use plotters::style::IntoFont;
use plotters::style::text_anchor::HPos;
use plotters::style::text_anchor::Pos;
use plotters::style::text_anchor::VPos;

use crate::chart_frame::BOTTOM_SPACE;
use crate::chart_frame::DrawError;
use crate::chart_frame::FONT;
use crate::chart_frame::LEFT_SPACE;
use crate::chart_frame::LIMIT_COLOUR;
use crate::chart_frame::LegendEntry;
use crate::chart_frame::MARGIN;
use crate::chart_frame::Scale;
use crate::chart_frame::SvgArea;
use crate::chart_frame::SvgChart;
use crate::chart_frame::TEXT_SIZE;
use crate::chart_frame::colour;
use crate::chart_frame::draw_axes;
use crate::chart_frame::draw_document;
use crate::chart_frame::value_range;
use crate::figures::as_f64;
use crate::report_error::ReportError;

/// Part of a category's width that its bars take.
const GROUP_WIDTH: f64 = 0.8;

/// Values of one series, one for each category.
#[derive(Debug, Clone)]
pub struct BarSeries {
    /// Name in the legend.
    pub name: String,
    /// One value for each category.
    pub values: Vec<f64>,
}

/// How the bars of one category stand to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BarArrangement {
    /// Side by side.
    Grouped,
    /// On top of each other.
    Stacked,
}

/// A value that bars are compared with.
#[derive(Debug, Clone)]
pub struct Limit {
    /// Name in the legend.
    pub name: String,
    /// Where its line is drawn.
    pub value: f64,
}

/// Bars of several series by category.
#[derive(Debug, Clone, bon::Builder)]
pub struct BarChart {
    /// Title.
    #[builder(into)]
    title: String,
    /// What the categories are.
    #[builder(into)]
    x_label: String,
    /// What the values are, with their unit.
    #[builder(into)]
    y_label: String,
    /// Names of the categories.
    categories: Vec<String>,
    /// The series.
    series: Vec<BarSeries>,
    /// How the bars of a category stand to each other.
    #[builder(default = BarArrangement::Grouped)]
    arrangement: BarArrangement,
    /// How values are mapped to heights.
    #[builder(default = Scale::Linear)]
    scale: Scale,
    /// A value that bars are compared with.
    limit: Option<Limit>,
}

impl BarChart {
    /// Draws the chart as an SVG document.
    ///
    /// # Errors
    ///
    /// Returns what the plotting library refused.
    pub fn draw(&self) -> Result<String, ReportError> {
        let series = self.series.iter().enumerate();
        let entries = series.map(|(number, series)| LegendEntry {
            name: &series.name,
            colour: colour(number),
            is_line: false,
        });
        let limit = self.limit.iter().map(|limit| LegendEntry {
            name: &limit.name,
            colour: LIMIT_COLOUR,
            is_line: true,
        });
        let legend: Vec<LegendEntry> = entries.chain(limit).collect();
        draw_document(&self.title, &legend, |area| self.draw_scaled(area))
    }

    fn draw_scaled(&self, area: &SvgArea) -> Result<(), DrawError> {
        let range = value_range(&self.heights(), self.scale);
        let bottom = range.start;
        match self.scale {
            Scale::Linear => self.draw_on(area, range, bottom),
            Scale::Logarithmic => self.draw_on(area, range.log_scale(), bottom),
        }
    }

    /// Returns the tops of all bars and the limit.
    fn heights(&self) -> Vec<f64> {
        let limit = self.limit.iter().map(|limit| limit.value);
        let mut heights: Vec<f64> = limit.collect();
        for category in 0..self.categories.len() {
            let values = self.series.iter().map(|series| series.values[category]);
            match self.arrangement {
                BarArrangement::Grouped => heights.extend(values),
                BarArrangement::Stacked => heights.push(values.sum()),
            }
        }
        heights
    }

    fn draw_on<R, Y>(&self, area: &SvgArea, range: R, bottom: f64) -> Result<(), DrawError>
    where
        R: AsRangedCoord<CoordDescType = Y, Value = f64>,
        Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        let count = as_f64(self.categories.len() as u64);
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(BOTTOM_SPACE)
            .y_label_area_size(LEFT_SPACE)
            .build_cartesian_2d(0.0..count.max(1.0), range)?;
        draw_axes(&mut chart, "", &self.y_label, 0)?;
        for (number, series) in self.series.iter().enumerate() {
            for (category, value) in series.values.iter().enumerate() {
                let (left, right) = self.sides(category, number);
                let base = self.base(category, number, bottom);
                let top = match self.arrangement {
                    BarArrangement::Grouped => value.max(bottom),
                    BarArrangement::Stacked => base + value,
                };
                let bar = Rectangle::new([(left, base), (right, top)], colour(number).filled());
                chart.draw_series([bar])?;
            }
        }
        if let Some(limit) = &self.limit {
            let ends = vec![(0.0, limit.value), (count, limit.value)];
            chart.draw_series([PathElement::new(ends, LIMIT_COLOUR.stroke_width(2))])?;
        }
        self.draw_categories(area, &chart, bottom)
    }

    /// Returns where the bar of a series starts: on the bars below it, or on the axis.
    fn base(&self, category: usize, number: usize, bottom: f64) -> f64 {
        let below = self.series[..number]
            .iter()
            .map(|series| series.values[category]);
        match self.arrangement {
            BarArrangement::Grouped => bottom,
            BarArrangement::Stacked => below.sum(),
        }
    }

    /// Returns the left and right side of a bar.
    fn sides(&self, category: usize, number: usize) -> (f64, f64) {
        let left = as_f64(category as u64) + (1.0 - GROUP_WIDTH) / 2.0;
        match self.arrangement {
            BarArrangement::Grouped => {
                let width = GROUP_WIDTH / as_f64(self.series.len() as u64);
                let left = left + width * as_f64(number as u64);
                (left, left + width)
            }
            BarArrangement::Stacked => (left, left + GROUP_WIDTH),
        }
    }

    /// Writes the names of the categories below the axis, a word in each line, and their label.
    fn draw_categories<Y>(
        &self,
        area: &SvgArea,
        chart: &SvgChart<Y>,
        bottom: f64,
    ) -> Result<(), DrawError>
    where
        Y: Ranged<ValueType = f64>,
    {
        let style = (FONT, TEXT_SIZE).into_font().into();
        let centred = |place: (i32, i32), text: &str| {
            let style: plotters::style::TextStyle = style_at(&style);
            area.draw(&Text::new(text.to_owned(), place, style))
        };
        let (origin_x, origin_y) = area.get_base_pixel();
        let place_of = |x: f64| {
            let (x, y) = chart.backend_coord(&(x, bottom));
            (x - origin_x, y - origin_y)
        };
        for (category, name) in self.categories.iter().enumerate() {
            let (x, y) = place_of(as_f64(category as u64) + 0.5);
            for (line, text) in two_lines(name).into_iter().enumerate() {
                let below = 6 + 15 * i32::try_from(line).unwrap_or(0);
                centred((x, y + below), &text)?;
            }
        }
        let (x, y) = place_of(as_f64(self.categories.len() as u64) / 2.0);
        centred((x, y + 40), &self.x_label)
    }
}

fn style_at<'a>(style: &plotters::style::TextStyle<'a>) -> plotters::style::TextStyle<'a> {
    style.pos(Pos::new(HPos::Center, VPos::Top))
}

/// Breaks a name at the space that is nearest to its middle.
fn two_lines(name: &str) -> Vec<String> {
    const ONE_LINE: usize = 12;
    let spaces = name.match_indices(' ').map(|(place, _)| place);
    let middle = name.len() / 2;
    match spaces.min_by_key(|place| place.abs_diff(middle)) {
        Some(place) if name.len() > ONE_LINE => {
            vec![name[..place].to_owned(), name[place + 1..].to_owned()]
        }
        _ => vec![name.to_owned()],
    }
}
